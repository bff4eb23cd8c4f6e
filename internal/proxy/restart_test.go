package proxy

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// restart publishes another process under the ID of an upstream, at the same address.
func (r *harness) restart(id string) {
	for i := range r.upstreams {
		if r.upstreams[i].ID == id {
			r.upstreams[i].Incarnation++
			r.upstreams[i].Revision = r.revision + 1
		}
	}
	r.publishUpstreams()
}

// Guards against a response whose notices are taken for those of the process that was listed before the
// connection was opened, and against the software version of one process stated for another.
func TestRequestIsNotSentToAProcessThatReplacedTheGrantedOne(t *testing.T) {
	is := is.New(t)
	r := newHarness(t)
	r.publish(0)
	r.addUpstream("a", func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set("Leaving", "1")
		respondsWith("ok")(w, q)
	})
	dials := 0
	r.onDial = func() {
		if dials++; dials == 1 {
			r.restart("a")
		}
	}
	is.Equal(r.get("once").status, http.StatusOK)
	is.Equal(r.arrivedIDs(), "a")
	is.Equal(r.fleet.AllLeavingNotices(), []string{"a@1"})
}
