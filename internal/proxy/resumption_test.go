package proxy

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/exchange"
)

// brokenOff is a raw response in chunks that breaks off after the given events.
func brokenOff(body string) http.HandlerFunc { return writesRaw(chunkedHead + chunk(body)) }

// ended is a raw response in chunks that states its end after the given events.
func ended(body string) http.HandlerFunc {
	if body == "" {
		return writesRaw(chunkedHead + "0\r\n\r\n")
	}
	return writesRaw(chunkedHead + chunk(body) + "0\r\n\r\n")
}

// streamCase is a stream whose upstreams behave in some way.
type streamCase struct {
	route string
	after string // ID of the last event that the caller has
	runs  []http.HandlerFunc
	body  string // that the caller must receive
	// broken is set if the response must not look complete.
	broken bool
	// arrived are the upstreams that must have received the request; empty for all.
	arrived string
}

func testStreams(t *testing.T, cases map[string]streamCase) {
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newHarness(t)
			r.publish(0)
			all := strings.Fields("a b c")[:len(c.runs)]
			for n, id := range all {
				r.addUpstream(id, c.runs[n])
			}
			got := r.read("/"+c.route+"/x", c.after, len(c.body), make(chan struct{}))
			is.Equal(got.body, c.body)
			is.Equal(errors.Is(got.err, exchange.ErrTruncated), c.broken)
			is.Equal(got.err == nil, !c.broken)
			if c.arrived == "" {
				c.arrived = strings.Join(all, " ")
			}
			is.Equal(r.arrivedIDs(), c.arrived)
		})
	}
}

// Guards against streams with a gap that look complete: the upstream that resumes goes on too late.
func TestResumptionWithAGapDoesNotLookComplete(t *testing.T) {
	testStreams(t, map[string]streamCase{
		"one upstream goes on too late": {
			route: "resumable", runs: []http.HandlerFunc{brokenOff(eventLines("", "1", "2")), ended(eventLines("", "6", "7"))},
			body: eventLines("", "1", "2"), broken: true,
		},
		"too late after an event that the caller has": {
			route: "resumable", runs: []http.HandlerFunc{brokenOff(eventLines("", "1", "2")), ended(eventLines("", "2", "6"))},
			body: eventLines("", "1", "2"), broken: true,
		},
		"IDs that go by ten": {
			route: "resumable", runs: []http.HandlerFunc{brokenOff(eventLines("", "10", "20")), ended(eventLines("", "30", "40"))},
			body: eventLines("", "10", "20", "30", "40"),
		},
		"IDs that go by ten, too late": {
			route: "resumable", runs: []http.HandlerFunc{brokenOff(eventLines("", "10", "20")), ended(eventLines("", "40"))},
			body: eventLines("", "10", "20"), broken: true,
		},
		"IDs that go by ten, a shorter last step": {
			route: "resumable", runs: []http.HandlerFunc{brokenOff(eventLines("", "10", "20")), ended(eventLines("", "25"))},
			body: eventLines("", "10", "20", "25"),
		},
		"IDs without a step": {
			route: "resumable", runs: []http.HandlerFunc{brokenOff(eventLines("", "1", "2", "5")), ended(eventLines("", "9"))},
			body: eventLines("", "1", "2", "5", "9"),
		},
		"a gap within one run": {
			route: "resumable", runs: []http.HandlerFunc{ended(eventLines("", "1", "2", "6"))},
			body: eventLines("", "1", "2", "6"),
		},
	})
}

