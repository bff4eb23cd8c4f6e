package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/fleet"
	"github.com/tacktally/tacktally/internal/peer"
	"github.com/tacktally/tacktally/internal/retrybudget"
	"github.com/tacktally/tacktally/internal/scheduler"
	"github.com/tacktally/tacktally/internal/wait"
)

// shorten gives all routes short objectives, so that an upstream is soon silent for too long.
func (r *harness) shorten() {
	for i := range r.document.Routes {
		r.document.Routes[i].LatencyObjective = 20 * time.Millisecond
		r.document.Routes[i].MaxEventInterval = 20 * time.Millisecond
	}
	r.publish(0)
}

// writesParts writes parts of a response, and is silent after each of them for a time.
func writesParts(silence time.Duration, parts ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		for _, part := range parts {
			_, _ = io.WriteString(w, part)
			_ = http.NewResponseController(w).Flush()
			wait.For(q.Context(), silence)
		}
	}
}

// Guards against responses that are cut since their upstream was silent while the retry budget had nothing for another one.
func TestSilentUpstreamIsKeptWithoutAnother(t *testing.T) {
	for route, c := range map[string]struct {
		silence time.Duration
		parts   []string
	}{
		"safe":      {300 * time.Millisecond, []string{"", "ok"}},
		"resumable": {minIdleTimeout + 300*time.Millisecond, []string{"id: 1\ndata: 1\n\n", "id: 2\ndata: 2\n\n"}},
	} {
		t.Run(route, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			r := newHarnessWithRetries(t, retrybudget.Bound{Window: time.Hour})
			r.shorten()
			r.addUpstream("a", func(w http.ResponseWriter, q *http.Request) {
				wait.For(q.Context(), c.silence) // longer than the objective allows
				writesParts(c.silence, c.parts...)(w, q)
			})
			r.addUpstream("b", respondsWith("never"))
			got := r.get(route)
			is.NoErr(got.err)
			is.Equal(got.status, 200)
			is.Equal(r.arrivedIDs(), "a")
			is.Equal(got.body, strings.Join(c.parts, ""))
			is.Equal(r.arrivedIDs(), "a")
		})
	}
}

// Guards against a silent upstream that is never replaced, since the first request for another one was refused.
func TestSilentUpstreamIsReplacedOnceTheRetryBudgetAllowsIt(t *testing.T) {
	is := is.New(t)
	r := newHarnessWithRetries(t, retrybudget.Bound{Extra: 20, Window: 10 * time.Second}) // the owner's budget fills with time
	r.shorten()
	left := make(chan struct{})
	r.addUpstream("a", hijack(func(c net.Conn) {
		_, _ = c.Read(make([]byte, 1)) // blocks until the other side closes
		close(left)
	}))
	r.addUpstream("b", respondsWith("ok"))
	got := r.get("safe")
	is.Equal(got.body, "ok")
	is.Equal(r.arrivedIDs(), "a b")
	<-left
}

// Guards against a long body that is cut since it takes longer than an upstream may take to begin its response.
func TestLongBodyOfAnIdempotentRequestIsNotCut(t *testing.T) {
	is := is.New(t)
	r := newHarness(t)
	r.shorten()
	part := strings.Repeat("a", maxBufferedBytes+1)
	r.addUpstream("a", writesParts(200*time.Millisecond, part, part, ""))
	r.addUpstream("b", respondsWith("never"))
	got := r.get("safe")
	is.NoErr(got.err)
	is.Equal(len(got.body), 2*len(part))
	is.Equal(r.arrivedIDs(), "a")
}

// Guards against a stream that is cut since its caller reads slowly: that is no silence of the upstream.
func TestStreamIsNotCutWhileItsCallerReadsSlowly(t *testing.T) {
	is := is.New(t)
	r := newHarnessWithRetries(t, retrybudget.Bound{Window: time.Hour})
	r.shorten()
	const events = 800
	var stream strings.Builder // larger than the buffers of all sockets
	for n := range events {
		fmt.Fprintf(&stream, "id: %d\ndata: %s\n\n", n+1, strings.Repeat("a", 64<<10))
	}
	r.addUpstream("a", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(stream.Len()))
		_, _ = io.WriteString(w, stream.String()) // the other side may have closed
	})
	response, err := http.DefaultClient.Do(r.request("GET", "/resumable/x", ""))
	is.NoErr(err)
	defer response.Body.Close()
	wait.For(t.Context(), minIdleTimeout+300*time.Millisecond)
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(strings.Count(string(body), "id: "), events)
}

