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

// restartsDuringFirst is an upstream that restarts under its ID while its first process responds with the
// given headers; the second one responds with "ok".
func (r *harness) restartsDuringFirst(id string, first http.HandlerFunc) http.HandlerFunc {
	arrived := 0
	return func(w http.ResponseWriter, q *http.Request) {
		if arrived++; arrived > 1 {
			respondsWith("ok")(w, q)
			return
		}
		r.restart(id)
		first(w, q)
	}
}

// Guards against refusals for lack of an upstream because of the leaving notice of a process that has
// been replaced: the notice comes after its successor was listed.
func TestLateLeavingNoticeDoesNotConcernTheNextProcess(t *testing.T) {
	is := is.New(t)
	r := newHarness(t)
	r.publish(0)
	r.addUpstream("a", r.restartsDuringFirst("a", func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set("Leaving", "1")
		respondsWith("ok")(w, q)
	}))
	is.Equal(r.get("once").status, http.StatusOK)
	is.Equal(r.get("once").status, http.StatusOK) // by the next process
	is.NoErr(r.fleet.CheckUsable("a"))
	is.Equal(len(r.fleet.AllLeavingNotices()), 0) // none for peers either
}

// Guards against refusals during a backoff that a process requested which has been replaced: the response
// comes after its successor was listed.
func TestLateBackoffDoesNotConcernTheNextProcess(t *testing.T) {
	is := is.New(t)
	r := newHarness(t)
	r.publish(0)
	r.addUpstream("a", r.restartsDuringFirst("a", requestsBackoff))
	r.get("once")
	is.Equal(r.get("once").status, http.StatusOK) // by the next process
	is.NoErr(r.fleet.CheckUsable("a"))
}

// Guards against a limit of requests per second that the next process of an upstream never advertised.
func TestLateLimitDoesNotConcernTheNextProcess(t *testing.T) {
	is := is.New(t)
	r := newHarness(t)
	r.publish(0)
	r.addUpstream("a", r.restartsDuringFirst("a", func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set("Limit", "0")
		respondsWith("ok")(w, q)
	}))
	is.Equal(r.get("once").status, http.StatusOK)
	is.Equal(r.get("once").status, http.StatusOK) // by the next process
	_, limited := r.fleet.Limit("a")
	is.True(!limited)
	is.Equal(len(r.fleet.AllLimits()), 0) // none for peers either
}

// Guards against refusals for lack of room at the next process of an upstream, since its predecessor was
// brittle: the report comes after the successor was listed.
func TestLateBrittleReportDoesNotConcernTheNextProcess(t *testing.T) {
	is := is.New(t)
	r := newHarness(t)
	r.publish(0)
	arrived, beside := 0, callerResponse{}
	r.addUpstream("a", func(w http.ResponseWriter, q *http.Request) {
		switch arrived++; arrived {
		case 1:
			r.restart("a")
			w.Header().Set("Brittle", "1")
		case 2:
			beside = r.get("once") // while the next process has one request
		}
		respondsWith("ok")(w, q)
	})
	is.Equal(r.get("once").status, http.StatusOK)
	is.Equal(r.get("once").status, http.StatusOK)
	is.Equal(beside.status, http.StatusOK)
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
