package proxy

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a stream that ends as complete while its end is being confirmed, since the grace period ends.
func TestUnconfirmedStreamIsNotCompleteAtTheEndOfTheGracePeriod(t *testing.T) {
	is := is.New(t)
	r := newHarness(t)
	for i := range r.document.Routes {
		r.document.Routes[i].MaxAttempts = 3
		r.document.Routes[i].LatencyObjective = 0 // no time-out for the first event
		r.document.Routes[i].Timeout = time.Hour
	}
	r.publish(0)
	r.addUpstream("a", r.closesPort("a", writesRaw(leavingEvents("1", "2"))))
	r.addUpstream("b", func(_ http.ResponseWriter, q *http.Request) {
		r.handler.Abort()
		<-q.Context().Done()
	})
	got := r.get("resumable")
	is.Equal(r.arrivedIDs(), "a b")
	is.True(got.err != nil)
}
