package dispatch

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"time"

	"github.com/tacktally/tacktally/internal/prefix"
	"github.com/tacktally/tacktally/internal/quarantine"
	"github.com/tacktally/tacktally/internal/request"
	"github.com/tacktally/tacktally/internal/upstream"
)

// identityOf identifies a request by its organisation, its content, and the messages of a chat, which others may
// share except for the last.
func identityOf(r *request.Request) quarantine.Request {
	key := quarantine.Key{Organisation: r.Organisation, Digest: binary.BigEndian.Uint64(r.Fingerprint[:])}
	var messages []prefix.Segment
	for _, id := range r.MessageIDs {
		messages = append(messages, prefix.Segment{ID: id})
	}
	return quarantine.RequestOf(key, messages)
}

// recordCrashEvidence reports the result of an attempt to the quarantine registry and announces
// changes to the peers. Upstreams are identified by address, so one that restarts at the same
// address and crashes again soon counts once.
func (a *attempts) recordCrashEvidence(address string, r upstream.Result) {
	o, now := a.dispatcher.o, time.Now()
	switch r.Status {
	case upstream.Done:
		if r.EndUnstated {
			isAlive := func() bool { return o.Client.CheckConnection(context.Background(), address) == nil }
			o.Quarantine.TrackUnstatedEnd(address, a.identity, a.completionBegan(r), a.buffer.Written() > 0, isAlive, o.OnResponseRecorded)
			return
		}
		if o.Quarantine.RecordCompletion(now, a.identity, a.completionBegan(r)) {
			o.OnResponseRecorded()
		}
	case upstream.NotWritten:
		if !r.Aborted && o.Quarantine.NeedsDiagnosis(now, address) {
			go a.dispatcher.diagnose(a.set, address)
		}
	case upstream.Lost, upstream.Truncated:
		check, changed := o.Quarantine.RecordLostResponse(now, address, a.identity, a.buffer.Started())
		if changed {
			o.OnQuarantineChange()
		}
		if check {
			go a.dispatcher.diagnose(a.set, address)
		}
	}
}

// completionBegan returns a time at which a successful response hadn't begun yet; the zero time for any other one.
func (a *attempts) completionBegan(r upstream.Result) time.Time {
	if r.ErrorStatus {
		return time.Time{}
	}
	return a.sentAt
}

// diagnose finds out whether the process of an upstream at which responses were lost has
// terminated. It blocks for the connection checks.
func (d *Dispatcher) diagnose(set, address string) {
	check := func(address string) quarantine.ConnectionCheck {
		return func(ctx context.Context) error { return d.o.Client.CheckConnection(ctx, address) }
	}
	others := d.Members(set)
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	var neighbours []quarantine.ConnectionCheck
	for _, other := range others {
		if other != address && len(neighbours) < quarantine.MaxNeighbours {
			neighbours = append(neighbours, check(other))
		}
	}
	leaving := d.isLeaving(set, address)
	switch quarantine.Diagnose(context.Background(), check(address), neighbours) {
	case quarantine.Terminated:
		record := d.o.Quarantine.RecordCrash
		if leaving || d.isLeaving(set, address) { // it may have announced so, or been removed, meanwhile
			record = d.o.Quarantine.RecordLeavingTermination
		}
		if record(time.Now(), address) {
			d.o.OnQuarantineChange()
		}
	case quarantine.Inconclusive:
		d.o.Log.Info().Str("event", "crash_in_doubt").Str("upstream", address).Int("neighbours", len(neighbours)).
			Msg("no other upstream of the set accepts connections from this instance; not recorded as a crash")
	case quarantine.Alive, quarantine.Unreached:
	}
}