// Guards against streams with events that come twice or are missing, where the upstream goes on at the moment at which
// another one is granted.
func TestUpstreamThatGoesOnWhileAnotherIsGranted(t *testing.T) {
	const events = 4
	r := newHarnessWithRetries(t, retrybudget.Bound{Share: 2, Extra: 1000, Window: time.Second})
	r.shorten()
	serve := func(w http.ResponseWriter, q *http.Request) {
		last := 0
		_, _ = fmt.Sscan(q.Header.Get("After"), &last)
		for n := last + 1; n <= events; n++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %d\n\n", n, n)
			_ = http.NewResponseController(w).Flush()
			if n == 2 && last == 0 {
				wait.For(q.Context(), minIdleTimeout)
			}
		}
	}
	for _, id := range []string{"a", "b", "c", "d"} {
		r.addUpstream(id, serve)
	}
	var want strings.Builder
	for n := range events {
		fmt.Fprintf(&want, "id: %d\ndata: %d\n\n", n+1, n+1)
	}
	var callers sync.WaitGroup
	for range 24 {
		callers.Go(func() {
			if got := r.get("resumable"); got.err != nil || got.body != want.String() {
				t.Errorf("got %q, %v", got.body, got.err)
			}
		})
	}
	callers.Wait()
}

// Guards against a slot that stays taken after its request was refused, since the instance began to shut down.
func TestReplacementIsReleasedIfTheRequestIsRefusedLate(t *testing.T) {
	is := is.New(t)
	r := newHarness(t)
	r.shorten()
	r.addUpstream("a", respondsWith("never"))
	r.addUpstream("b", respondsWith("never"))
	var once sync.Once
	r.onDial = func() {
		once.Do(func() {
			now := time.Now()
			r.handler.Drain(now, now.Add(6*time.Second))
			wait.For(t.Context(), 300*time.Millisecond) // longer than the objective allows
		})
	}
	got := r.get("safe")
	is.Equal(got.header.Get("Reason"), string(api.ReasonDraining))
	is.Equal(r.arrivedIDs(), "")
	for range 8 { // all slots of b
		_, problem := r.fleet.Acquire(t.Context(), &fleet.AcquireRequest{Service: "s", Attempt: peer.RequeuedAttempt, Request: &scheduler.Request{
			Share: 1, Arrived: time.Now(), Deadline: time.Now().Add(time.Minute), MaxWait: 10 * time.Millisecond, AllowLate: true,
		}})
		is.True(problem == nil)
	}
}

// Guards against an attempt that is ended in favour of another one at the same silent upstream.
func TestSilentUpstreamIsNotReplacedByItself(t *testing.T) {
	is := is.New(t)
	r := newHarness(t)
	r.shorten()
	r.addUpstream("a", func(w http.ResponseWriter, q *http.Request) {
		wait.For(q.Context(), 500*time.Millisecond) // longer than the objective allows
		_, _ = io.WriteString(w, "ok")
	})
	got := r.get("safe")
	is.NoErr(got.err)
	is.Equal(got.body, "ok")
	is.Equal(r.arrivedIDs(), "a")
}

// Guards against a response that is given up in favour of an upstream that then refuses the request.
func TestSilentUpstreamIsNotGivenUpForOneThatRefuses(t *testing.T) {
	is := is.New(t)
	r := newHarnessWithRetries(t, retrybudget.Bound{Share: 4, Extra: 20, Window: 10 * time.Second}) // two retries
	r.shorten()
	var arrived atomic.Int32
	serve := func(w http.ResponseWriter, q *http.Request) {
		if arrived.Add(1) == 2 {
			refusesRequest(w, q)
			return
		}
		wait.For(q.Context(), 500*time.Millisecond) // longer than the objective allows
		_, _ = io.WriteString(w, "ok")
	}
	for _, id := range []string{"a", "b", "c"} {
		r.addUpstream(id, serve)
	}
	got := r.get("safe")
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusOK)
	is.Equal(got.body, "ok")
}
