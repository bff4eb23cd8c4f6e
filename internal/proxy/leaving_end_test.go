package proxy

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/exchange"
	"github.com/tacktally/tacktally/internal/quarantine"
	"github.com/tacktally/tacktally/internal/routing"
	"github.com/tacktally/tacktally/internal/scheduler"
	"github.com/tacktally/tacktally/internal/telemetry"
	"github.com/tacktally/tacktally/internal/virtualtime"
)

// leavingEvents is the raw response, without a stated end, of an upstream that announces that it is leaving.
func leavingEvents(ids ...string) string {
	return strings.Replace(events("", ids...), "\r\n", "\r\nLeaving: 1\r\n", 1)
}

// closesPort returns a handler that closes the port of an upstream before f.
func (r *harness) closesPort(id string, f http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		_ = r.servers[id].Listener.Close()
		f(w, q)
	}
}

// hangs responds to nothing until its connection is closed.
var hangs = hijack(func(c net.Conn) { _, _ = io.Copy(io.Discard, c) })

// Guards against a short stream that looks complete since its upstream, which was killed, was known to be leaving; and
// against whole streams of leaving upstreams that end as broken, since nothing shows that they are whole.
func TestStreamOfAKilledLeavingUpstreamDoesNotLookComplete(t *testing.T) {
	for name, c := range map[string]struct {
		route    string // resumable if empty
		portOpen bool
		others   []http.HandlerFunc // nil for one that also is leaving and closes its port
		body     string
		broken   bool
		arrived  string
	}{
		"another has more":                     {others: []http.HandlerFunc{ended(eventLines("", "3"))}, body: eventLines("", "1", "2", "3"), arrived: "a b"},
		"another has more, without stated end": {others: []http.HandlerFunc{writesRaw(events("", "3"))}, body: eventLines("", "1", "2", "3"), arrived: "a b"},
		"another has more, and breaks off":     {others: []http.HandlerFunc{brokenOff(eventLines("", "3"))}, body: eventLines("", "1", "2", "3"), broken: true, arrived: "a b"},
		"another has more, but not the next":   {others: []http.HandlerFunc{ended(eventLines("", "4"))}, body: eventLines("", "1", "2"), broken: true, arrived: "a b"},
		"another is closed in the next":        {others: []http.HandlerFunc{writesRaw(events("id: 3\ndata: 3"))}, body: eventLines("", "1", "2"), broken: true, arrived: "a b"},
		"another has no more":                  {others: []http.HandlerFunc{ended("")}, body: eventLines("", "1", "2"), arrived: "a b"},
		"another has no more, from the start":  {others: []http.HandlerFunc{ended(eventLines("", "1", "2"))}, body: eventLines("", "1", "2"), arrived: "a b"},
		"accepts connections":                  {portOpen: true, others: []http.HandlerFunc{ended(eventLines("", "3"))}, body: eventLines("", "1", "2"), arrived: "a"},
		"no other upstream":                    {body: eventLines("", "1", "2"), arrived: "a"},
		"another refuses":                      {others: []http.HandlerFunc{refusesRequest}, body: eventLines("", "1", "2"), arrived: "a b"},
		"another fails":                        {others: []http.HandlerFunc{respondsWithFailure}, body: eventLines("", "1", "2"), arrived: "a b"},
		"another drops it":                     {others: []http.HandlerFunc{dropsConnection}, body: eventLines("", "1", "2"), arrived: "a b"},
		"another breaks off before its first":  {others: []http.HandlerFunc{brokenOff(": alive\n\n")}, body: eventLines(": alive\n\n", "1", "2"), arrived: "a b"},
		"another doesn't respond":              {others: []http.HandlerFunc{hangs}, body: eventLines("", "1", "2"), arrived: "a b"},
		"the retry budget is used up":          {others: []http.HandlerFunc{nil, ended(eventLines("", "3"))}, body: eventLines("", "1", "2"), arrived: "a b"},
		"streams can't be resumed":             {route: "stream", others: []http.HandlerFunc{ended(eventLines("", "3"))}, body: eventLines("", "1", "2"), arrived: "a"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newHarness(t)
			for i := range r.document.Routes {
				r.document.Routes[i].MaxAttempts = 3
				r.document.Routes[i].LatencyObjective = 0 // no time-out for the first event
				r.document.Routes[i].Timeout = time.Hour
			}
			r.publish(0)
			first := writesRaw(leavingEvents("1", "2"))
			if !c.portOpen {
				first = r.closesPort("a", first)
			}
			r.addUpstream("a", first)
			for n, f := range c.others {
				id := string(rune('b' + n))
				if f == nil {
					f = r.closesPort(id, writesRaw(leavingEvents()))
				}
				r.addUpstream(id, f)
			}
			route := c.route
			if route == "" {
				route = "resumable"
			}
			got := r.read("/"+route+"/x", "", len(c.body), make(chan struct{}))
			is.Equal(errors.Is(got.err, exchange.ErrTruncated), c.broken)
			is.Equal(got.err == nil, !c.broken)
			is.Equal(got.body, c.body)
			is.Equal(r.arrivedIDs(), c.arrived)
			is.True(!r.registry.HasCrashed(time.Now(), time.Time{}, r.fleet.ProcessOf("a"))) // a refusal doesn't show a crash
		})
	}
}

