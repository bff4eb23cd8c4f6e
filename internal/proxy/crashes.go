package proxy

import (
	"context"
	"errors"
	"time"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/exchange"
	"github.com/tacktally/tacktally/internal/fleet"
	"github.com/tacktally/tacktally/internal/quarantine"
)

// heldBack refuses a request that upstreams have crashed under meanwhile, here or elsewhere.
func (j *job) heldBack() *api.Problem {
	if left := j.handler.o.Quarantine.Remaining(time.Now(), j.key); left > 0 {
		return quarantine.Refusal(left)
	}
	return nil
}

// mayBeSent tells whether the request may still go to an upstream. It is asked right before the first
// byte.
func (j *job) mayBeSent(l fleet.Lease) error {
	if j.handler.o.Quarantine.Remaining(time.Now(), j.key) > 0 {
		return quarantine.ErrQuarantined
	}
	j.sentAt = time.Now()
	return j.handler.o.Fleet.BeginAttempt(l)
}

// learnOfCrash takes what the end of an attempt says of crashes, and tells the peers what is new.
func (j *job) learnOfCrash(r result) {
	book, now := j.handler.o.Quarantine, time.Now()
	switch {
	case r.status == done || r.status == failed:
		if book.RecordResponse(now, j.key) {
			j.handler.o.Announce()
		}
	case r.status == misdirected:
		j.handler.crashed(r.process) // another process has the address, so that one has ended
	case (r.status == lost || r.status == cut) && !errors.Is(r.err, errSilent):
		check, news := book.RecordLostResponse(now, r.process, j.key, j.events > 0)
		if news {
			j.handler.o.Announce()
		}
		if connections := j.handler.o.Fleet.ConnectionsTo(j.upstream); check && connections != nil {
			go j.handler.look(j.upstream, r.process, connections)
		}
	}
}

// look finds out whether the process of an upstream at which answers were lost has ended.
func (h *Handler) look(upstream, process string, connections *exchange.Pool) {
	var beside []quarantine.ConnectionCheck
	for _, p := range h.o.Fleet.Neighbours(upstream, quarantine.MaxNeighbours) {
		beside = append(beside, p.CheckConnection)
	}
	switch quarantine.Diagnose(context.Background(), connections.CheckConnection, beside) {
	case quarantine.Terminated:
		h.crashed(process)
	case quarantine.Inconclusive:
		h.o.Log.Info().Str("event", "crash_in_doubt").Str("upstream", upstream).Int("neighbours", len(beside)).
			Msg("no other upstream of its zone takes connections from here")
	case quarantine.Alive:
	}
}

func (h *Handler) crashed(process string) {
	if h.o.Quarantine.RecordCrash(time.Now(), process) {
		h.o.Announce()
	}
}
