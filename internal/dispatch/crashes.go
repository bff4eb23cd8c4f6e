package dispatch

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"time"

	"github.com/tacktally/tacktally/internal/quarantine"
	"github.com/tacktally/tacktally/internal/request"
	"github.com/tacktally/tacktally/internal/upstream"
)

// keyOf names a request by what it asks for.
func quarantineKey(r *request.Request) quarantine.Key {
	return quarantine.Key{Organisation: r.Organisation, Digest: binary.BigEndian.Uint64(r.Fingerprint[:])}
}

// learnOfCrash takes what the end of an attempt says of crashes, and tells the peers what is new. An
// upstream is named by its address: one that starts again there and crashes again soon counts once.
func (a *attempts) recordCrashEvidence(address string, r upstream.Result) {
	o, now := a.dispatcher.o, time.Now()
	switch r.Status {
	case upstream.Done:
		if o.Quarantine.RecordResponse(now, a.key) {
			o.OnQuarantineChange()
		}
	case upstream.Lost, upstream.Truncated:
		check, news := o.Quarantine.RecordLostResponse(now, address, a.key, a.buffer.Started())
		if news {
			o.OnQuarantineChange()
		}
		if check {
			go a.dispatcher.diagnose(a.set, address)
		}
	}
}

// look finds out whether the process of an upstream at which answers were lost has ended.
func (d *Dispatcher) diagnose(set, address string) {
	probe := func(address string) quarantine.ConnectionCheck {
		return func(ctx context.Context) error { return d.o.Client.CheckConnection(ctx, address) }
	}
	others := d.Members(set)
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	var neighbours []quarantine.ConnectionCheck
	for _, other := range others {
		if other != address && len(neighbours) < quarantine.MaxNeighbours {
			neighbours = append(neighbours, probe(other))
		}
	}
	switch quarantine.Diagnose(context.Background(), probe(address), neighbours) {
	case quarantine.Terminated:
		if d.o.Quarantine.RecordCrash(time.Now(), address) {
			d.o.OnQuarantineChange()
		}
	case quarantine.Inconclusive:
		d.o.Log.Info().Str("event", "crash_in_doubt").Str("upstream", address).Int("neighbours", len(neighbours)).
			Msg("no other upstream of its set takes connections from here")
	case quarantine.Alive:
	}
}