// Guards against the quarantine of requests that ran at an upstream which left: it refuses connections, and its entry is
// removed, before its last response is read.
func TestUnstatedEndOfALeavingUpstreamIsNoCrash(t *testing.T) {
	for name, c := range map[string]struct {
		before, during func(h *harness)
	}{
		"announces so during the check": {func(*harness) {}, func(h *harness) { h.handler.recordLeaving("a") }},
		"is removed during the check":   {func(h *harness) { h.handler.recordLeaving("a") }, func(h *harness) { h.removeUpstream("a") }},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t)
			h.publish(0)
			h.addUpstream("a", respondsWith("x"))
			j := &job{handler: h.handler, upstream: "a", route: &routing.Route{Kind: routing.Stream, Resumable: true, MaxAttempts: 2}, attempts: 1, events: 2, framing: exchange.UntilClose, responseStarted: true, position: streamPosition{lastID: "1"}}
			r := &relay{job: j, process: h.fleet.ProcessOf("a"), ctx: t.Context(), response: &exchange.Response{Status: http.StatusOK, Framing: exchange.UntilClose}}
			c.before(h)
			err := r.checkUnstatedEnd(func(context.Context, quarantine.ConnectionCheck, []quarantine.ConnectionCheck) quarantine.Diagnosis {
				c.during(h)
				return quarantine.Terminated
			})
			is.True(errors.Is(err, errUnconfirmed))
			result := attemptResult{status: unconfirmed, err: err, process: r.process}
			is.Equal(j.schedulerResult(result), scheduler.Completed) // no evidence against the upstream
			j.recordCrashEvidence(result)
			is.True(!h.registry.HasCrashed(time.Now(), time.Time{}, r.process))
			is.True(h.registry.RecordCrash(time.Now(), r.process)) // counts as lost if a crash becomes known
		})
	}
}

// Guards against a leaving upstream that closes its port and is taken for crashed, so that streams which it has completed
// end as broken, and their requests become suspects.
func TestTerminationOfALeavingUpstreamIsNoCrash(t *testing.T) {
	request := quarantine.Request{Key: quarantine.Key{Digest: 1}}
	leave := func(h *harness) { h.handler.recordLeaving("a") }
	remove := func(h *harness) { h.removeUpstream("a") }
	breakOff := func(h *harness) { h.registry.RecordLostResponse(time.Now(), "a", request, false) }
	nothing := func(*harness) {}
	for name, c := range map[string]struct {
		before, during func(h *harness)
		crash          bool
	}{
		"leaving":                               {before: leave, during: nothing},
		"announces so during the check":         {before: nothing, during: leave},
		"is removed during the check":           {before: leave, during: remove},
		"leaving, and a response breaks off":    {before: leave, during: breakOff, crash: true},
		"not leaving":                           {before: nothing, during: nothing, crash: true},
		"not leaving, and is removed meanwhile": {before: nothing, during: remove, crash: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t)
			h.publish(0)
			h.addUpstream("a", respondsWith("x"))
			h.registry.RecordUnstatedEnd(time.Now(), "a", request, false)
			c.before(h)
			h.handler.diagnose("a", "a", h.fleet.IsLeaving("a"), h.fleet.ConnectionsTo("a"), func(context.Context, quarantine.ConnectionCheck, []quarantine.ConnectionCheck) quarantine.Diagnosis {
				c.during(h)
				return quarantine.Terminated
			})
			is.Equal(h.registry.HasCrashed(time.Now(), time.Time{}, "a"), c.crash)
		})
	}
}