// Guards against pieces that come twice: a piece without an ID, sent right before a stream broke off, was sent
// again by the upstream that resumed after the ID before it.
func TestPieceWithoutIDIsNotRepeatedByAResumption(t *testing.T) {
	const piece = "data: x\n\n"
	testStreams(t, map[string]streamCase{
		"broken off after the piece": {
			route: "resumable", runs: []http.HandlerFunc{brokenOff(eventLines("", "1") + piece), ended(piece + eventLines("", "2"))},
			body: eventLines("", "1") + piece, broken: true, arrived: "a",
		},
		"broken off after an ID that isn't a number": {
			route: "resumable", runs: []http.HandlerFunc{brokenOff(eventLines("", "1", "x")), ended(eventLines("", "x", "2"))},
			body: eventLines("", "1", "x"), broken: true, arrived: "a",
		},
		"broken off after a comment": {
			route: "resumable", runs: []http.HandlerFunc{brokenOff(eventLines("", "1") + ": alive\n\n"), ended(eventLines("", "2"))},
			body: eventLines("", "1") + ": alive\n\n" + eventLines("", "2"),
		},
		"broken off after the next ID": {
			route: "resumable", runs: []http.HandlerFunc{brokenOff(eventLines("", "1") + piece + eventLines("", "2")), ended(eventLines("", "3"))},
			body: eventLines("", "1") + piece + eventLines("", "2", "3"),
		},
		"among events that the caller has": {
			route: "resumable", after: "2", runs: []http.HandlerFunc{ended(piece + eventLines("", "1") + piece + eventLines("", "2") + piece + eventLines("", "3"))},
			body: piece + eventLines("", "3"),
		},
		"before the first event that the caller doesn't have": {
			route: "resumable", after: "2", runs: []http.HandlerFunc{ended(piece + eventLines("", "3"))},
			body: piece + eventLines("", "3"),
		},
		"alone after the last event": {
			route: "resumable", after: "2", runs: []http.HandlerFunc{ended(piece)},
			body: piece,
		},
	})
}

// Guards against the same where the pieces end a run whose end doesn't count, as no end is stated.
func TestPiecesAtTheEndOfARunAreNotRepeated(t *testing.T) {
	is := is.New(t)
	p := newStreamPosition(true, "1")
	p.beginRun()
	placed, err := p.place([]byte("data: x\n\n"))
	is.NoErr(err)
	is.Equal(len(placed), 0) // held
	placed, err = p.endRun()
	is.NoErr(err)
	is.Equal(string(placed), "data: x\n\n")
	is.True(!p.mayResume())
}

// Guards against pieces that come twice: pieces without an ID that were held until the end of a run were relayed
// although that end, which wasn't stated, was no end of the stream.
func TestHeldPiecesAreNotRelayedFromABrokenRun(t *testing.T) {
	is := is.New(t)
	const piece = "data: x\n\n"
	want := eventLines("", "1") + piece + eventLines("", "2")
	r := newHarness(t)
	for i := range r.document.Routes {
		r.document.Routes[i].MaxAttempts = 3
	}
	r.publish(0)
	r.addUpstream("z", respondsWith("body"))
	is.Equal(r.get("safe").status, http.StatusOK) // pays for a second retry
	r.removeUpstream("z")
	r.addUpstream("a", brokenOff(eventLines("", "1")))
	r.addUpstream("b", writesRaw(events(piece)))
	r.addUpstream("c", ended(piece+eventLines("", "2")))
	got := r.read("/resumable/x", "", len(want), make(chan struct{}))
	is.Equal(got.body, want)
	is.NoErr(got.err)
}

// Guards against streams that lack all events but the first and look complete: of several id lines of an event,
// the first one was taken, and it was the same in each event.
func TestEventsWithSeveralIDLinesAreRelayed(t *testing.T) {
	twice := "id: 0\nid: 1\ndata: a\n\nid: 0\nid: 2\ndata: b\n\n"
	testStreams(t, map[string]streamCase{
		"in one run":         {route: "resumable", runs: []http.HandlerFunc{ended(twice)}, body: twice},
		"after a resumption": {route: "resumable", after: "1", runs: []http.HandlerFunc{ended(twice)}, body: "id: 0\nid: 2\ndata: b\n\n"},
	})
}

// Guards against pieces that are missing from streams that look complete: events whose IDs weren't above the last
// one were dropped, whatever they held.
func TestEventsWhoseIDsDontIncreaseAreNotDropped(t *testing.T) {
	same := "id: 1\ndata: a\n\nid: 1\ndata: b\n\n"
	testStreams(t, map[string]streamCase{
		"one ID for two events": {
			route: "stream", runs: []http.HandlerFunc{ended(same)}, body: "id: 1\ndata: a\n\n", broken: true,
		},
		"one ID for two events, another upstream": {
			route: "resumable", runs: []http.HandlerFunc{ended(same), ended("id: 2\ndata: b\n\n")}, body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
		},
		"back to an ID": {
			route: "stream", runs: []http.HandlerFunc{ended(eventLines("", "1", "3") + "id: 2\ndata: c\n\n")}, body: eventLines("", "1", "3"), broken: true,
		},
		"events repeated as they were": {
			route: "stream", runs: []http.HandlerFunc{ended(eventLines("", "1", "2", "1", "2", "3"))}, body: eventLines("", "1", "2", "3"),
		},
	})
}

