package proxy

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// writeEndlessly writes a block again and again until the connection is closed.
func writeEndlessly(w http.ResponseWriter, block string) {
	for {
		if _, err := io.WriteString(w, block); err != nil {
			return
		}
		w.(http.Flusher).Flush()
	}
}

// Guards against an upstream that refuses a request, with a body that doesn't end: the request was held until its
// deadline, while another upstream would have run it.
func TestRefusalWithAnEndlessBodyIsRetried(t *testing.T) {
	is := is.New(t)
	r := newHarness(t)
	r.document.Routes[0].LatencyObjective = 0 // no time-out but the request's deadline
	r.publish(0)
	closed := make(chan struct{})
	r.addUpstream("a", func(w http.ResponseWriter, q *http.Request) {
		defer close(closed)
		refusesRequest(w, q)
		_, _ = io.WriteString(w, "b")
		w.(http.Flusher).Flush()
		<-q.Context().Done() // nothing more for as long as the connection is open
	})
	r.addUpstream("b", respondsWith("ok"))
	a := r.get("safe", "Timeout", "10s")
	is.Equal(a.status, 200)
	is.Equal(r.arrivedIDs(), "a b")
	<-closed
}

// Guards against an upstream that takes the processor time of all other requests: its response has no stated length,
// never ends, and was relayed as fast as it came.
func TestEndlessBodyIsRelayedAtABoundedRate(t *testing.T) {
	const timeout = 300 * time.Millisecond
	for name, c := range map[string]struct {
		route, block string
		atMost       int // bytes; of the burst, and of several times the timeout
	}{
		"body":   {"safe", strings.Repeat("x", 8<<10), plainBurstBytes + plainBytesPerSecond*2},
		"events": {"stream", strings.Repeat("data: 1\n\n", 1024), streamBurstBytes + streamBytesPerSecond*2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newHarness(t)
			for i := range r.document.Routes {
				r.document.Routes[i].Timeout = timeout
				r.document.Routes[i].MaxAttempts = 1
			}
			r.publish(0)
			closed := make(chan struct{})
			sent := 0
			r.addUpstream("a", func(w http.ResponseWriter, _ *http.Request) {
				defer close(closed)
				writeEndlessly(countingWriter{w, &sent}, c.block)
			})
			got := r.get(c.route)
			is.True(got.err != nil) // it doesn't look complete
			<-closed
			t.Logf("%d bytes were relayed, %d sent", len(got.body), sent)
			is.True(len(got.body) <= c.atMost)
		})
	}
}

// countingWriter counts the bytes written to a response.
type countingWriter struct {
	http.ResponseWriter
	n *int
}

// Write implements http.ResponseWriter.
func (w countingWriter) Write(b []byte) (int, error) {
	*w.n += len(b)
	return w.ResponseWriter.Write(b)
}

// Flush implements http.Flusher.
func (w countingWriter) Flush() { w.ResponseWriter.(http.Flusher).Flush() }
