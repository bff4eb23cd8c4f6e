package proxy

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/quarantine"
)

// addCrashing adds upstreams that crash when they run a given body, and respond to any other.
func (r *harness) addCrashing(body string, ids ...string) {
	for _, id := range ids {
		r.addUpstream(id, func(w http.ResponseWriter, q *http.Request) {
			sent, _ := io.ReadAll(q.Body)
			if string(sent) == body {
				r.crash(id)
				return
			}
			_, _ = io.WriteString(w, "ok")
		})
	}
}

// eventually polls until f returns true.
func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	deadline := time.After(10 * time.Second)
	again := time.NewTicker(5 * time.Millisecond)
	defer again.Stop()
	for !f() {
		select {
		case <-again.C:
		case <-deadline:
			t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

func TestRequestThatCrashedTwoUpstreamsIsRefused(t *testing.T) {
	is := is.New(t)
	r := newHarness(t)
	r.publish(0)
	r.addCrashing("bad", "a", "b", "c", "d")
	first := r.do(r.request("POST", "/once/x", "bad")) // must not run twice
	is.Equal(first.header.Get("Outcome"), "unknown")
	is.Equal(r.do(r.request("POST", "/once/x", "bad", "Id", "2")).header.Get("Outcome"), "unknown")
	bad := quarantine.Request{Key: quarantine.KeyOf("crews", "POST", "h.example", "/once/x", []byte("bad"))}
	eventually(t, "the request is quarantined", func() bool { return r.registry.Remaining(time.Now(), bad) > 0 })
	refused := r.do(r.request("POST", "/once/x", "bad", "Id", "3"))
	is.Equal(refused.header.Get("Reason"), string(api.ReasonCrashesUpstreams))
	is.Equal(refused.header.Get("Outcome"), "not-run")
	is.True(refused.header.Get("Retry-After") != "")
	is.Equal(r.do(r.request("POST", "/once/x", "good")).status, http.StatusOK)
	is.Equal(r.do(r.request("POST", "/safe/x", "good")).status, http.StatusOK)
}

// Guards against a request that crashes its upstreams as they begin their response and is never quarantined, since a
// head that breaks off counted as an invalid response rather than as a lost one.
func TestRequestThatCrashesUpstreamsInsideTheHeadIsRefused(t *testing.T) {
	is := is.New(t)
	r := newHarness(t)
	r.publish(0)
	for _, id := range []string{"a", "b", "c", "d"} {
		r.addUpstream(id, func(w http.ResponseWriter, q *http.Request) {
			if sent, _ := io.ReadAll(q.Body); string(sent) != "bad" {
				_, _ = io.WriteString(w, "ok")
				return
			}
			hijack(func(c net.Conn) {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nSigned: a\r\nContent-Len")
				_ = r.servers[id].Listener.Close()
			})(w, q)
		})
	}
	for n := range 2 {
		lost := r.do(r.request("POST", "/once/x", "bad", "Id", strconv.Itoa(n)))
		is.Equal(lost.status, http.StatusBadGateway)
		is.Equal(lost.header.Get("Outcome"), "unknown")
		is.Equal(lost.header.Get("Reason"), string(api.ReasonUpstreamLost))
	}
	bad := quarantine.Request{Key: quarantine.KeyOf("crews", "POST", "h.example", "/once/x", []byte("bad"))}
	eventually(t, "the request is quarantined", func() bool { return r.registry.Remaining(time.Now(), bad) > 0 })
	refused := r.do(r.request("POST", "/once/x", "bad", "Id", "3"))
	is.Equal(refused.header.Get("Reason"), string(api.ReasonCrashesUpstreams))
	is.Equal(refused.header.Get("Outcome"), "not-run")
	is.Equal(r.do(r.request("POST", "/once/x", "good")).status, http.StatusOK)
}

// A request that crashes its upstreams must be quarantined also where its responses state no end, so that a
// crash ends them as a complete response ends.
func TestRequestThatCrashesUpstreamsInResponsesWithoutStatedEndIsRefused(t *testing.T) {
	is := is.New(t)
	r := newHarness(t)
	r.publish(0)
	for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		r.addUpstream(id, func(w http.ResponseWriter, q *http.Request) {
			if sent, _ := io.ReadAll(q.Body); string(sent) != "bad" {
				_, _ = io.WriteString(w, "ok")
				return
			}
			w.Header().Set("Transfer-Encoding", "identity") // neither a length nor chunks
			w.(http.Flusher).Flush()
			r.crash(id)
		})
	}
	bad := quarantine.Request{Key: quarantine.KeyOf("crews", "POST", "h.example", "/once/x", []byte("bad"))}
	for n := 0; n < 6 && r.registry.Remaining(time.Now(), bad) == 0; n++ {
		sent := r.do(r.request("POST", "/once/x", "bad", "Id", strconv.Itoa(2*n)))
		// Crashes are diagnosed in the background, so that the verdict may be reached after the check above.
		if sent.header.Get("Reason") == string(api.ReasonCrashesUpstreams) {
			is.True(n >= 2) // one crash is no cause for a verdict
			is.Equal(sent.header.Get("Outcome"), "not-run")
			break
		}
		is.Equal(sent.status, http.StatusBadGateway) // the empty body isn't passed on as a complete one
		for range 3 {                                // their connections are refused by the upstream that crashed
			r.do(r.request("POST", "/once/x", "good", "Id", strconv.Itoa(2*n+1)))
		}
	}
	eventually(t, "the request is quarantined", func() bool { return r.registry.Remaining(time.Now(), bad) > 0 })
}

// A request that was granted an upstream before it was quarantined isn't sent. The problem must not
// hide that an earlier attempt may have run.
func TestRequestQuarantinedAfterItsGrantIsNotSent(t *testing.T) {
	is := is.New(t)
	r := newHarness(t)
	r.publish(0)
	r.addUpstream("a", respondsWithFailure)
	r.addUpstream("b", respondsWith("ok"))
	key := quarantine.Request{Key: quarantine.KeyOf("crews", "GET", "h.example", "/safe/x", nil)}
	r.servers["a"].Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		for _, process := range []string{"1", "2"} {
			r.registry.RecordLostResponse(time.Now().Add(-time.Second), process, key, false)
			r.registry.RecordCrash(time.Now().Add(-time.Second), process)
		}
		dropsConnection(w, q)
	})
	a := r.get("safe")
	is.Equal(a.header.Get("Outcome"), "unknown")
	is.Equal(a.status, http.StatusBadGateway)
	is.Equal(r.arrivedIDs(), "") // b received nothing, and the replaced handler of a doesn't count its requests
}

// During a network partition, connections to a whole zone may be refused. This is no evidence
// against the requests that were lost with them; if only one upstream refuses, it has terminated.
//
// Without the check of neighbours, an instance in a partitioned zone took all upstreams of the
// other zones for crashed, and quarantined the requests that it had sent to two of them.
func TestConnectionsRefusedByAPartitionAreNoCrash(t *testing.T) {
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
			r := newHarness(t)
			r.publish(0)
			r.addCrashing("", "a", "b", "c")
			for _, id := range c.refusing {
				r.crash(id)
			}
			key := quarantine.Request{Key: quarantine.KeyOf("crews", "GET", "h.example", "/safe/x", nil)}
			r.registry.RecordLostResponse(time.Now(), "a", key, false)
			r.handler.diagnose("a", "a", false, r.fleet.ConnectionsTo("a"), quarantine.Diagnose)
			is.Equal(r.registry.NextUpdate(time.Now()) != nil, c.crash)
		})
	}
}
