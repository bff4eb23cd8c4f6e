package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/routing"
	"github.com/tacktally/tacktally/internal/view"
)

func TestResponsesAreRelayedUnchanged(t *testing.T) {
	is := is.New(t)
	r := newHarness(t)
	r.publish(0)
	seen := make(chan *http.Request, 1)
	r.addUpstream("u", func(w http.ResponseWriter, q *http.Request) {
		body, _ := io.ReadAll(q.Body)
		q.Header.Set("Body", string(body))
		seen <- q
		w.Header().Set("X", "y")
		w.WriteHeader(http.StatusTeapot)
		_, _ = io.WriteString(w, "short and stout")
	})
	const target = "/once/a/../b//c%2Fd?x=%20&y"
	a := r.do(r.request("PUT", target, "body", "Mine", "kept", "Organisation", "forged", "Accept-Encoding", "identity"))
	is.Equal(a.status, http.StatusTeapot)
	is.Equal(a.body, "short and stout")
	is.Equal(a.header.Get("X"), "y")
	is.Equal(a.header.Get("Signed"), "u")
	is.Equal(a.header.Get("Content-Type"), "text/plain; charset=utf-8") // as the upstream sent it
	q := <-seen
	is.Equal(q.Method, "PUT")
	is.Equal(q.RequestURI, target) // byte for byte
	is.Equal(q.Host, "h.example")
	is.Equal(q.Header.Get("Body"), "body")
	is.Equal(q.Header.Get("Mine"), "kept")
	is.Equal(q.Header.Get("Organisation"), "crews") // the caller's own header is overridden
	is.Equal(q.Header.Get("Key"), "")               // never forwarded
	is.Equal(q.Header.Get("Accept-Encoding"), "identity")
}

func TestNoHeadersAreAddedToTheCallersHeaders(t *testing.T) {
	is := is.New(t)
	r := newHarness(t)
	r.publish(0)
	r.addUpstream("u", respondsWith("ok"))
	c, err := net.Dial("tcp", r.server.Listener.Addr().String())
	is.NoErr(err)
	defer c.Close()
	_, err = io.WriteString(c, "GET /safe/x HTTP/1.1\r\nHost: h.example\r\nId: 1\r\nKey: k\r\nConnection: close\r\n\r\n")
	is.NoErr(err)
	_, err = io.ReadAll(c)
	is.NoErr(err)
	h := r.arrivals[0].Header
	is.Equal(h.Get("Accept-Encoding"), "")
	is.Equal(h.Get("User-Agent"), "")
	is.Equal(h.Get("Connection"), "")
}

func TestWhichRequestsAreRefusedBeforeTheyAreSent(t *testing.T) {
	for name, c := range map[string]struct {
		age    time.Duration
		route  string
		header []string
		status int
		reason api.Reason
	}{
		"no ID":                     {0, "safe", []string{"Id", ""}, 400, api.ReasonInvalidRequest},
		"no route":                  {0, "none", nil, 404, api.ReasonNoRoute},
		"no route, stale":           {staleAfter + time.Second, "none", nil, 503, api.ReasonStaleConfiguration},
		"unknown key":               {0, "safe", []string{"Key", "other"}, 401, api.ReasonUnknownAPIKey},
		"no key":                    {0, "safe", []string{"Key", ""}, 401, api.ReasonUnknownAPIKey},
		"unknown key, stale":        {staleAfter + time.Second, "safe", []string{"Key", "other"}, 503, api.ReasonStaleConfiguration},
		"known key, lease expired":  {leaseTime, "safe", nil, 503, api.ReasonStaleConfiguration},
		"known key, lease in force": {leaseTime - time.Second, "safe", nil, 200, ""},
		"public, lease expired":     {leaseTime, "open", []string{"Key", ""}, 200, ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newHarness(t)
			r.publish(c.age)
			r.addUpstream("u", respondsWith("ok"))
			a := r.get(c.route, c.header...)
			is.Equal(a.status, c.status)
			is.Equal(a.header.Get("Reason"), string(c.reason))
			is.Equal(len(r.arrivals) == 0, c.status != 200)
		})
	}
}

func TestNoEntryIsReportedMissingBeforeTheFirstConfiguration(t *testing.T) {
	is := is.New(t)
	a := newHarness(t).get("safe")
	is.Equal(a.status, 503)
	is.Equal(a.header.Get("Reason"), string(api.ReasonNoConfiguration))
	is.True(a.header.Get("Retry-After") != "")
}

func TestLargeBodiesAreRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	r := newHarness(t)
	r.publish(0)
	c, err := net.Dial("tcp", r.server.Listener.Addr().String())
	is.NoErr(err)
	defer c.Close()
	_, err = io.WriteString(c, "POST /safe/x HTTP/1.1\r\nHost: h.example\r\nId: 1\r\nKey: k\r\nContent-Length: 1001\r\n\r\n")
	is.NoErr(err) // no body is sent: the response must not wait for it
	response, err := io.ReadAll(c)
	is.NoErr(err)
	is.True(strings.HasPrefix(string(response), "HTTP/1.1 413 "))
	q := r.request("POST", "/safe/x", "")
	q.Body = io.NopCloser(strings.NewReader(strings.Repeat("x", 1001)))
	q.ContentLength = -1 // chunked
	is.Equal(r.do(q).status, 413)
}

// Checks which failures of the first upstream lead to a retry at a second one, by kind of route.
func TestWhichFailuresAreRetried(t *testing.T) {
	const truncatedResponse = "HTTP/1.1 200 OK\r\nId: 1\r\nSigned: a\r\nContent-Length: 9\r\n\r\npart"
	const unsigned = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok"
	for name, c := range map[string]struct {
		first   http.HandlerFunc
		route   string
		arrived string
		status  int
		outcome string
	}{
		"refused, idempotent":         {refusesRequest, "safe", "a b", 200, ""},
		"refused, once":               {refusesRequest, "once", "a b", 200, ""},
		"lost, idempotent":            {dropsConnection, "safe", "a b", 200, ""},
		"lost, once":                  {dropsConnection, "once", "a", 502, "unknown"},
		"lost, stream":                {dropsConnection, "stream", "a", 502, "unknown"},
		"lost, resumable":             {dropsConnection, "resumable", "a b", 200, ""},
		"truncated, idempotent":       {writesRaw(truncatedResponse), "safe", "a b", 200, ""},
		"truncated, once":             {writesRaw(truncatedResponse), "once", "a", 502, "unknown"},
		"unsigned, idempotent":        {writesRaw(unsigned), "safe", "a b", 200, ""},
		"unsigned, once":              {writesRaw(unsigned), "once", "a", 502, "unknown"},
		"no HTTP, once":               {writesRaw("what?\r\n\r\n"), "once", "a", 502, "unknown"},
		"another has the address":     {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(421) }, "once", "a b", 200, ""},
		"its own failure, idempotent": {respondsWithFailure, "safe", "a b", 200, ""},
		"its own failure, resumable":  {respondsWithFailure, "resumable", "a b", 200, ""},
		"its own failure, stream":     {respondsWithFailure, "stream", "a", 500, ""},
		"its own failure, once":       {respondsWithFailure, "once", "a", 500, ""},
		"its own client error":        {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(409) }, "safe", "a", 409, ""},
		// Guards against the refusal of another process at the address of an entry: callers don't retry it.
		"another's client error, idempotent": {writesRaw("HTTP/1.1 401 Unauthorized\r\nContent-Length: 0\r\n\r\n"), "safe", "a b", 200, ""},
		"another's client error, once":       {writesRaw("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"), "once", "a", 502, "unknown"},
		"its own unsigned client error":      {writesRaw("HTTP/1.1 404 Not Found\r\nId: 1\r\nContent-Length: 0\r\n\r\n"), "safe", "a", 404, ""},
		"its own 503, after it ran":          {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) }, "once", "a", 502, "unknown"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newHarness(t)
			r.publish(0)
			r.addUpstream("a", c.first)
			r.addUpstream("b", respondsWith("ok"))
			a := r.get(c.route)
			is.Equal(r.arrivedIDs(), c.arrived)
			is.Equal(a.status, c.status)
			is.Equal(a.header.Get("Outcome"), c.outcome)
		})
	}
}

// If no other upstream completes the request, the caller gets the upstream's own failure response.
func TestUpstreamFailureIsRelayedIfNoRetrySucceeds(t *testing.T) {
	for name, second := range map[string]http.HandlerFunc{
		"the second one fails too": respondsWithFailure, "the second one refuses": refusesRequest, "the second response is lost": dropsConnection,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newHarness(t)
			r.publish(0)
			r.addUpstream("a", respondsWithFailure)
			r.addUpstream("b", second)
			a := r.get("safe")
			is.Equal(r.arrivedIDs(), "a b")
			is.Equal(a.status, 500)
			is.True(a.header.Get("Signed") != "")
			is.Equal(a.body, "sorry")
			is.NoErr(a.err)
		})
	}
}

