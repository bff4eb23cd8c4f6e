package callerapi

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/answer"
	"github.com/tacktally/tacktally/internal/gateway"
	"github.com/tacktally/tacktally/internal/request"
	"github.com/tacktally/tacktally/internal/upstream"
)

// Guards against parts of events that a caller has received before: a peer sends a large event in several
// frames, of which the first alone has the event's ID.
func TestResumingCallerGetsWholeNewEventsOnly(t *testing.T) {
	const engine, stream = "10.0.0.9:1", "s"
	event := func(n int, newline string) string {
		id := upstream.ResumeToken{Upstream: engine, StreamID: stream, Events: n}.String()
		return "id: " + id + "\ndata: " + strings.Repeat(fmt.Sprint(n), 9) + newline + newline
	}
	for _, newline := range []string{"\n", "\r\n"} {
		for size := 1; size <= 100; size++ {
			events := []string{event(1, newline), event(2, newline), event(3, newline), event(4, newline), "data: [DONE]" + newline + newline}
			b := answer.New(true)
			b.Start(answer.Head{Status: http.StatusOK, ContentType: "text/event-stream"})
			for _, e := range events {
				// The ID is in one frame, as in those of a peer.
				line := strings.IndexByte(e, '\n') + 1
				frames := []string{e[:min(line+size, len(e))]}
				for rest := e[len(frames[0]):]; rest != ""; rest = rest[min(size, len(rest)):] {
					frames = append(frames, rest[:min(size, len(rest))])
				}
				for _, f := range frames {
					if err := b.Write(t.Context(), []byte(f)); err != nil {
						t.Fatal(err)
					}
				}
			}
			b.Finish(answer.End{})
			for received := range 5 {
				is := is.New(t)
				recorder := httptest.NewRecorder()
				w := &writer{server: &Server{gateway: gateway.New(gateway.Options{})}, response: recorder, control: http.NewResponseController(recorder), request: &request.Request{Stream: true}}
				if received > 0 {
					w.last = upstream.ResumeToken{Upstream: engine, StreamID: stream, Events: received}
				}
				w.follow(t.Context(), b)
				is.Equal(recorder.Body.String(), strings.Join(events[received:], ""))
			}
		}
	}
}

// Guards against an error that is taken for the rest of an event: a response that ends inside one, as by the loss of
// the link to the instance that serves it, must have its connection closed.
func TestErrorEventDoesNotContinueAnEvent(t *testing.T) {
	whole := "id: x\ndata: 1\n\n"
	for name, c := range map[string]struct {
		chunks  []string
		resumed bool // after the event of the last chunk
		aborted bool
	}{
		"before the first event":       {nil, false, false},
		"after an event":               {[]string{whole}, false, false},
		"after an event in two parts":  {[]string{whole[:9], whole[9:]}, false, false},
		"inside an event":              {[]string{whole, whole[:9]}, false, true},
		"before the blank line":        {[]string{whole, whole[:len(whole)-1]}, false, true},
		"inside one that is left out":  {[]string{"id: " + receivedToken.String() + "\ndata: 1"}, true, false},
		"inside one that isn't":        {[]string{"id: " + receivedToken.String() + "\ndata: 1\n\n", "data: 2"}, true, true},
		"inside a response in JSON":    {[]string{`{"choices":[`}, false, true},
		"after one in JSON, of a peer": {[]string{`{"choices":[]}`}, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := answer.New(true)
			b.Start(answer.Head{Status: http.StatusOK, ContentType: "text/event-stream"})
			for _, chunk := range c.chunks {
				is.NoErr(b.Write(t.Context(), []byte(chunk)))
			}
			b.Finish(answer.End{Problem: api.UnknownOutcome(api.ReasonIssuerUnreachable, "cut")})
			recorder := httptest.NewRecorder()
			w := &writer{server: &Server{gateway: gateway.New(gateway.Options{})}, response: recorder, control: http.NewResponseController(recorder), request: &request.Request{Stream: true}}
			if c.resumed {
				w.last = receivedToken
			}
			aborted := func() (aborted bool) {
				defer func() { aborted = recover() != nil }()
				w.follow(t.Context(), b)
				return false
			}()
			is.Equal(aborted, c.aborted)
			is.Equal(strings.Contains(recorder.Body.String(), "event: error\n"), !c.aborted)
		})
	}
}

var receivedToken = upstream.ResumeToken{Upstream: "10.0.0.9:1", StreamID: "s", Events: 1}

// Guards against a stream that looks whole and isn't: a retained response that begins after the caller's position, or
// is of another stream, must not continue what the caller has. The first use of its key was a resumption.
func TestRetainedResponseContinuesWhatItsCallerHas(t *testing.T) {
	token := func(stream string, n int) upstream.ResumeToken {
		return upstream.ResumeToken{Upstream: "10.0.0.9:1", StreamID: stream, Events: n}
	}
	for name, c := range map[string]struct {
		first, last int // events of the response
		has         upstream.ResumeToken
		want        string // data received
	}{
		"whole":                      {1, 4, upstream.ResumeToken{}, "1234"},
		"from the middle":            {1, 4, token("s", 2), "34"},
		"from its end":               {1, 4, token("s", 4), ""},
		"from the first one's place": {3, 4, token("s", 2), "34"},
		"from a later place":         {3, 4, token("s", 3), "4"},
		"from an earlier place":      {3, 4, token("s", 1), "error"},
		"from its start":             {3, 4, upstream.ResumeToken{}, "error"},
		"of another stream":          {1, 4, token("other", 2), "error"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := answer.New(true)
			b.Start(answer.Head{Status: http.StatusOK, ContentType: "text/event-stream"})
			for n := c.first; n <= c.last; n++ {
				is.NoErr(b.Write(t.Context(), fmt.Appendf(nil, "id: %s\ndata: %d\n\n", token("s", n), n)))
			}
			is.NoErr(b.Write(t.Context(), []byte("data: [DONE]\n\n")))
			b.Finish(answer.End{})
			recorder := httptest.NewRecorder()
			w := &writer{server: &Server{gateway: gateway.New(gateway.Options{})}, response: recorder, control: http.NewResponseController(recorder), request: &request.Request{Stream: true}, last: c.has}
			w.follow(t.Context(), b)
			got := ""
			for line := range strings.Lines(recorder.Body.String()) {
				switch data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: "); {
				case strings.HasPrefix(line, "event: error"):
					got += "error"
				case ok && len(data) == 1:
					got += data
				}
			}
			is.Equal(got, c.want)
			is.Equal(strings.HasSuffix(recorder.Body.String(), "data: [DONE]\n\n"), c.want != "error")
			is.Equal(recorder.Result().Trailer.Get(api.HeaderOutcome) == string(api.Answered), c.want != "error")
		})
	}
}
