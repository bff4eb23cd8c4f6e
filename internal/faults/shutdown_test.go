package faults

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/pause"
	"github.com/tacktally/tacktally/internal/platform"
	"github.com/tacktally/tacktally/internal/settings"
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

// Guards against connections that are closed without an answer at the end of drain.timeout: callers of requests that still
// run are told so, also those of requests that an instance has forwarded.
func TestRequestsThatOutlastTheDrainTimeoutGetAResponse(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newConfiguredFleet(t, func(s *settings.Settings) { s.Drain.Timeout = settings.Duration(300 * time.Millisecond) }, "fort", "fort")
	leaving, other := f.daemons[0], f.daemons[1]
	arrived, hold := make(chan service.Call, 9), make(chan struct{})
	t.Cleanup(func() { close(hold) })
	f.service.SetFaults(service.Faults{Arrived: arrived, Hold: hold})
	calls := map[string]struct {
		at   *process
		call call
		want api.Reason
	}{
		"under a key of its own":           {leaving, call{path: releasePath, body: "a", key: leaving.issue()}, api.ReasonUpstreamLost},
		"idempotent":                       {leaving, call{path: lookupPath, body: "b"}, api.ReasonUpstreamLost},
		"forwarded by another instance":    {other, call{path: releasePath, body: "c", key: leaving.issue()}, api.ReasonUpstreamLost},
		"forwarded to the issuer of a key": {leaving, call{path: releasePath, body: "d", key: other.issue()}, api.ReasonIssuerUnreachable},
	}
	var mu sync.Mutex
	var sent sync.WaitGroup
	replies := map[string]reply{}
	for name, c := range calls {
		sent.Go(func() {
			r := c.at.send(c.call)
			mu.Lock()
			defer mu.Unlock()
			replies[name] = r
		})
	}
	for range calls {
		<-arrived
	}
	leaving.signal(syscall.SIGTERM)
	<-leaving.exited
	sent.Wait()
	is.Equal(leaving.command.ProcessState.ExitCode(), 0)
	for name, c := range calls {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(replies[name].outcome, api.Unknown)
			is.Equal(replies[name].problem.Reason, c.want)
		})
	}
}

// Guards against a request that waits when drain.timeout ends and is told that it may have run, or nothing, and against a
// stream that ends then without a reason.
func TestQueuedRequestsAndStreamsAtTheEndOfTheDrainTimeout(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newConfiguredFleet(t, func(s *settings.Settings) { s.Drain.Timeout = settings.Duration(300 * time.Millisecond) }, "fort")
	leaving := f.daemons[0]
	arrived, hold, token := make(chan service.Call, 9), make(chan struct{}), make(chan struct{})
	t.Cleanup(func() { close(hold) })
	t.Cleanup(func() { close(token) })
	f.service.SetFaults(service.Faults{Arrived: arrived, Hold: hold})
	f.engine.SetFaults(engine.Faults{HoldToken: token})
	var sent sync.WaitGroup
	for range 8 { // as many as run at a time
		sent.Go(func() { leaving.send(call{path: lookupPath, body: "a"}) })
		<-arrived
	}
	queued := make([]reply, 2)
	sent.Go(func() { queued[0] = leaving.send(call{path: lookupPath, body: "queued"}) })
	sent.Go(func() { queued[1] = leaving.send(call{path: releasePath, body: "queued", key: leaving.issue()}) })
	f.eventually("requests are queued", func() bool { return leaving.status().InFlight == 10 })
	var stream reply
	sent.Go(func() { stream = leaving.send(call{path: chatPath, body: prompt("b", true)}) })
	token <- struct{}{}
	f.eventually("the stream has begun", func() bool { return leaving.metric(`tacktally_first_token_seconds_count{tier="counter"}`) == 1 })
	leaving.signal(syscall.SIGTERM)
	<-leaving.exited
	sent.Wait()
	for _, r := range queued {
		is.Equal(r.outcome, api.NotRun)
		is.Equal(r.problem.Reason, api.ReasonDraining)
	}
	is.Equal(f.runCount("queued"), 0)
	is.Equal(stream.outcome, api.Unknown)
	is.True(strings.Contains(stream.body, "event: error\n"))
	is.True(strings.Contains(stream.body, string(api.ReasonUpstreamCut)))
}

// Guards against callers that are refused until an instance has ended: their kept connections lead back to it, where a load
// balancer chooses an instance for each connection.
func TestDrainingInstanceEndsKeptConnections(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, "fort")
	leaving := f.daemons[0]
	arrived, hold := make(chan service.Call, 9), make(chan struct{})
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	post := func(body string) (status int, closes bool) {
		h, err := http.NewRequest(http.MethodPost, "http://"+leaving.ip+":7001"+lookupPath, strings.NewReader(body))
		if err != nil {
			return 0, false
		}
		h.Header.Set("Authorization", "Bearer "+apiKey)
		r, err := (&http.Client{Transport: transport, Timeout: testTimeout}).Do(h)
		if err != nil {
			return 0, false
		}
		defer r.Body.Close()
		_, _ = io.Copy(io.Discard, r.Body)
		return r.StatusCode, r.Close
	}
	status, closes := post("a")
	is.Equal(status, http.StatusOK)
	is.True(!closes)
	f.service.SetFaults(service.Faults{Arrived: arrived, Hold: hold})
	var held sync.WaitGroup
	held.Go(func() { status, closes = post("b") })
	<-arrived
	leaving.signal(syscall.SIGTERM)
	f.eventually("the instance drains", func() bool { return leaving.status().Draining })
	refused, refusedCloses := post("c")
	close(hold)
	held.Wait()
	is.Equal(refused, http.StatusServiceUnavailable)
	is.True(refusedCloses)
	is.Equal(status, http.StatusOK)
	is.True(closes)
}

// Guards against a connection that is closed without an answer since the body of its request ends during a shutdown.
func TestBodyThatEndsDuringAShutdownGetsAResponse(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, "fort")
	leaving := f.daemons[0]
	body, rest := io.Pipe()
	h, err := http.NewRequest(http.MethodPost, "http://"+leaving.ip+":7001"+lookupPath, body)
	is.NoErr(err)
	h.ContentLength = 2
	h.Header.Set("Authorization", "Bearer "+apiKey)
	reasons := make(chan string, 1)
	go func() {
		defer close(reasons)
		r, err := f.client.Do(h)
		if err != nil {
			return
		}
		r.Body.Close()
		reasons <- r.Header.Get(api.HeaderReason)
	}()
	_, err = rest.Write([]byte("a"))
	is.NoErr(err)
	f.eventually("the request has arrived", func() bool { return leaving.metric("tacktally_callers_held") == 1 })
	leaving.signal(syscall.SIGTERM)
	f.eventually("the instance drains", func() bool { return leaving.status().Draining })
	_, err = rest.Write([]byte("b"))
	is.NoErr(err)
	is.Equal(<-reasons, string(api.ReasonDraining))
	<-leaving.exited
	is.Equal(f.runCount("ab"), 0)
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
