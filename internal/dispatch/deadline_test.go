package dispatch

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/answer"
	"github.com/tacktally/tacktally/internal/config"
	"github.com/tacktally/tacktally/internal/pause"
	"github.com/tacktally/tacktally/internal/platform"
	"github.com/tacktally/tacktally/internal/quarantine"
	"github.com/tacktally/tacktally/internal/queue"
	"github.com/tacktally/tacktally/internal/telemetry"
	"github.com/tacktally/tacktally/internal/upstream"
)

// hangTimeout bounds what a failing test waits for.
const hangTimeout = 20 * time.Second

// heldEngine leaves a response unfinished until its connection is closed.
type heldEngine struct {
	// steps are responses that break before the one that is held.
	steps []step
	// held is the part of the held response that is sent; if it is empty, its head isn't sent either.
	held string
	// onHeld is called once that part is sent.
	onHeld func()
	// leaving adds the leaving notice to the head of the held response.
	leaving bool
	// onRelayed is called once the events that runHeld waits for are in the buffer; nil for no call.
	onRelayed func()
	// closed is closed once the connection of the held response is.
	closed chan struct{}
	// stopped is closed when the test ends.
	stopped <-chan struct{}

	mu        sync.Mutex
	targets   []string
	cancelled []string
}

func (e *heldEngine) ServeHTTP(w http.ResponseWriter, h *http.Request) {
	e.mu.Lock()
	if h.Method == http.MethodDelete {
		e.cancelled = append(e.cancelled, h.URL.RequestURI()+" "+h.Header.Get(upstream.HeaderOwner))
		e.mu.Unlock()
		w.WriteHeader(http.StatusNoContent)
		return
	}
	n := len(e.targets)
	e.targets = append(e.targets, h.URL.RequestURI())
	e.mu.Unlock()
	_, _ = io.Copy(io.Discard, h.Body) // the server notices a closed connection only after the body
	switch {
	case n < len(e.steps):
		(&scriptedEngine{steps: e.steps[n:]}).ServeHTTP(w, h)
		return
	case n > len(e.steps):
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if e.held != "" {
		w.Header().Set(upstream.HeaderStreamID, "s1")
		w.Header().Set("Content-Type", "text/event-stream")
		if e.leaving {
			w.Header().Set(upstream.HeaderLeaving, "true")
		}
		_, _ = io.WriteString(w, e.held)
		_ = http.NewResponseController(w).Flush()
	}
	e.onHeld()
	select {
	case <-h.Context().Done():
		close(e.closed)
	case <-e.stopped:
	}
}

// requests returns the targets of the requests received, and the targets and owners of the cancellations.
func (e *heldEngine) requests() (targets, cancelled []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.targets), slices.Clone(e.cancelled)
}

// newHeldAttempts returns the attempts of a request that a scheduler sends to an engine, and the engine's address.
func newHeldAttempts(t *testing.T, e *heldEngine) (a *attempts, address string) {
	t.Helper()
	r := newStreamRequest(false)
	r.Organisation = "gebremedhin"
	stopped := make(chan struct{})
	e.closed, e.stopped = make(chan struct{}), stopped
	a, address = newScriptedAttempts(t, e, r)
	t.Cleanup(func() { close(stopped) })
	logger := telemetry.NewLogger(io.Discard, "error", "test")
	d := New(Options{
		Zone: "bole", Subset: 48, Limits: queue.Limits{MaxItems: 9, MaxBytes: 1 << 20},
		Client: a.dispatcher.o.Client, Metrics: telemetry.NewMetrics(), Log: logger,
		Gate: &pause.Gate{Detector: pause.NewDetector()}, Quarantine: quarantine.New(logger, nil),
		OnQuarantineChange: func() {}, OnResponseRecorded: func() {},
	})
	d.SetInstances([]platform.Instance{{Address: address, Zone: "bole", Set: a.set, State: platform.Live}})
	a.dispatcher, a.pool = d, d.pool(a.set)
	a.tier, a.organisation = &config.Tier{}, &config.Organisation{Share: 1}
	return a, address
}

// runHeld runs a until its context ends with a cause: once the buffer holds as many events as given or, if that is 0, once
// the engine holds its response. It returns once the connection is closed and the cancellation, if any, has ended.
func (e *heldEngine) runHeld(t *testing.T, a *attempts, events int, cause error) answer.End {
	t.Helper()
	ctx, end := context.WithCancelCause(t.Context())
	defer end(nil)
	held := make(chan struct{})
	e.onHeld = func() { close(held) }
	ended := make(chan answer.End, 1)
	go func() { ended <- a.run(ctx) }()
	awaitClosed(t, held, "the engine holds its response")
	guarded, stop := context.WithTimeout(ctx, hangTimeout)
	defer stop()
	for reader := a.buffer.Reader(); events > 0; {
		event, err := reader.Next(guarded)
		if err != nil || event.End != nil {
			t.Fatalf("%d events weren't relayed: %v", events, err)
		}
		if event.Chunk != nil {
			events--
		}
	}
	if e.onRelayed != nil {
		e.onRelayed()
	}
	end(cause)
	awaitClosed(t, e.closed, "the connection to the engine is closed")
	select {
	case got := <-ended:
		a.dispatcher.cancellations.Wait()
		return got
	case <-time.After(hangTimeout):
		t.Fatal("timed out waiting for: the request ends")
		return answer.End{}
	}
}

func awaitClosed(t *testing.T, c <-chan struct{}, what string) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(hangTimeout):
		t.Fatalf("timed out waiting for: %s", what)
	}
}

