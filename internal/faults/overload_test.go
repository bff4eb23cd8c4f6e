package faults

import (
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/settings"
	"github.com/tacktally/tacktally/internal/standin/service"
)

// While every place is taken, lower work makes room for higher and is told so at
// once, with a time to come back.
func TestHigherTierIsNeverShedFirst(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newTunedFleet(t, func(s *settings.Settings) { s.Queue.MaxItems = 2 }, "fort")
	p := f.daemons[0]
	arrived, hold := make(chan service.Call, 99), make(chan struct{})
	f.service.SetFaults(service.Faults{Arrived: arrived, Hold: hold})
	var all sync.WaitGroup
	lower, higher := make(chan reply, 99), make(chan reply, 99)
	send := func(tier string, to chan reply) {
		all.Go(func() { to <- p.send(call{path: lookup, body: tier, tier: tier}) })
	}
	for i := 1; i <= 10; i++ { // 8 are sent, 2 wait
		send("desk", lower)
		f.eventually("it is held", func() bool { return p.status().InFlight == i })
	}
	for range 2 { // each takes the place of one that waits
		send("counter", higher)
		r := <-lower
		is.Equal(r.problem.Reason, api.ReasonDisplaced)
		is.Equal(r.outcome, api.NotRun)
		is.True(r.problem.RetryAfterSeconds > 0)
	}
	r := p.send(call{path: lookup, body: "x", tier: "desk"}) // lower never displaces
	is.Equal(r.problem.Reason, api.ReasonQueueFull)
	r = p.send(call{path: lookup, body: "x", tier: "counter"})
	is.Equal(r.problem.Reason, api.ReasonQueueFull) // only higher work waits now
	close(hold)
	all.Wait()
	for range 2 {
		is.Equal((<-higher).outcome, api.Answered)
	}
}

// The bound of an instance on requests held goes by tiers too.
func TestFullInstanceTakesHigherTiers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newTunedFleet(t, func(s *settings.Settings) { s.Callers.MaxInFlight = 9 }, "fort")
	p := f.daemons[0]
	hold := make(chan struct{})
	f.service.SetFaults(service.Faults{Hold: hold})
	var all sync.WaitGroup
	lower := make(chan reply, 99)
	for n := 1; n <= 9; n++ { // 8 are sent, 1 waits
		all.Go(func() { lower <- p.send(call{path: lookup, body: "low", tier: "desk"}) })
		f.eventually("it is held", func() bool { return p.status().InFlight == n })
	}
	is.Equal(p.send(call{path: lookup, body: "x", tier: "desk"}).problem.Reason, api.ReasonQueueFull)
	higher := make(chan reply)
	go func() { higher <- p.send(call{path: lookup, body: "high", tier: "counter"}) }()
	is.Equal((<-lower).problem.Reason, api.ReasonDisplaced)
	is.Equal(p.send(call{path: lookup, body: "x", tier: "counter"}).problem.Reason, api.ReasonQueueFull) // nothing lower waits
	close(hold)
	is.Equal((<-higher).outcome, api.Answered)
	all.Wait()
}

// The same across instances of a zone: before work of a higher tier is refused at
// one, the lower work that waits at the other is given up.
func TestHigherTierIsNeverShedBeforeLowerWorkOfAPeer(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newTunedFleet(t, func(s *settings.Settings) { s.Queue.MaxItems = 1 }, "fort", "fort")
	hold := make(chan struct{})
	f.service.SetFaults(service.Faults{Hold: hold})
	var all sync.WaitGroup
	lower := make(chan reply, 99)
	for i, tier := range []string{"counter", "desk"} { // 8 are sent by each, 1 waits
		p := f.daemons[i]
		for n := 1; n <= 9; n++ {
			all.Go(func() {
				r := p.send(call{path: lookup, body: tier, tier: tier})
				if r.problem.Reason == api.ReasonDisplaced {
					lower <- r
				}
			})
			f.eventually("it is held", func() bool { return p.status().InFlight == n })
		}
	}
	r := f.daemons[0].send(call{path: lookup, body: "x", tier: "counter"})
	is.Equal(r.problem.Reason, api.ReasonQueueFull)
	is.Equal(f.daemons[1].queued(1), 0) // nothing lower waits any more
	is.Equal((<-lower).outcome, api.NotRun)
	// Nor is lower work taken to wait while the other is under pressure.
	is.Equal(f.daemons[1].send(call{path: lookup, body: "y", tier: "desk"}).problem.Reason, api.ReasonDisplaced)
	close(hold)
	all.Wait()
}

// queued returns how many calls of a rank wait for the service at a daemon.
func (p *process) queued(rank int) int {
	var r struct {
		Status struct {
			Queued []int `json:"queued"`
		} `json:"status"`
	}
	p.read("/v1/resources/Service/"+claims, &r)
	return r.Status.Queued[rank]
}
