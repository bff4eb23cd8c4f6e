package faults

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/pause"
	"github.com/tacktally/tacktally/internal/platform"
	"github.com/tacktally/tacktally/internal/standin/engine"
	"github.com/tacktally/tacktally/internal/standin/service"
)

func TestGracefulShutdownCutsNothingOff(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, "fort", "fort")
	arrived, hold := make(chan service.Call, 9), make(chan struct{})
	f.service.SetFaults(service.Faults{Arrived: arrived, Hold: hold})
	f.engine.SetFaults(engine.Faults{HoldToken: hold})
	leaving := f.daemons[0]
	var held sync.WaitGroup
	replies := make([]reply, 3)
	held.Go(func() { replies[0] = leaving.send(call{path: release, body: "a", key: leaving.issue()}) })
	held.Go(func() { replies[1] = leaving.send(call{path: chat, body: prompt("b", true)}) })
	held.Go(func() { replies[2] = f.daemons[1].send(call{path: release, body: "c", key: leaving.issue()}) })
	<-arrived
	<-arrived
	f.eventually("all are in flight", func() bool { return leaving.status().InFlight == 3 && len(f.engine.Runs()) == 1 })
	key := leaving.issue()
	leaving.signal(syscall.SIGTERM)
	f.eventually("it drains", func() bool { return leaving.status().Draining })
	r := leaving.send(call{path: lookup, body: "new"})
	is.Equal(r.problem.Reason, api.ReasonDraining)
	is.True(r.problem.RetryAfterSeconds > 0)
	r = f.daemons[1].send(call{path: release, body: "new", key: key})
	is.Equal(r.problem.Reason, api.ReasonDraining)
	is.Equal(r.outcome, api.NotRun)
	close(hold)
	held.Wait()
	<-leaving.exited
	is.Equal(leaving.command.ProcessState.ExitCode(), 0)
	is.Equal(replies[0].body, service.Answer("a"))
	is.True(strings.HasSuffix(replies[1].body, "data: [DONE]\n\n"))
	is.Equal(replies[2].body, service.Answer("c"))
	is.Equal(f.runs("new"), 0)
}

// A shutdown also waits for what no caller of its own waits for: a request that
// another instance forwarded, and one whose caller has gone but may come back.
func TestShutdownWaitsForForwardedRequests(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, "fort", "fort")
	leaving, other := f.daemons[0], f.daemons[1]
	arrived, hold := make(chan service.Call, 9), make(chan struct{})
	f.service.SetFaults(service.Faults{Arrived: arrived, Hold: hold})
	key := leaving.issue()
	got := make(chan reply)
	go func() { got <- other.send(call{path: release, body: "a", key: key}) }()
	<-arrived
	leaving.signal(syscall.SIGTERM)
	f.eventually("it drains", func() bool { return leaving.status().Draining })
	close(hold)
	is.Equal((<-got).body, service.Answer("a"))
	<-leaving.exited
	is.Equal(leaving.command.ProcessState.ExitCode(), 0)
}

// An upstream that leaves gets no new work, whoever says so first: the list, or
// the upstream itself while the list lags.
func TestLeavingUpstreamGetsNothingNew(t *testing.T) {
	for _, own := range []bool{false, true} {
		t.Run(fmt.Sprintf("own word %t", own), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFleet(t, "fort", "fort")
			second := service.New()
			f.list = append(f.list, platform.Instance{Address: f.serve(f.ip(200)+":9001", second), Zone: "fort", Set: claims, State: platform.Live})
			f.platform.SetInstances(f.list)
			for _, p := range f.daemons {
				f.eventually("the list is in use", func() bool { return p.status().ListVersion == 2 })
			}
			if own {
				f.platform.FreezeList()
				f.service.SetFaults(service.Faults{Leaving: true})
				f.eventually("it was called and said so", func() bool {
					f.daemons[0].send(call{path: lookup, body: "x"})
					return len(f.service.Calls()) > 0
				})
				f.eventually("the peer knows", func() bool { return f.daemons[1].leaves(f.ip(100) + ":9001") })
			} else {
				f.leave(f.ip(100) + ":9001")
				for _, p := range f.daemons {
					f.eventually("the list is in use", func() bool { return p.status().ListVersion == 3 })
				}
			}
			before := len(f.service.Calls())
			for i := range 20 {
				is.Equal(f.daemons[i%2].send(call{path: lookup, body: "y"}).outcome, api.Answered)
			}
			is.Equal(len(f.service.Calls()), before)
			is.True(len(second.Calls()) >= 20)
		})
	}
}

// A frozen instance that wakes sends nothing to an upstream that began to leave
// meanwhile.
func TestWokenInstanceSendsNothingToALeavingUpstream(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, "fort", "fort")
	second := service.New()
	f.list = append(f.list, platform.Instance{Address: f.serve(f.ip(200)+":9001", second), Zone: "fort", Set: claims, State: platform.Live})
	f.platform.SetInstances(f.list)
	p := f.daemons[1]
	f.eventually("the list is in use", func() bool { return p.status().ListVersion == 2 })
	p.freeze()
	f.leave(f.ip(100) + ":9001")
	<-time.After(pause.Threshold + 200*time.Millisecond) // the length of the fault
	var early sync.WaitGroup
	for range 10 {
		early.Go(func() { p.send(call{path: lookup, body: "early"}) })
	}
	p.wake()
	early.Wait()
	is.Equal(len(f.service.Calls()), 0)
	is.Equal(len(second.Calls()), 10)
}

func (f *fleet) leave(address string) {
	for i := range f.list {
		if f.list[i].Address == address {
			f.list[i].State = platform.Leaving
		}
	}
	f.platform.SetInstances(f.list)
}

// leaves tells whether a daemon counts an upstream of the service as leaving.
func (p *process) leaves(address string) bool {
	var r struct {
		Status struct {
			Upstreams []struct {
				Address string `json:"address"`
				Leaving bool   `json:"leaving"`
			} `json:"upstreams"`
		} `json:"status"`
	}
	p.read("/v1/resources/Service/"+claims, &r)
	for _, u := range r.Status.Upstreams {
		if u.Address == address {
			return u.Leaving
		}
	}
	return false
}
