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

// A graceful shutdown refuses new requests and completes those in flight: a call, a stream and a
// forwarded request.
func TestGracefulShutdownCompletesRequestsInFlight(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, "fort", "fort")
	arrived, hold := make(chan service.Call, 9), make(chan struct{})
	f.service.SetFaults(service.Faults{Arrived: arrived, Hold: hold})
	f.engine.SetFaults(engine.Faults{HoldToken: hold})
	leaving := f.daemons[0]
	var held sync.WaitGroup
	replies := make([]reply, 3)
	held.Go(func() { replies[0] = leaving.send(call{path: releasePath, body: "a", key: leaving.issue()}) })
	held.Go(func() { replies[1] = leaving.send(call{path: chatPath, body: prompt("b", true)}) })
	held.Go(func() { replies[2] = f.daemons[1].send(call{path: releasePath, body: "c", key: leaving.issue()}) })
	<-arrived
	<-arrived
	f.eventually("all are in flight", func() bool { return leaving.status().InFlight == 3 && len(f.engine.Runs()) == 1 })
	key := leaving.issue()
	leaving.signal(syscall.SIGTERM)
	f.eventually("the instance drains", func() bool { return leaving.status().Draining })
	r := leaving.send(call{path: lookupPath, body: "new"})
	is.Equal(r.problem.Reason, api.ReasonDraining)
	is.True(r.problem.RetryAfterSeconds > 0)
	r = f.daemons[1].send(call{path: releasePath, body: "new", key: key})
	is.Equal(r.problem.Reason, api.ReasonDraining)
	is.Equal(r.outcome, api.NotRun)
	close(hold)
	held.Wait()
	<-leaving.exited
	is.Equal(leaving.command.ProcessState.ExitCode(), 0)
	is.Equal(replies[0].body, service.ResponseBody("a"))
	is.True(strings.HasSuffix(replies[1].body, "data: [DONE]\n\n"))
	is.Equal(replies[2].body, service.ResponseBody("c"))
	is.Equal(f.runCount("new"), 0)
}

// A shutdown also waits for requests without a caller at this instance: one that another instance
// forwarded, and one whose caller has left but may retry.
func TestShutdownWaitsForForwardedRequests(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, "fort", "fort")
	leaving, other := f.daemons[0], f.daemons[1]
	arrived, hold := make(chan service.Call, 9), make(chan struct{})
	f.service.SetFaults(service.Faults{Arrived: arrived, Hold: hold})
	key := leaving.issue()
	got := make(chan reply)
	go func() { got <- other.send(call{path: releasePath, body: "a", key: key}) }()
	<-arrived
	leaving.signal(syscall.SIGTERM)
	f.eventually("the instance drains", func() bool { return leaving.status().Draining })
	close(hold)
	is.Equal((<-got).body, service.ResponseBody("a"))
	<-leaving.exited
	is.Equal(leaving.command.ProcessState.ExitCode(), 0)
}

// A leaving upstream gets no new request, whether the instance list or, while the list is stale, the
// upstream itself announces it.
func TestLeavingUpstreamGetsNoNewRequests(t *testing.T) {
	for _, announced := range []bool{false, true} {
		t.Run(fmt.Sprintf("announced by upstream %t", announced), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFleet(t, "fort", "fort")
			second := service.New()
			f.list = append(f.list, platform.Instance{Address: f.serve(f.ip(200)+":9001", second), Zone: "fort", Set: claimsService, State: platform.Live})
			f.platform.SetInstances(f.list)
			for _, p := range f.daemons {
				f.eventually("the list is in use", func() bool { return p.status().ListVersion == 2 })
			}
			if announced {
				f.platform.FreezeList()
				f.service.SetFaults(service.Faults{Leaving: true})
				f.eventually("the upstream was called and announced that it leaves", func() bool {
					f.daemons[0].send(call{path: lookupPath, body: "x"})
					return len(f.service.Calls()) > 0
				})
				f.eventually("the peer counts it as leaving", func() bool { return f.daemons[1].isLeaving(f.ip(100) + ":9001") })
			} else {
				f.markLeaving(f.ip(100) + ":9001")
				for _, p := range f.daemons {
					f.eventually("the list is in use", func() bool { return p.status().ListVersion == 3 })
				}
			}
			before := len(f.service.Calls())
			for i := range 20 {
				is.Equal(f.daemons[i%2].send(call{path: lookupPath, body: "y"}).outcome, api.Answered)
			}
			is.Equal(len(f.service.Calls()), before)
			is.True(len(second.Calls()) >= 20)
		})
	}
}

// A frozen instance that resumes sends nothing to an upstream that started to leave in the meantime.
func TestResumedInstanceSendsNothingToLeavingUpstream(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, "fort", "fort")
	second := service.New()
	f.list = append(f.list, platform.Instance{Address: f.serve(f.ip(200)+":9001", second), Zone: "fort", Set: claimsService, State: platform.Live})
	f.platform.SetInstances(f.list)
	p := f.daemons[1]
	f.eventually("the list is in use", func() bool { return p.status().ListVersion == 2 })
	p.freeze()
	f.markLeaving(f.ip(100) + ":9001")
	<-time.After(pause.Threshold + 200*time.Millisecond) // the duration of the fault
	var early sync.WaitGroup
	for range 10 {
		early.Go(func() { p.send(call{path: lookupPath, body: "early"}) })
	}
	p.resume()
	early.Wait()
	is.Equal(len(f.service.Calls()), 0)
	is.Equal(len(second.Calls()), 10)
}

// markLeaving marks an upstream as leaving in the instance list.
func (f *fleet) markLeaving(address string) {
	for i := range f.list {
		if f.list[i].Address == address {
			f.list[i].State = platform.Leaving
		}
	}
	f.platform.SetInstances(f.list)
}

// isLeaving reports whether a daemon counts an upstream of the service as leaving.
func (p *process) isLeaving(address string) bool {
	var r struct {
		Status struct {
			Upstreams []struct {
				Address string `json:"address"`
				Leaving bool   `json:"leaving"`
			} `json:"upstreams"`
		} `json:"status"`
	}
	p.getResource("/v1/resources/Service/"+claimsService, &r)
	for _, u := range r.Status.Upstreams {
		if u.Address == address {
			return u.Leaving
		}
	}
	return false
}
