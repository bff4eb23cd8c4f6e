package callerapi

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/answer"
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
				w := &writer{server: &Server{}, response: recorder, control: http.NewResponseController(recorder), request: &request.Request{Stream: true}}
				if received > 0 {
					w.last = upstream.ResumeToken{Upstream: engine, StreamID: stream, Events: received}
				}
				w.follow(t.Context(), b)
				is.Equal(recorder.Body.String(), strings.Join(events[received:], ""))
			}
		}
	}
}
