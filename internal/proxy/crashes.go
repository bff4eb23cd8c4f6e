package proxy

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/exchange"
	"github.com/tacktally/tacktally/internal/fleet"
	"github.com/tacktally/tacktally/internal/quarantine"
	"github.com/tacktally/tacktally/internal/wait"
)

// A lost answer may mean that its upstream's process has ended. It tells so by refusing connections: one
// that is cut off is silent, and one whose connection was reset takes another. But a path that is cut
// may refuse, too. Then it does so for others of the zone.
const (
	// secondLook is the time between two looks: a process closes its connections and its port one after
	// the other.
	secondLook = 100 * time.Millisecond
	// neighbours is how many others of the zone are looked at.
	neighbours = 3
)

// heldBack refuses a request that upstreams have crashed under meanwhile, here or elsewhere.
func (j *job) heldBack() *api.Problem {
	if left := j.handler.o.Quarantine.Held(time.Now(), j.key); left > 0 {
		return fleet.HeldBack(left)
	}
	return nil
}

// mayBeSent tells whether the request may still go to an upstream. It is asked right before the first
// byte.
func (j *job) mayBeSent(upstream string) error {
	if j.handler.o.Quarantine.Held(time.Now(), j.key) > 0 {
		return quarantine.ErrHeld
	}
	return j.handler.o.Fleet.MayBeSent(upstream)
}

// learnOfCrash takes what the end of a sending says of crashes, and tells the peers what is new.
func (j *job) learnOfCrash(r result) {
	book, now := j.handler.o.Quarantine, time.Now()
	switch {
	case r.status == done || r.status == failed:
		if book.Answered(now, j.key) {
			j.handler.o.Suspected()
		}
	case r.status == misdirected:
		j.handler.crashed(r.process) // another process has the address, so that one has ended
	case (r.status == lost || r.status == cut) && !errors.Is(r.err, errSilent):
		check, news := book.Lost(now, r.process, j.key, j.events > 0)
		if news {
			j.handler.o.Suspected()
		}
		if connections := j.handler.o.Fleet.ConnectionsTo(j.upstream); check && connections != nil {
			go j.handler.look(j.upstream, r.process, connections)
		}
	}
}

// look finds out whether the process of an upstream at which answers were lost has ended.
func (h *Handler) look(upstream, process string, connections *exchange.Pool) {
	ctx := context.Background() // bounded by the time of making a connection
	reach := connections.Probe(ctx)
	if reach == exchange.Accepts {
		wait.For(ctx, secondLook)
		reach = connections.Probe(ctx)
	}
	if reach != exchange.Refuses {
		return
	}
	if others := h.o.Fleet.Neighbours(upstream, neighbours); !anyAccepts(ctx, others) {
		h.o.Log.Info().Str("event", "crash_in_doubt").Str("upstream", upstream).Int("neighbours", len(others)).Msg("no other upstream of its zone takes connections from here")
		return
	}
	h.crashed(process)
}

// anyAccepts tells whether any of some upstreams takes connections, or there are none.
func anyAccepts(ctx context.Context, pools []*exchange.Pool) bool {
	return len(pools) == 0 || slices.ContainsFunc(pools, func(p *exchange.Pool) bool { return p.Probe(ctx) == exchange.Accepts })
}

func (h *Handler) crashed(process string) {
	if h.o.Quarantine.Crashed(time.Now(), process) {
		h.o.Suspected()
	}
}
