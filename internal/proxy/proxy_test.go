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

func TestAnswersArePassedOnUnchanged(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.publish(0)
	seen := make(chan *http.Request, 1)
	r.upstream("u", func(w http.ResponseWriter, q *http.Request) {
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
	is.Equal(a.header.Get("Content-Type"), "text/plain; charset=utf-8") // as the upstream gave it
	q := <-seen
	is.Equal(q.Method, "PUT")
	is.Equal(q.RequestURI, target) // byte for byte
	is.Equal(q.Host, "h.example")
	is.Equal(q.Header.Get("Body"), "body")
	is.Equal(q.Header.Get("Mine"), "kept")
	is.Equal(q.Header.Get("Organisation"), "crews") // whatever the caller said
	is.Equal(q.Header.Get("Key"), "")               // never passed on
	is.Equal(q.Header.Get("Accept-Encoding"), "identity")
}

func TestNothingIsAddedToTheCallersHeaders(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.publish(0)
	r.upstream("u", says("ok"))
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

func TestWhatIsRefusedBeforeItIsSent(t *testing.T) {
	for name, c := range map[string]struct {
		age    time.Duration
		route  string
		header []string
		status int
		reason api.Reason
	}{
		"no ID":                     {0, "safe", []string{"Id", ""}, 400, api.ReasonInvalidRequest},
		"no route":                  {0, "none", nil, 404, api.ReasonNoRoute},
		"no route, in doubt":        {doubt + time.Second, "none", nil, 503, api.ReasonStaleConfiguration},
		"unknown key":               {0, "safe", []string{"Key", "other"}, 401, api.ReasonUnknownAPIKey},
		"no key":                    {0, "safe", []string{"Key", ""}, 401, api.ReasonUnknownAPIKey},
		"unknown key, in doubt":     {doubt + time.Second, "safe", []string{"Key", "other"}, 503, api.ReasonStaleConfiguration},
		"known key, lease is over":  {leaseTime, "safe", nil, 503, api.ReasonStaleConfiguration},
		"known key, before its end": {leaseTime - time.Second, "safe", nil, 200, ""},
		"public, lease is over":     {leaseTime, "open", []string{"Key", ""}, 200, ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newRig(t)
			r.publish(c.age)
			r.upstream("u", says("ok"))
			a := r.get(c.route, c.header...)
			is.Equal(a.status, c.status)
			is.Equal(a.header.Get("Reason"), string(c.reason))
			is.Equal(len(r.arrivals) == 0, c.status != 200)
		})
	}
}

func TestWithoutAConfigurationNothingIsSaidToBeMissing(t *testing.T) {
	is := is.New(t)
	a := newRig(t).get("safe")
	is.Equal(a.status, 503)
	is.Equal(a.header.Get("Reason"), string(api.ReasonNoConfiguration))
	is.True(a.header.Get("Retry-After") != "")
}

func TestLargeBodiesAreRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.publish(0)
	c, err := net.Dial("tcp", r.server.Listener.Addr().String())
	is.NoErr(err)
	defer c.Close()
	_, err = io.WriteString(c, "POST /safe/x HTTP/1.1\r\nHost: h.example\r\nId: 1\r\nKey: k\r\nContent-Length: 1001\r\n\r\n")
	is.NoErr(err) // and no body: the answer must not wait for it
	answer, err := io.ReadAll(c)
	is.NoErr(err)
	is.True(strings.HasPrefix(string(answer), "HTTP/1.1 413 "))
	q := r.request("POST", "/safe/x", "")
	q.Body = io.NopCloser(strings.NewReader(strings.Repeat("x", 1001)))
	q.ContentLength = -1 // in chunks
	is.Equal(r.do(q).status, 413)
}

// Which failures of the first upstream are mended at a second one, by the route's kind.
func TestWhatIsSentAgain(t *testing.T) {
	const cutAnswer = "HTTP/1.1 200 OK\r\nId: 1\r\nSigned: a\r\nContent-Length: 9\r\n\r\npart"
	const unsigned = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok"
	for name, c := range map[string]struct {
		first   http.HandlerFunc
		route   string
		arrived string
		status  int
		outcome string
	}{
		"refused, idempotent":         {refuses, "safe", "a b", 200, ""},
		"refused, once":               {refuses, "once", "a b", 200, ""},
		"lost, idempotent":            {drops, "safe", "a b", 200, ""},
		"lost, once":                  {drops, "once", "a", 502, "unknown"},
		"lost, stream":                {drops, "stream", "a", 502, "unknown"},
		"lost, resumable":             {drops, "resumable", "a b", 200, ""},
		"cut, idempotent":             {writes(cutAnswer), "safe", "a b", 200, ""},
		"cut, once":                   {writes(cutAnswer), "once", "a", 502, "unknown"},
		"unsigned, idempotent":        {writes(unsigned), "safe", "a b", 200, ""},
		"unsigned, once":              {writes(unsigned), "once", "a", 502, "unknown"},
		"no HTTP, once":               {writes("what?\r\n\r\n"), "once", "a", 502, "unknown"},
		"another has the address":     {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(421) }, "once", "a b", 200, ""},
		"its own failure, idempotent": {fails, "safe", "a b", 200, ""},
		"its own failure, resumable":  {fails, "resumable", "a b", 200, ""},
		"its own failure, stream":     {fails, "stream", "a", 500, ""},
		"its own failure, once":       {fails, "once", "a", 500, ""},
		"its own verdict":             {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(409) }, "safe", "a", 409, ""},
		"its own refusal, as it ran":  {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) }, "once", "a", 503, ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newRig(t)
			r.publish(0)
			r.upstream("a", c.first)
			r.upstream("b", says("ok"))
			a := r.get(c.route)
			is.Equal(r.arrived(), c.arrived)
			is.Equal(a.status, c.status)
			is.Equal(a.header.Get("Outcome"), c.outcome)
		})
	}
}