// A failed connection may take longer than a request's wait for a free slot. Other upstreams may
// still have free slots: after a failed attempt only the deadline bounds the wait.
func TestRequestIsSentElsewhereAfterASlowConnectFailure(t *testing.T) {
	is := is.New(t)
	j := job{route: &routing.Route{LatencyObjective: time.Second}}
	is.Equal(j.schedulerRequest("", j.origin).MaxWait, time.Duration(maxWaitShare*float64(time.Second)))
	is.Equal(j.schedulerRequest("a", j.origin).MaxWait, time.Duration(0)) // bounded by the deadline alone
	r := newHarness(t)
	r.publish(0)
	closedListener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	r.addUpstream("b", respondsWith("ok"))
	r.upstreams = append([]view.Upstream{{ID: "a", Service: "s", Address: closedListener.Addr().String(), Slots: 8, Revision: 9}}, r.upstreams...)
	r.publishUpstreams()
	closedListener.Close()
	is.Equal(r.get("once").status, 200)
	is.Equal(r.arrivedIDs(), "b")
}

// A refusal's status and body are reported to the caller and counted by status.
func TestRefusalsAreReportedWithStatusAndBody(t *testing.T) {
	is := is.New(t)
	r := newHarness(t)
	r.publish(0)
	r.addUpstream("a", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusTooManyRequests)
		_, _ = io.WriteString(w, "too many\n")
	})
	body := r.get("once").header.Get("Detail")
	is.True(strings.Contains(body, "status 429 too many"))
	is.Equal(r.handler.o.Metrics.Value(`tacktally_upstream_refusals_total{status="429"}`), uint64(2)) // the route allows two attempts
}

func TestAttemptsAreBounded(t *testing.T) {
	is := is.New(t)
	r := newHarness(t)
	r.publish(0)
	for _, id := range []string{"a", "b", "c"} {
		r.addUpstream(id, refusesRequest)
	}
	a := r.get("safe")
	is.Equal(r.arrivedIDs(), "a b")
	is.Equal(a.status, 502) // status of api.ReasonUpstreamRefused
	is.Equal(a.header.Get("Outcome"), "not-run")
	is.True(a.header.Get("Retry-After") != "")
}

func TestRefusalAfterALostAttemptIsReportedAsUnknownOutcome(t *testing.T) {
	is := is.New(t)
	r := newHarness(t)
	r.publish(0)
	r.addUpstream("a", dropsConnection)
	r.addUpstream("b", refusesRequest)
	a := r.get("safe")
	is.Equal(r.arrivedIDs(), "a b")
	is.Equal(a.header.Get("Outcome"), "unknown")
}

func TestCallerDisconnectCancelsTheUpstreamRequest(t *testing.T) {
	is := is.New(t)
	r := newHarness(t)
	r.publish(0)
	begun := make(chan struct{})
	ended := make(chan struct{})
	r.addUpstream("a", hijack(func(c net.Conn) {
		close(begun)
		_, _ = c.Read(make([]byte, 1))
		close(ended)
	}))
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-begun
		cancel()
	}()
	_, err := http.DefaultClient.Do(r.request("POST", "/once/x", "body").WithContext(ctx))
	is.True(err != nil)
	<-ended
}

func TestRouteTimeoutEndsARequest(t *testing.T) {
	is := is.New(t)
	r := newHarness(t)
	r.document.Routes[1].Timeout = 80 * time.Millisecond
	r.publish(0)
	ended := make(chan struct{})
	r.addUpstream("a", hijack(func(c net.Conn) {
		_, _ = c.Read(make([]byte, 1))
		close(ended)
	}))
	a := r.get("once", "Timeout", "10s")
	is.Equal(a.status, 504)
	is.Equal(a.header.Get("Reason"), string(api.ReasonUpstreamTimeout))
	<-ended
	left, err := time.ParseDuration(r.arrivals[0].Header.Get("Timeout"))
	is.NoErr(err)
	is.True(left <= 80*time.Millisecond) // the upstream receives the remaining time
}