// Guards against callers that lose the beginning of a stream: a new run was cut down to what follows the caller's
// Last-Event-Id on routes whose streams can't be resumed.
func TestNewRunIsRelayedWholeWhereStreamsCannotBeResumed(t *testing.T) {
	testStreams(t, map[string]streamCase{
		"from the start": {
			route: "stream", after: "2", runs: []http.HandlerFunc{ended(eventLines("", "1", "2", "3"))}, body: eventLines("", "1", "2", "3"),
		},
	})
}

// Guards against an empty stream that looks complete: a new run that closed before its first event, without a stated
// end, was taken for one that resumes after the caller's Last-Event-Id and has nothing more.
func TestNewRunWithoutAnEventIsNotComplete(t *testing.T) {
	for _, after := range []string{"", "2"} {
		t.Run(after, func(t *testing.T) {
			is := is.New(t)
			r := newHarness(t)
			r.publish(0)
			r.addUpstream("a", writesRaw(events("")))
			is.Equal(r.get("stream", "After", after).status, http.StatusBadGateway)
		})
	}
}

// Guards against a success without the upstream's signature, with the text of a problem for a body: nothing but
// events that the caller had came before the stream broke off.
func TestStreamWithoutNewEventsIsNoSuccess(t *testing.T) {
	for _, route := range []string{"stream", "resumable"} {
		t.Run(route, func(t *testing.T) {
			is := is.New(t)
			r := newHarness(t)
			r.publish(0)
			r.addUpstream("a", brokenOff(eventLines("", "1", "2")))
			r.addUpstream("b", brokenOff(eventLines("", "1", "2", "3")))
			got := r.get(route, "After", "4")
			if got.status == http.StatusOK {
				is.True(got.header.Get("Signed") != "")
				is.True(got.err != nil) // it doesn't look complete
			}
			if route == "resumable" {
				is.Equal(got.status, http.StatusBadGateway)
			}
		})
	}
}

// Guards against streams that end early and look complete: a process that is killed between two events closes its
// connections in order, and states no end.
func TestStreamOfATerminatedUpstreamDoesNotLookComplete(t *testing.T) {
	for name, c := range map[string]struct {
		route, second, body string
		broken              bool
	}{
		"can't be resumed": {route: "stream", body: eventLines("", "1"), broken: true},
		"resumed":          {route: "resumable", second: events("", "2"), body: eventLines("", "1", "2")},
		"was complete":     {route: "resumable", second: events(""), body: eventLines("", "1")},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newHarness(t)
			r.publish(0)
			r.addUpstream("a", func(w http.ResponseWriter, q *http.Request) {
				_ = r.servers["a"].Listener.Close()
				writesRaw(events("", "1"))(w, q)
			})
			if c.second != "" {
				r.addUpstream("b", writesRaw(c.second))
			}
			got := r.read("/"+c.route+"/x", "", len(c.body), make(chan struct{}))
			is.Equal(got.err != nil, c.broken)
			if c.broken {
				is.True(strings.HasPrefix(c.body, got.body)) // a reset may overtake what was relayed
			} else {
				is.Equal(got.body, c.body)
			}
		})
	}
}

// Guards against the same where all upstreams of the zone have terminated, and where the process was replaced under its
// ID and at its address.
func TestStreamOfAReplacedOrLostUpstreamDoesNotLookComplete(t *testing.T) {
	for name, end := range map[string]func(r *harness){
		"all have terminated": func(r *harness) {
			_ = r.servers["a"].Listener.Close()
			_ = r.servers["b"].Listener.Close()
		},
		"replaced": func(r *harness) {
			r.upstreams[0].Incarnation++
			r.upstreams[0].Revision = r.revision + 1
			r.publishUpstreams()
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newHarness(t)
			r.publish(0)
			r.addUpstream("a", func(w http.ResponseWriter, q *http.Request) {
				end(r)
				writesRaw(events("", "1"))(w, q)
			})
			r.addUpstream("b", dropsConnection)
			got := r.read("/resumable/x", "", len(eventLines("", "1")), make(chan struct{}))
			is.True(got.err != nil)
		})
	}
}