// Where no other upstream mends a failure, the caller gets the upstream's own answer.
func TestAFailureThatNothingMendsIsPassedOn(t *testing.T) {
	for name, second := range map[string]http.HandlerFunc{
		"the second one fails too": fails, "the second one refuses": refuses, "the second one is lost": drops,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newRig(t)
			r.publish(0)
			r.upstream("a", fails)
			r.upstream("b", second)
			a := r.get("safe")
			is.Equal(r.arrived(), "a b")
			is.Equal(a.status, 500)
			is.True(a.header.Get("Signed") != "")
			is.Equal(a.body, "sorry")
			is.NoErr(a.err)
		})
	}
}

// Finding out that an upstream can't be reached may take longer than a request waits for
// room. The others still have room for it: once an attempt has failed, only the deadline
// bounds the wait.
func TestARequestThatCouldNotBeSentGoesElsewhereHoweverLongThatTook(t *testing.T) {
	is := is.New(t)
	j := job{route: &routing.Route{LatencyObjective: time.Second}}
	is.Equal(j.schedulerRequest("").Patience, time.Duration(patienceShare*float64(time.Second)))
	is.Equal(j.schedulerRequest("a").Patience, time.Duration(0)) // none but the deadline
	r := newRig(t)
	r.publish(0)
	gone, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	r.upstream("b", says("ok"))
	r.upstreams = append([]view.Upstream{{ID: "a", Service: "s", Address: gone.Addr().String(), Slots: 8, Revision: 9}}, r.upstreams...)
	r.list()
	gone.Close()
	is.Equal(r.get("once").status, 200)
	is.Equal(r.arrived(), "b")
}