func TestQuotasAreCountedInTokensAndReturned(t *testing.T) {
	is := is.New(t)
	r := newHarness(t)
	r.document.Organisations[0].TokensPerSecond = 1
	r.document.Organisations[0].BurstTokens = 100
	r.publish(0)
	r.addUpstream("a", refusesRequest)
	for range 3 {
		is.Equal(r.get("safe", "Prompt", "100").header.Get("Reason"), string(api.ReasonUpstreamRefused)) // not run: the quota is returned
	}
	r.upstreams = nil
	r.addUpstream("b", respondsWith("ok"))
	is.Equal(r.get("safe", "Prompt", "150").status, 200) // goes into debt
	a := r.get("safe", "Prompt", "100")
	is.Equal(a.status, 429)
	is.Equal(a.header.Get("Reason"), string(api.ReasonOrganisationLimit))
	is.True(a.header.Get("Retry-After") != "")
}

// An upstream that is leaving closes its connections, which may be the first sign of it.
func TestAnnouncedConnectionCloseIsReported(t *testing.T) {
	is := is.New(t)
	r := newHarness(t)
	r.publish(0)
	r.addUpstream("a", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Connection", "close")
		respondsWith("ok")(w, r)
	})
	is.Equal(r.get("safe").status, 200)
	is.Equal(<-r.closing, "a")
	r.upstreams = nil
	r.addUpstream("b", respondsWith("ok"))
	is.Equal(r.get("safe").status, 200)
	is.Equal(len(r.closing), 0)
}

func TestDrainingInstanceClosesEachConnection(t *testing.T) {
	is := is.New(t)
	r := newHarness(t)
	r.publish(0)
	r.addUpstream("a", respondsWith("ok"))
	r.handler.Drain(time.Now().Add(time.Minute), time.Now().Add(time.Minute))
	c, err := net.Dial("tcp", r.server.Listener.Addr().String())
	is.NoErr(err)
	defer c.Close()
	_, err = io.WriteString(c, "GET /safe/x HTTP/1.1\r\nHost: h.example\r\nId: 1\r\nKey: k\r\n\r\n")
	is.NoErr(err)
	whole, err := io.ReadAll(c) // ends when the connection is closed
	is.NoErr(err)
	is.True(strings.Contains(string(whole), "Connection: close"))
}

// hookedProtocol calls do in SetAttemptHeaders, which runs before a connection is made.
type hookedProtocol struct {
	fakeProtocol
	do func()
}

func (m hookedProtocol) SetAttemptHeaders(h http.Header, a Attempt) {
	m.fakeProtocol.SetAttemptHeaders(h, a)
	m.do()
}

// Guards against callers that keep their connections open to an instance that can't serve them all.
func TestResponsesCloseTheirConnectionsWhileCallersAreTooMany(t *testing.T) {
	is := is.New(t)
	r := newHarness(t)
	tooMany := true
	r.handler.o.CloseCallers = func() bool { return tooMany }
	r.publish(0)
	r.addUpstream("a", respondsWith("ok"))
	closes := func() bool {
		response, err := http.DefaultClient.Do(r.request("GET", "/safe/x", ""))
		is.NoErr(err)
		defer response.Body.Close()
		is.Equal(response.StatusCode, 200)
		return response.Close
	}
	is.True(closes())
	tooMany = false
	is.True(!closes())
}

// An upstream leaves after the request was checked and before a connection to it exists. The
// request is sent to another upstream, and its only attempt isn't used up.
func TestUpstreamThatLeavesBeforeTheFirstByteReceivesNothing(t *testing.T) {
	is := is.New(t)
	r := newHarness(t)
	r.publish(0)
	r.addUpstream("a", respondsWith("ok"))
	r.addUpstream("b", respondsWith("ok"))
	leave := sync.OnceFunc(func() {
		r.upstreams[0].Leaving = true
		r.upstreams[0].Revision = 9
		r.publishUpstreams()
	})
	r.handler.o.Protocol = hookedProtocol{do: leave}
	is.Equal(r.get("once").status, 200)
	is.Equal(r.arrivedIDs(), "b")
}

func TestLeavingUpstreamReceivesNoNewRequests(t *testing.T) {
	is := is.New(t)
	r := newHarness(t)
	r.publish(0)
	r.addUpstream("a", respondsWith("ok"))
	r.addUpstream("b", respondsWith("ok"))
	r.upstreams[0].Leaving = true
	r.upstreams[0].Revision = 9
	r.publishUpstreams()
	is.Equal(r.get("safe").status, 200)
	is.Equal(r.arrivedIDs(), "b")
}
