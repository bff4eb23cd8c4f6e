package faults

import (
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/settings"
	"github.com/tacktally/tacktally/internal/standin/service"
)

// A zone without an upstream forwards idempotent requests to another zone. Requests that may run at most
// once aren't forwarded, and without a reachable zone the request is refused.
func TestZoneWithoutUpstreamForwardsToOtherZone(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, "fort", "pettah")
	here, there := f.daemons[0], f.daemons[1]
	f.markLeaving(f.ip(100) + ":9001")
	f.eventually("the list is in use", func() bool { return here.status().ListVersion == 2 })
	is.Equal(here.send(call{path: lookupPath, body: "a"}).body, service.ResponseBody("a"))
	is.Equal(here.metric(`tacktally_retries_total{reason="retry_other_zone"}`), 1.0)
	r := here.send(call{path: releasePath, body: "b", key: here.issue()})
	is.Equal(r.problem.Reason, api.ReasonNoUpstream)
	is.Equal(r.outcome, api.NotRun)
	f.markLeaving(f.ip(101) + ":9001") // the other zone has none either: no forwarding loop
	f.eventually("the list is in use", func() bool { return there.status().ListVersion == 3 })
	is.Equal(here.send(call{path: lookupPath, body: "c"}).problem.Reason, api.ReasonNoUpstream)
	partition(here, there)
	f.eventually("the instances are partitioned", func() bool { return here.reachable() == 0 })
	is.Equal(here.send(call{path: lookupPath, body: "d"}).problem.Reason, api.ReasonNoUpstream)
	is.Equal(len(f.service.Calls()), 1)
}

// A zone with a full queue forwards requests to a zone that has free slots and an empty queue.
func TestFullZoneForwardsToZoneWithFreeCapacity(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newConfiguredFleet(t, func(s *settings.Settings) { s.Queue.MaxItems = 1 }, "fort", "pettah")
	arrived, hold := make(chan service.Call, 99), make(chan struct{})
	f.service.SetFaults(service.Faults{Arrived: arrived, Hold: hold})
	var all sync.WaitGroup
	fill := func(p *process) {
		for n := 1; n <= 9; n++ { // 8 run, 1 is queued
			all.Go(func() { p.send(call{path: lookupPath, body: "x"}) })
			f.eventually("the request is in flight", func() bool { return p.status().InFlight == n })
		}
		for range 8 {
			<-arrived
		}
	}
	fill(f.daemons[0])
	spilled := make(chan reply)
	go func() { spilled <- f.daemons[0].send(call{path: lookupPath, body: "spilled"}) }()
	is.Equal((<-arrived).Body, "spilled")
	is.Equal(f.daemons[1].status().InFlight, 1)
	close(hold)
	is.Equal((<-spilled).body, service.ResponseBody("spilled"))
	all.Wait()
}