// Whoever looks for the cause of a refusal finds what the upstream said.
func TestAnUpstreamsRefusalsAreToldApart(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.publish(0)
	r.upstream("a", func(w http.ResponseWriter, _ *http.Request) {
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
	r := newRig(t)
	r.publish(0)
	for _, id := range []string{"a", "b", "c"} {
		r.upstream(id, refuses)
	}
	a := r.get("safe")
	is.Equal(r.arrived(), "a b")
	is.Equal(a.status, 502) // as this protocol words it
	is.Equal(a.header.Get("Outcome"), "not-run")
	is.True(a.header.Get("Retry-After") != "")
}

func TestARefusalAfterALostAttemptIsNotSaidNotToHaveRun(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.publish(0)
	r.upstream("a", drops)
	r.upstream("b", refuses)
	a := r.get("safe")
	is.Equal(r.arrived(), "a b")
	is.Equal(a.header.Get("Outcome"), "unknown")
}

// events writes whole events with these IDs, and what comes after them.
func events(rest string, ids ...string) string {
	out := "HTTP/1.1 200 OK\r\nId: 1\r\nSigned: a\r\nContent-Type: text/event-stream\r\n\r\n"
	for _, id := range ids {
		out += "id: " + id + "\ndata: " + id + "\n\n"
	}
	return out + rest
}

// cuts writes events and resets the connection once they were passed on.
func cuts(raw string, passed <-chan struct{}) http.HandlerFunc {
	return hijack(func(c net.Conn) {
		_, _ = io.WriteString(c, raw)
		<-passed
		_ = c.(*net.TCPConn).SetLinger(0)
	})
}

func TestAStreamGoesOnElsewhereAfterTheLastWholeEvent(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.publish(0)
	passed := make(chan struct{})
	r.upstream("a", cuts(events("id: 3\nda", "1", "2"), passed))
	r.upstream("b", func(w http.ResponseWriter, q *http.Request) {
		is.Equal(q.Header.Get("After"), "2")
		_, _ = io.WriteString(w, "id: 2\ndata: 2\n\nid: 3\ndata: 3\n\nid: 4\ndata: 4\n\n")
	})
	response, err := http.DefaultClient.Do(r.request("GET", "/resumable/x", ""))
	is.NoErr(err)
	defer response.Body.Close()
	first := make([]byte, len("id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n"))
	_, err = io.ReadFull(response.Body, first)
	is.NoErr(err)
	close(passed)
	rest, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(response.Header.Get("Signed"), "a") // the first one's stays
	is.Equal(string(rest), "id: 3\ndata: 3\n\nid: 4\ndata: 4\n\n")
}

func TestAStreamThatCantGoOnDoesNotLookComplete(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.publish(0)
	passed := make(chan struct{})
	r.upstream("a", cuts(events("id: 2\nda", "1"), passed))
	r.upstream("b", says("never"))
	response, err := http.DefaultClient.Do(r.request("GET", "/stream/x", ""))
	is.NoErr(err)
	defer response.Body.Close()
	_, err = io.ReadFull(response.Body, make([]byte, len("id: 1\ndata: 1\n\n")))
	is.NoErr(err)
	close(passed)
	rest, err := io.ReadAll(response.Body)
	is.True(err != nil) // the connection ends before the body does
	is.Equal(string(rest), "")
	is.Equal(r.arrived(), "a")
}

// An upstream that has the request and says nothing is given up where the request may
// be had elsewhere.
func TestASilentUpstreamIsLeftForAnother(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	for i := range r.document.Routes {
		r.document.Routes[i].LatencyObjective = 20 * time.Millisecond
	}
	r.publish(0)
	left := make(chan struct{})
	r.upstream("a", hijack(func(c net.Conn) {
		_, _ = c.Read(make([]byte, 1)) // until the other side closes
		close(left)
	}))
	r.upstream("b", says("ok"))
	a := r.get("safe")
	is.Equal(a.status, 200)
	is.Equal(r.arrived(), "a b")
	<-left
}

func TestACallerThatLeavesEndsTheWorkUpstream(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.publish(0)
	begun := make(chan struct{})
	ended := make(chan struct{})
	r.upstream("a", hijack(func(c net.Conn) {
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

func TestTheRoutesTimeoutEndsARequest(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.document.Routes[1].Timeout = 80 * time.Millisecond
	r.publish(0)
	ended := make(chan struct{})
	r.upstream("a", hijack(func(c net.Conn) {
		_, _ = c.Read(make([]byte, 1))
		close(ended)
	}))
	a := r.get("once", "Timeout", "10s")
	is.Equal(a.status, 504)
	is.Equal(a.header.Get("Reason"), string(api.ReasonUpstreamTimeout))
	<-ended
	left, err := time.ParseDuration(r.arrivals[0].Header.Get("Timeout"))
	is.NoErr(err)
	is.True(left <= 80*time.Millisecond) // the upstream is told what is left
}

func TestQuotasAreCountedInTokensAndGivenBack(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.document.Organisations[0].TokensPerSecond = 1
	r.document.Organisations[0].BurstTokens = 100
	r.publish(0)
	r.upstream("a", refuses)
	for range 3 {
		is.Equal(r.get("safe", "Prompt", "100").header.Get("Reason"), string(api.ReasonUpstreamRefused)) // not run: given back
	}
	r.upstreams = nil
	r.upstream("b", says("ok"))
	is.Equal(r.get("safe", "Prompt", "150").status, 200) // into debt
	a := r.get("safe", "Prompt", "100")
	is.Equal(a.status, 429)
	is.Equal(a.header.Get("Reason"), string(api.ReasonOrganisationLimit))
	is.True(a.header.Get("Retry-After") != "")
}

// An upstream that leaves closes its connections, which may be the first word of it.
func TestAnUpstreamThatClosesItsConnectionIsTold(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.publish(0)
	r.upstream("a", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Connection", "close")
		says("ok")(w, r)
	})
	is.Equal(r.get("safe").status, 200)
	is.Equal(<-r.closing, "a")
	r.upstreams = nil
	r.upstream("b", says("ok"))
	is.Equal(r.get("safe").status, 200)
	is.Equal(len(r.closing), 0)
}

func TestADrainingInstanceClosesEachConnection(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.publish(0)
	r.upstream("a", says("ok"))
	r.handler.Drain()
	c, err := net.Dial("tcp", r.server.Listener.Addr().String())
	is.NoErr(err)
	defer c.Close()
	_, err = io.WriteString(c, "GET /safe/x HTTP/1.1\r\nHost: h.example\r\nId: 1\r\nKey: k\r\n\r\n")
	is.NoErr(err)
	whole, err := io.ReadAll(c) // ends, as the connection does
	is.NoErr(err)
	is.True(strings.Contains(string(whole), "Connection: close"))
}

// meanwhile is a protocol whose Prepare, which comes before a connection is made, does
// something else, too.
type meanwhile struct {
	plain
	do func()
}

func (m meanwhile) Prepare(h http.Header, a Attempt) {
	m.plain.Prepare(h, a)
	m.do()
}

// An upstream leaves after a request was checked and before a connection to it is there. The
// request is sent elsewhere, and its only attempt isn't used up.
func TestAnUpstreamThatLeavesBeforeTheFirstByteGetsNothing(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.publish(0)
	r.upstream("a", says("ok"))
	r.upstream("b", says("ok"))
	leave := sync.OnceFunc(func() {
		r.upstreams[0].Leaving = true
		r.upstreams[0].Revision = 9
		r.list()
	})
	r.handler.o.Protocol = meanwhile{do: leave}
	is.Equal(r.get("once").status, 200)
	is.Equal(r.arrived(), "b")
}

func TestALeavingUpstreamGetsNothingNew(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.publish(0)
	r.upstream("a", says("ok"))
	r.upstream("b", says("ok"))
	r.upstreams[0].Leaving = true
	r.upstreams[0].Revision = 9
	r.list()
	is.Equal(r.get("safe").status, 200)
	is.Equal(r.arrived(), "b")
}
