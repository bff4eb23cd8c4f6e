package proxy

import (
	"io"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

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