// Guards against the same where another process has the address, and where the end of the run couldn't be passed on.
func TestEndsAtALeavingUpstreamAreNoCrash(t *testing.T) {
	for name, result := range map[string]attemptResult{
		"another process has the address": {status: misdirected},
		"no stated end to pass on":        {status: truncated, err: errNoStatedEnd},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t)
			h.publish(0)
			h.addUpstream("a", respondsWith("x"))
			h.handler.recordLeaving("a")
			h.registry.RecordUnstatedEnd(time.Now(), "a", quarantine.Request{Key: quarantine.Key{Digest: 1}}, false)
			result.process = "a"
			j := &job{handler: h.handler, upstream: "a", route: &routing.Route{Kind: routing.Stream}, framing: exchange.UntilClose}
			j.recordCrashEvidence(result)
			h.handler.recordTermination("a", true) // as a diagnosis does
			is.True(!h.registry.HasCrashed(time.Now(), time.Time{}, "a"))
		})
	}
}

// Guards against complete streams that end as broken: the next process under the ID of a leaving upstream is not leaving,
// and its predecessor was taken for crashed.
func TestStreamOfAReplacedLeavingUpstreamIsNotBroken(t *testing.T) {
	for name, c := range map[string]struct {
		route         string
		replacedFirst bool // before its notice comes
	}{
		"can be resumed":                       {"resumable", false},
		"can't be resumed":                     {"stream", false},
		"can be resumed, replaced before it":   {"resumable", true},
		"can't be resumed, replaced before it": {"stream", true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t)
			for i := range h.document.Routes {
				h.document.Routes[i].LatencyObjective = 0 // no time-out for the first event
			}
			h.publish(0)
			replace := func() {
				h.upstreams[0].Incarnation++
				h.upstreams[0].Revision = h.revision + 1
				h.publishUpstreams()
			}
			h.addUpstream("a", hijack(func(conn net.Conn) {
				if c.replacedFirst {
					replace()
				}
				_, _ = io.WriteString(conn, leavingEvents("1", "2"))
				if !c.replacedFirst {
					eventually(t, "the notice is known", func() bool { return h.fleet.IsLeaving("a") })
					replace()
				}
			}))
			h.addUpstream("b", refusesRequest)
			got := h.read("/"+c.route+"/x", "", len(eventLines("", "1", "2")), make(chan struct{}))
			is.NoErr(got.err)
			is.Equal(got.body, eventLines("", "1", "2"))
		})
	}
}

// Guards against a short stream that looks complete though its upstream is known to have crashed, which was noticed
// while another attempt was made.
func TestUnconfirmedEndOfAProcessThatCrashedIsNotComplete(t *testing.T) {
	for name, other := range map[string]http.HandlerFunc{"another refuses": refusesRequest, "another has no more": ended(""), "another doesn't respond": hangs} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t)
			for i := range h.document.Routes {
				h.document.Routes[i].LatencyObjective = 0 // no time-out for the first event
			}
			h.publish(0)
			h.addUpstream("a", h.closesPort("a", writesRaw(leavingEvents("1", "2"))))
			h.addUpstream("b", func(w http.ResponseWriter, q *http.Request) {
				h.registry.RecordCrash(time.Now(), h.fleet.ProcessOf("a"))
				other(w, q)
			})
			got := h.read("/resumable/x", "", len(eventLines("", "1", "2")), make(chan struct{}))
			is.Equal(got.body, eventLines("", "1", "2"))
			confirmed := name == "another has no more"
			is.Equal(got.err == nil, confirmed)
		})
	}
}

// Guards against a stream that is cut 1.5 s after the end of a run although another attempt has brought more of it.
func TestStreamThatGoesOnAfterAnUnconfirmedEndIsNotCut(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancelCause(t.Context())
		j := &job{handler: &Handler{o: Options{Metrics: telemetry.NewMetrics()}}, cancel: cancel}
		r := &relay{job: j, process: "a"}
		ended := time.Now()
		<-time.After(time.Second)
		r.awaitConfirmation(ended)
		r.awaitConfirmation(time.Now()) // the first end counts
		j.endConfirmation()
		<-time.After(time.Hour)
		is.NoErr(ctx.Err())

		r.awaitConfirmation(time.Now())
		<-time.After(unstatedEndTimeout + time.Millisecond)
		is.True(errors.Is(context.Cause(ctx), context.DeadlineExceeded))
	})
}
