package faults

import (
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/settings"
	"github.com/tacktally/tacktally/internal/standin/service"
)

// A zone without an upstream sends idempotent requests to another zone; what runs
// at most once stays, and a zone cut off says so.
func TestOtherZoneTakesWhatThisOneCannot(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, "fort", "pettah")
	here, there := f.daemons[0], f.daemons[1]
	f.leave(f.ip(100) + ":9001")
	f.eventually("the list is in use", func() bool { return here.status().ListVersion == 2 })
	is.Equal(here.send(call{path: lookup, body: "a"}).body, service.Answer("a"))
	is.Equal(here.metric(`tacktally_retries_total{reason="retry_other_zone"}`), 1.0)
	r := here.send(call{path: release, body: "b", key: here.issue()})
	is.Equal(r.problem.Reason, api.ReasonNoUpstream)
	is.Equal(r.outcome, api.NotRun)
	f.leave(f.ip(101) + ":9001") // the other has none either: it isn't sent on and on
	f.eventually("the list is in use", func() bool { return there.status().ListVersion == 3 })
	is.Equal(here.send(call{path: lookup, body: "c"}).problem.Reason, api.ReasonNoUpstream)
	cut(here, there)
	f.eventually("they are apart", func() bool { return here.reachable() == 0 })
	is.Equal(here.send(call{path: lookup, body: "d"}).problem.Reason, api.ReasonNoUpstream)
	is.Equal(len(f.service.Calls()), 1)
}

// A zone with a full queue sends on; one whose own queue holds work takes nothing.
func TestFullZoneSendsToOneWithRoom(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newTunedFleet(t, func(s *settings.Settings) { s.Queue.MaxItems = 1 }, "fort", "pettah")
	arrived, hold := make(chan service.Call, 99), make(chan struct{})
	f.service.SetFaults(service.Faults{Arrived: arrived, Hold: hold})
	var all sync.WaitGroup
	fill := func(p *process) {
		for n := 1; n <= 9; n++ { // 8 are sent, 1 waits
			all.Go(func() { p.send(call{path: lookup, body: "x"}) })
			f.eventually("it is held", func() bool { return p.status().InFlight == n })
		}
		for range 8 {
			<-arrived
		}
	}
	fill(f.daemons[0])
	spilled := make(chan reply)
	go func() { spilled <- f.daemons[0].send(call{path: lookup, body: "spilled"}) }()
	is.Equal((<-arrived).Body, "spilled")
	is.Equal(f.daemons[1].status().InFlight, 1)
	close(hold)
	is.Equal((<-spilled).body, service.Answer("spilled"))
	all.Wait()
}
