package proxy

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/quarantine"
)

// crashing adds upstreams that end as they run a body, and answer any other.
func (r *rig) crashing(body string, ids ...string) {
	for _, id := range ids {
		r.upstream(id, func(w http.ResponseWriter, q *http.Request) {
			sent, _ := io.ReadAll(q.Body)
			if string(sent) == body {
				r.crash(id)
				return
			}
			_, _ = io.WriteString(w, "ok")
		})
	}
}

// eventually asks until it is so.
func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	deadline := time.After(10 * time.Second)
	again := time.NewTicker(5 * time.Millisecond)
	defer again.Stop()
	for !f() {
		select {
		case <-again.C:
		case <-deadline:
			t.Fatalf("never: %s", what)
		}
	}
}

func TestARequestThatHasCrashedTwoUpstreamsIsRefused(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.publish(0)
	r.crashing("bad", "a", "b", "c", "d")
	first := r.do(r.request("POST", "/once/x", "bad")) // must not run twice
	is.Equal(first.header.Get("Outcome"), "unknown")
	is.Equal(r.do(r.request("POST", "/once/x", "bad", "Id", "2")).header.Get("Outcome"), "unknown")
	bad := quarantine.KeyOf("crews", "POST", "h.example", "/once/x", []byte("bad"))
	eventually(t, "it is held back", func() bool { return r.book.Remaining(time.Now(), bad) > 0 })
	refused := r.do(r.request("POST", "/once/x", "bad", "Id", "3"))
	is.Equal(refused.header.Get("Reason"), string(api.ReasonCrashesUpstreams))
	is.Equal(refused.header.Get("Outcome"), "not-run")
	is.True(refused.header.Get("Retry-After") != "")
	is.Equal(r.do(r.request("POST", "/once/x", "good")).status, http.StatusOK)
	is.Equal(r.do(r.request("POST", "/safe/x", "good")).status, http.StatusOK)
}

// A request that was granted an upstream before it was held back isn't sent; that it ran before in the
// same try isn't hidden.
func TestARequestThatIsHeldBackMeanwhileIsNotSent(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.publish(0)
	r.upstream("a", fails)
	r.upstream("b", says("ok"))
	key := quarantine.KeyOf("crews", "GET", "h.example", "/safe/x", nil)
	r.servers["a"].Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		for _, process := range []string{"1", "2"} {
			r.book.RecordLostResponse(time.Now().Add(-time.Second), process, key, false)
			r.book.RecordCrash(time.Now().Add(-time.Second), process)
		}
		drops(w, q)
	})
	a := r.get("safe")
	is.Equal(a.header.Get("Outcome"), "unknown")
	is.Equal(a.status, http.StatusBadGateway)
	is.Equal(r.arrived(), "") // b got nothing, and a isn't counted here
}

// The way to a whole zone refuses connections, as a cut may. It says nothing of the requests that
// were lost by it; where only one upstream refuses, it has ended.
//
// Seen on days on which a zone was cut off so: an instance in it took all upstreams of the others for
// crashed, and held back what it had sent to two of them.
func TestAPathThatRefusesIsNoCrash(t *testing.T) {
	for name, c := range map[string]struct {
		refusing []string
		crash    bool
	}{
		"one of three": {[]string{"a"}, true},
		"two of three": {[]string{"a", "b"}, true},
		"all":          {[]string{"a", "b", "c"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newRig(t)
			r.publish(0)
			r.crashing("", "a", "b", "c")
			for _, id := range c.refusing {
				r.crash(id)
			}
			key := quarantine.KeyOf("crews", "GET", "h.example", "/safe/x", nil)
			r.book.RecordLostResponse(time.Now(), "a", key, false)
			r.handler.look("a", "a", r.fleet.ConnectionsTo("a"))
			is.Equal(r.book.NextUpdate(time.Now()) != nil, c.crash)
		})
	}
}
