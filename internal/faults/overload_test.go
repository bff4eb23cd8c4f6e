package faults

import (
	"sync"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/settings"
	"github.com/tacktally/tacktally/internal/standin/service"
)

// While the queue is full, a request of a higher tier displaces one of a lower tier, which is refused
// immediately with a time after which to retry.
func TestHigherTierIsNeverShedFirst(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newConfiguredFleet(t, func(s *settings.Settings) { s.Queue.MaxItems = 2 }, "fort")
	p := f.daemons[0]
	arrived, hold := make(chan service.Call, 99), make(chan struct{})
	f.service.SetFaults(service.Faults{Arrived: arrived, Hold: hold})
	var all sync.WaitGroup
	lower, higher := make(chan reply, 99), make(chan reply, 99)
	send := func(tier string, to chan reply) {
		all.Go(func() { to <- p.send(call{path: lookupPath, body: tier, tier: tier}) })
	}
	for i := 1; i <= 10; i++ { // 8 run, 2 are queued
		send("desk", lower)
		f.eventually("the request is in flight", func() bool { return p.status().InFlight == i })
	}
	for range 2 { // each displaces a queued request
		send("counter", higher)
		r := <-lower
		is.Equal(r.problem.Reason, api.ReasonDisplaced)
		is.Equal(r.outcome, api.NotRun)
		is.True(r.problem.RetryAfterSeconds > 0)
	}
	r := p.send(call{path: lookupPath, body: "x", tier: "desk"}) // a lower tier never displaces
	is.Equal(r.problem.Reason, api.ReasonQueueFull)
	r = p.send(call{path: lookupPath, body: "x", tier: "counter"})
	is.Equal(r.problem.Reason, api.ReasonQueueFull) // only requests of the higher tier are queued now
	close(hold)
	all.Wait()
	for range 2 {
		is.Equal((<-higher).outcome, api.Answered)
	}
}

// The bound on the requests in flight at an instance also displaces lower tiers first.
func TestFullInstanceAcceptsHigherTiers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newConfiguredFleet(t, func(s *settings.Settings) { s.Callers.MaxInFlight = 9 }, "fort")
	p := f.daemons[0]
	hold := make(chan struct{})
	f.service.SetFaults(service.Faults{Hold: hold})
	var all sync.WaitGroup
	lower := make(chan reply, 99)
	for n := 1; n <= 9; n++ { // 8 run, 1 is queued
		all.Go(func() { lower <- p.send(call{path: lookupPath, body: "low", tier: "desk"}) })
		f.eventually("the request is in flight", func() bool { return p.status().InFlight == n })
	}
	is.Equal(p.send(call{path: lookupPath, body: "x", tier: "desk"}).problem.Reason, api.ReasonQueueFull)
	higher := make(chan reply)
	go func() { higher <- p.send(call{path: lookupPath, body: "high", tier: "counter"}) }()
	is.Equal((<-lower).problem.Reason, api.ReasonDisplaced)
	is.Equal(p.send(call{path: lookupPath, body: "x", tier: "counter"}).problem.Reason, api.ReasonQueueFull) // no lower tier is queued
	close(hold)
	is.Equal((<-higher).outcome, api.Answered)
	all.Wait()
}

// Guards against queued requests that are displaced for one that is refused anyway: by an instance that is shutting down,
// or since it names no event of a stream.
func TestRefusedRequestsDisplaceNothing(t *testing.T) {
	for name, c := range map[string]struct {
		draining bool
		call     call
		want     api.Reason
	}{
		"shutting down":           {true, call{path: lookupPath, body: "x", tier: "counter"}, api.ReasonDraining},
		"malformed Last-Event-ID": {false, call{path: chatPath, body: prompt("x", true), tier: "counter", header: map[string]string{api.HeaderLastEventID: "x"}}, api.ReasonInvalidRequest},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newConfiguredFleet(t, func(s *settings.Settings) { s.Callers.MaxInFlight = 9 }, "fort")
			p := f.daemons[0]
			hold := make(chan struct{})
			f.service.SetFaults(service.Faults{Hold: hold})
			var all sync.WaitGroup
			lower := make(chan reply, 9)
			for n := 1; n <= 9; n++ { // 8 run, 1 is queued
				all.Go(func() { lower <- p.send(call{path: lookupPath, body: "low", tier: "desk"}) })
				f.eventually("the request is in flight", func() bool { return p.status().InFlight == n })
			}
			if c.draining {
				p.signal(syscall.SIGTERM)
				f.eventually("the instance drains", func() bool { return p.status().Draining })
			}
			r := p.send(c.call)
			is.Equal(r.problem.Reason, c.want)
			is.Equal(r.outcome, api.NotRun)
			close(hold)
			all.Wait()
			for range 9 {
				is.Equal((<-lower).outcome, api.Answered)
			}
		})
	}
}

// Across the instances of a zone: before a request of a higher tier is refused at one, the queued
// requests of lower tiers at the other are displaced.
func TestHigherTierIsNeverShedBeforeLowerTierOfPeer(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newConfiguredFleet(t, func(s *settings.Settings) { s.Queue.MaxItems = 1 }, "fort", "fort")
	hold := make(chan struct{})
	f.service.SetFaults(service.Faults{Hold: hold})
	var all sync.WaitGroup
	lower := make(chan reply, 99)
	for i, tier := range []string{"counter", "desk"} { // at each 8 run, 1 is queued
		p := f.daemons[i]
		for n := 1; n <= 9; n++ {
			all.Go(func() {
				r := p.send(call{path: lookupPath, body: tier, tier: tier})
				if r.problem.Reason == api.ReasonDisplaced {
					lower <- r
				}
			})
			f.eventually("the request is in flight", func() bool { return p.status().InFlight == n })
		}
	}
	r := f.daemons[0].send(call{path: lookupPath, body: "x", tier: "counter"})
	is.Equal(r.problem.Reason, api.ReasonQueueFull)
	is.Equal(f.daemons[1].queued(1), 0) // no lower tier is queued any more
	is.Equal((<-lower).outcome, api.NotRun)
	// A request of a lower tier isn't queued either while the other instance is under pressure.
	is.Equal(f.daemons[1].send(call{path: lookupPath, body: "y", tier: "desk"}).problem.Reason, api.ReasonDisplaced)
	close(hold)
	all.Wait()
}

// queued returns the number of calls of a rank that are queued for the service at a daemon.
func (p *process) queued(rank int) int {
	var r struct {
		Status struct {
			Queued []int `json:"queued"`
		} `json:"status"`
	}
	p.getResource("/v1/resources/Service/"+claimsService, &r)
	return r.Status.Queued[rank]
}
