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

// sendRaw writes text to a daemon's listener for callers and returns everything that it receives.
func (p *process) sendRaw(t *testing.T, text string) string {
	t.Helper()
	conn, err := net.Dial("tcp", p.ip+":7001")
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	_, _ = io.WriteString(conn, text)
	response, _ := io.ReadAll(conn)
	return string(response)
}

// Slow, oversized and malformed input gets a specific error, and leaves no request in flight.
func TestMalformedInputIsRefused(t *testing.T) {
	t.Parallel()
	f := newConfiguredFleet(t, func(s *settings.Settings) {
		s.Callers.ReadTimeout = settings.Duration(300 * time.Millisecond)
		s.Callers.MaxBodyBytes = 10_000
		s.Callers.MaxHeaderBytes = 4096
	}, "fort")
	p := f.daemons[0]
	post := "POST " + chatPath + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + apiKey + "\r\nConnection: close\r\n"
	for name, c := range map[string]struct{ text, want string }{
		"body never arrives": {post + "Content-Length: 99\r\n\r\n{", string(api.ReasonInvalidRequest)},
		"malformed chunk":    {post + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", string(api.ReasonInvalidRequest)},
		"body too large":     {post + "Content-Length: 10001\r\n\r\n" + strings.Repeat(" ", 10_001), string(api.ReasonBodyTooLarge)},
		"header too large":   {post + "X: " + strings.Repeat("x", 9000) + "\r\n\r\n", "431"},
		"not HTTP":           {"hello\r\n\r\n", "400"},
		"unknown path":       {"GET /v2 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", "no call of this API"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.True(strings.Contains(p.sendRaw(t, c.text), c.want))
		})
	}
	f.eventually("no request is in flight", func() bool { return p.status().InFlight == 0 })
	is.New(t).Equal(p.send(call{path: lookupPath, body: "still serving"}).outcome, api.Answered)
}

// The connection of a caller that doesn't read its response is closed. A retry with the same key gets
// the complete response.
func TestSlowReaderIsDisconnected(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newConfiguredFleet(t, func(s *settings.Settings) {
		s.Callers.WriteTimeout = settings.Duration(300 * time.Millisecond)
		s.Idempotency.MaxAnswerBytes = 16 << 20
	}, "fort")
	p := f.daemons[0]
	key := p.issue()
	body := strings.Repeat("x", 12<<20)
	conn, err := net.Dial("tcp", p.ip+":7001")
	is.NoErr(err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nIdempotency-Key: %s\r\nContent-Length: %d\r\n\r\n%s", releasePath, apiKey, key, len(body), body)
	is.NoErr(err)
	f.eventually("the request has run", func() bool { return len(f.service.Calls()) == 1 })
	f.eventually("the caller is disconnected", func() bool { return p.metric("tacktally_callers_held") == 0 })
	is.Equal(p.send(call{path: releasePath, body: body, key: key}).body, service.ResponseBody(body))
	is.Equal(len(f.service.Calls()), 1)
}

// A malformed or late response of an engine gets a typed error, and the engine is used again later.
func TestEngineFaultsGetTypedErrors(t *testing.T) {
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
			r := p.send(call{path: chatPath, body: prompt(name, false), timeout: time.Second})
			is.Equal(r.problem.Reason, c.reason)
			is.Equal(r.outcome, api.Unknown)
			is.True(strings.Contains(r.problem.Detail, "check") || strings.Contains(r.problem.Detail, "allow"))
		})
	}
	f.engine.SetFaults(engine.Faults{})
	f.eventually("the engine is probed and used again", func() bool {
		return p.send(call{path: chatPath, body: prompt("again", true), timeout: 2 * time.Second}).outcome == api.Answered
	})
}

// If an engine is full, the request is refused immediately with a time after which to retry, and doesn't
// wait until its deadline has passed.
func TestFullEngineIsReportedImmediately(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, "fort")
	f.engine.SetFaults(engine.Faults{Refuse: true})
	r := f.daemons[0].send(call{path: chatPath, body: prompt("x", true), timeout: 10 * time.Second})
	is.Equal(r.problem.Reason, api.ReasonUpstreamRefused)
	is.Equal(r.status, http.StatusBadGateway)
	is.Equal(r.header.Get("Retry-After"), fmt.Sprint(r.problem.RetryAfterSeconds))
}