// Guards against the same fault in responses that aren't streams.
func TestBodyOfATerminatedUpstreamDoesNotLookComplete(t *testing.T) {
	large := strings.Repeat("x", maxBufferedBytes+1)
	for name, c := range map[string]struct {
		route, first, second string
		status               int
		body                 string
		broken               bool
	}{
		"is retried":      {route: "safe", first: "bo", second: "body", status: http.StatusOK, body: "body"},
		"can't be":        {route: "once", first: "bo", status: http.StatusBadGateway},
		"was relayed":     {route: "once", first: large, status: http.StatusOK, body: large, broken: true},
		"wasn't buffered": {route: "safe", first: large, status: http.StatusOK, body: large, broken: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newHarness(t)
			r.publish(0)
			r.addUpstream("a", func(w http.ResponseWriter, q *http.Request) {
				_ = r.servers["a"].Listener.Close()
				writesRaw(untilCloseHead+c.first)(w, q)
			})
			r.addUpstream("b", respondsWith(c.second))
			got := r.get(c.route)
			is.Equal(got.status, c.status)
			is.Equal(got.err != nil, c.broken)
			if c.broken {
				is.True(strings.HasPrefix(c.body, got.body)) // a reset may overtake what was relayed
			} else {
				is.Equal(got.body, c.body)
			}
		})
	}
}

// Guards against streams that look complete although pieces may be missing: the run that resumes ends before what the
// caller has, so that it isn't a run of the same stream.
func TestRunThatEndsBeforeTheCallersPositionDoesNotLookComplete(t *testing.T) {
	testStreams(t, map[string]streamCase{
		"too early": {
			route: "resumable", runs: []http.HandlerFunc{brokenOff(eventLines("", "1", "2", "3")), ended(eventLines("", "1", "2"))},
			body: eventLines("", "1", "2", "3"), broken: true,
		},
		"at the position": {
			route: "resumable", runs: []http.HandlerFunc{brokenOff(eventLines("", "1", "2")), ended(eventLines("", "1", "2"))},
			body: eventLines("", "1", "2"),
		},
		"without an event": {
			route: "resumable", runs: []http.HandlerFunc{brokenOff(eventLines("", "1", "2")), ended("")},
			body: eventLines("", "1", "2"),
		},
	})
}

// Guards against streams that are broken off at an ID without data, which states the last event's ID once more.
func TestIDWithoutDataDoesNotBreakAStream(t *testing.T) {
	testStreams(t, map[string]streamCase{
		"ID of the last event": {
			route: "stream", runs: []http.HandlerFunc{ended(eventLines("", "1", "2") + "id: 2\n: alive\n\n" + eventLines("", "3"))},
			body: eventLines("", "1", "2", "3"),
		},
	})
}

// Guards against refusals of new runs: where streams can't be resumed, a run needs no version of an earlier one.
func TestOriginIsNotAskedForWhereStreamsCannotBeResumed(t *testing.T) {
	is := is.New(t)
	r := newHarness(t)
	r.publish(0)
	r.addVersion("a", "v1", ended(eventLines("", "1", "2")))
	r.addVersion("b", "v2", ended(eventLines("", "1", "2")))
	got := r.get("stream", "After", "1")
	is.Equal(got.status, http.StatusOK)
	is.Equal(got.body, eventLines("", "1", "2"))
}

// Guards against parts of events that come twice or are joined to another event: an event was split at a line that
// fills the read buffer, and each part was placed as an event of its own.
func TestEventWithALineOfTheBufferSizeIsPlacedWhole(t *testing.T) {
	large := "id: 2\ndata: " + strings.Repeat("x", eventBufferBytes-len("data: ")) + "\ndata: y\n\n"
	testStreams(t, map[string]streamCase{
		"sent again by the run that resumes": {
			route: "resumable", runs: []http.HandlerFunc{brokenOff(eventLines("", "1") + large), ended(large + eventLines("", "3"))},
			body: eventLines("", "1") + large + eventLines("", "3"),
		},
		"among the events that the caller has": {
			route: "resumable", after: "2", runs: []http.HandlerFunc{ended(eventLines("", "1") + large + eventLines("", "3"))},
			body: eventLines("", "3"),
		},
		"broken off after that line": {
			route: "resumable", runs: []http.HandlerFunc{
				brokenOff(eventLines("", "1") + strings.TrimSuffix(large, "data: y\n\n")),
				func(w http.ResponseWriter, q *http.Request) {
					if q.Header.Get("After") == "1" {
						_, _ = io.WriteString(w, large)
					}
					_, _ = io.WriteString(w, eventLines("", "3"))
				},
			},
			body: eventLines("", "1") + large + eventLines("", "3"),
		},
	})
}