// Guards against an engine that goes on working for nobody after the deadline of a stream. The run of a caller that left
// isn't cancelled by ID, since the caller may resume it.
func TestRunOfAStreamPastItsDeadlineIsEnded(t *testing.T) {
	for name, c := range map[string]struct {
		held      string
		events    int
		cause     error
		reason    api.Reason
		cancelled []string
	}{
		"deadline after the first event": {events(1, 1), 1, context.DeadlineExceeded, api.ReasonUpstreamTimeout, []string{"/v1/streams/s1 gebremedhin"}},
		"deadline before the head":       {"", 0, context.DeadlineExceeded, api.ReasonUpstreamTimeout, nil},
		"caller left after an event":     {events(1, 1), 1, context.Canceled, api.ReasonCallerGone, nil},
		"caller left before the head":    {"", 0, context.Canceled, api.ReasonCallerGone, nil},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := &heldEngine{held: c.held}
			a, _ := newHeldAttempts(t, e)
			end := e.runHeld(t, a, c.events, c.cause)
			is.True(end.Problem != nil)
			is.Equal(end.Reason(), c.reason)
			targets, cancelled := e.requests()
			is.Equal(cancelled, c.cancelled)
			is.Equal(len(targets), 1)
		})
	}
}

// Guards against an engine that goes on working for nobody after a deadline that passes while its stream is resumed, and
// against callers being told that the response was truncated.
func TestRunOfAResumedStreamPastItsDeadlineIsCancelled(t *testing.T) {
	broken := []step{{body: events(1, 3)}}
	for name, c := range map[string]struct {
		byCaller bool   // the caller resumes the stream after event 3; otherwise the instance does
		steps    []step // before the run in which the deadline passes
		held     string
		events   int
		want     string
	}{
		"before the head":                       {false, broken, "", 3, "1 2 3"},
		"after an event":                        {false, broken, events(1, 4), 4, "1 2 3 4"},
		"in the second resumption":              {false, append(broken, step{body: events(1, 4)}), events(1, 5), 5, "1 2 3 4 5"},
		"before the head, by the caller":        {true, nil, "", 0, ""},
		"after an event, by the caller":         {true, nil, events(1, 5), 2, "4 5"},
		"broken and resumed, then the deadline": {true, []step{{body: events(1, 5)}}, "", 2, "4 5"},
	} {
		for _, deadline := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, deadline %t", name, deadline), func(t *testing.T) {
				is := is.New(t)
				e := &heldEngine{steps: c.steps, held: c.held}
				a, address := newHeldAttempts(t, e)
				if c.byCaller {
					a.request.LastEventID = lastEventID(t, address, events(1, 3))
				}
				cause, reason := context.Canceled, api.ReasonCallerGone
				var cancelled []string // a caller that left may resume the stream
				if deadline {
					cause, reason = context.DeadlineExceeded, api.ReasonUpstreamTimeout
					cancelled = []string{"/v1/streams/s1 gebremedhin"}
				}
				end := e.runHeld(t, a, c.events, cause)
				is.True(end.Problem != nil)
				is.Equal(end.Reason(), reason)
				targets, got := e.requests()
				is.Equal(got, cancelled)
				is.Equal(len(targets), len(c.steps)+1) // no further resumption
				is.Equal(dataOf(t, a.buffer), c.want)
			})
		}
	}
}

// Guards against an engine that goes on working for nobody where the deadline passes between the break of a stream and
// its resumption.
func TestStreamIsCancelledWhereTheDeadlinePassesBeforeItsResumption(t *testing.T) {
	for name, c := range map[string]struct {
		cause     error
		reason    api.Reason
		cancelled []string
	}{
		"deadline":    {context.DeadlineExceeded, api.ReasonUpstreamTimeout, []string{"/v1/streams/s1 gebremedhin"}},
		"caller left": {context.Canceled, api.ReasonCallerGone, nil},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := &heldEngine{}
			a, address := newHeldAttempts(t, e)
			ctx, end := context.WithCancelCause(t.Context())
			end(c.cause)
			got := a.resume(ctx, address, upstream.Result{Status: upstream.Truncated, Err: io.ErrUnexpectedEOF, Position: upstream.ResumeToken{Upstream: address, StreamID: "s1", Events: 3}})
			a.dispatcher.cancellations.Wait()
			is.Equal(got.Reason(), c.reason)
			targets, cancelled := e.requests()
			is.Equal(cancelled, c.cancelled)
			is.Equal(len(targets), 0)
			is.Equal(a.resumes, 0) // none is counted as a retry
		})
	}
}

// Guards against new requests to an engine that has announced that it leaves: a notice in the head of a stream counted only
// once the stream had ended, and one in a resumption never.
func TestLeavingNoticeCountsFromTheHeadOfAStream(t *testing.T) {
	for _, resumed := range []bool{false, true} {
		t.Run(fmt.Sprintf("resumed by the caller %t", resumed), func(t *testing.T) {
			is := is.New(t)
			e := &heldEngine{held: events(1, 4), leaving: true}
			a, address := newHeldAttempts(t, e)
			if resumed {
				a.request.LastEventID = lastEventID(t, address, events(1, 3))
			}
			announced := ""
			a.dispatcher.o.OnUpstreamLeaving = func(address string) { announced = address }
			var during []string
			e.onRelayed = func() { during = a.dispatcher.Members(a.set) }
			is.Equal(a.dispatcher.Members(a.set), []string{address})
			e.runHeld(t, a, 1, context.Canceled)
			is.Equal(during, nil)
			is.Equal(announced, address)
		})
	}
}
