package faults

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/internal/settings"
	"github.com/tacktally/tacktally/internal/standin/engine"
	"github.com/tacktally/tacktally/internal/standin/service"
)

// raw writes bytes to a daemon's callers' listener and returns all it answers.
func (p *process) raw(t *testing.T, text string) string {
	t.Helper()
	conn, err := net.Dial("tcp", p.ip+":7001")
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(patience))
	_, _ = io.WriteString(conn, text)
	answer, _ := io.ReadAll(conn)
	return string(answer)
}

// Slow, oversized and broken input ends with a clear answer and holds nothing.
func TestHardEdgesOfInput(t *testing.T) {
	t.Parallel()
	f := newTunedFleet(t, func(s *settings.Settings) {
		s.Callers.ReadTimeout = settings.Duration(300 * time.Millisecond)
		s.Callers.MaxBodyBytes = 10_000
		s.Callers.MaxHeaderBytes = 4096
	}, "fort")
	p := f.daemons[0]
	post := "POST " + chat + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + apiKey + "\r\nConnection: close\r\n"
	for name, c := range map[string]struct{ text, want string }{
		"body never comes": {post + "Content-Length: 99\r\n\r\n{", string(api.ReasonInvalidRequest)},
		"body breaks off":  {post + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", string(api.ReasonInvalidRequest)},
		"body too large":   {post + "Content-Length: 10001\r\n\r\n" + strings.Repeat(" ", 10_001), string(api.ReasonBodyTooLarge)},
		"header too large": {post + "X: " + strings.Repeat("x", 9000) + "\r\n\r\n", "431"},
		"no HTTP":          {"hello\r\n\r\n", "400"},
		"unknown path":     {"GET /v2 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", "no call of this API"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.True(strings.Contains(p.raw(t, c.text), c.want))
		})
	}
	f.eventually("nothing is held", func() bool { return p.status().InFlight == 0 })
	is.New(t).Equal(p.send(call{path: lookup, body: "still serving"}).outcome, api.Answered)
}

// A caller that doesn't read its answer is let go, and a repeat under its key gets
// the whole answer.
func TestSlowCallerIsLetGo(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newTunedFleet(t, func(s *settings.Settings) {
		s.Callers.WriteTimeout = settings.Duration(300 * time.Millisecond)
		s.Idempotency.MaxAnswerBytes = 16 << 20
	}, "fort")
	p := f.daemons[0]
	key := p.issue()
	body := strings.Repeat("x", 12<<20)
	conn, err := net.Dial("tcp", p.ip+":7001")
	is.NoErr(err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nIdempotency-Key: %s\r\nContent-Length: %d\r\n\r\n%s", release, apiKey, key, len(body), body)
	is.NoErr(err)
	f.eventually("it has run", func() bool { return len(f.service.Calls()) == 1 })
	f.eventually("the caller is let go", func() bool { return p.metric("tacktally_callers_held") == 0 })
	is.Equal(p.send(call{path: release, body: body, key: key}).body, service.Answer(body))
	is.Equal(len(f.service.Calls()), 1)
}

// What an engine does wrong is told with a typed error, and other requests go on.
func TestHardEdgesOfEngines(t *testing.T) {
	t.Parallel()
	f := newFleet(t, "fort")
	p := f.daemons[0]
	hold := make(chan struct{})
	defer close(hold)
	for name, c := range map[string]struct {
		faults engine.Faults
		reason api.Reason
	}{
		"garbage":  {engine.Faults{Garbage: true}, api.ReasonUpstreamGarbage},
		"too late": {engine.Faults{Hold: hold}, api.ReasonUpstreamTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f.engine.SetFaults(c.faults)
			defer f.engine.SetFaults(engine.Faults{})
			r := p.send(call{path: chat, body: prompt(name, false), timeout: time.Second})
			is.Equal(r.problem.Reason, c.reason)
			is.Equal(r.outcome, api.Unknown)
			is.True(strings.Contains(r.problem.Detail, "check") || strings.Contains(r.problem.Detail, "allow"))
		})
	}
	f.engine.SetFaults(engine.Faults{})
	f.eventually("the engine is tested and used again", func() bool {
		return p.send(call{path: chat, body: prompt("again", true), timeout: 2 * time.Second}).outcome == api.Answered
	})
}

// An engine that is full is not a reason to wait until the deadline: the caller
// is told when to come back, and not that the deadline has passed.
func TestRefusalComesAtOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, "fort")
	f.engine.SetFaults(engine.Faults{Refuse: true})
	r := f.daemons[0].send(call{path: chat, body: prompt("x", true), timeout: 10 * time.Second})
	is.Equal(r.problem.Reason, api.ReasonUpstreamRefused)
	is.Equal(r.status, http.StatusBadGateway)
	is.Equal(r.header.Get("Retry-After"), fmt.Sprint(r.problem.RetryAfterSeconds))
}
