package client_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/tacktally/tacktally/api"
	"github.com/tacktally/tacktally/client"
)

// connectRaw returns a client with one attempt a request, of a server that responds to each with raw bytes and ends the
// connection, in order or by a reset.
func connectRaw(t *testing.T, raw string, reset bool) (c *client.Client, stop func()) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return // the client has failed before
		}
		defer conn.Close()
		if q, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.Copy(io.Discard, q.Body)
			_, _ = io.WriteString(conn, raw)
		}
		if reset {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
	}()
	c, err = client.New(client.Options{URL: "http://" + l.Addr().String(), APIKey: "k", MaxAttempts: 1, HTTP: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}})
	if err != nil {
		t.Fatal(err)
	}
	return c, func() { _ = l.Close() }
}

// Guards against a response that stops anywhere in its head, framing or trailers and counts as answered, or as not run.
func TestResponseCutAtAnyByteIsUnknown(t *testing.T) {
	const (
		ok      = "HTTP/1.1 200 OK\r\n"
		outcome = api.HeaderOutcome + ": answered\r\n"
		problem = `{"status":503,"outcome":"not-run","reason":"queue_full","retryAfterSeconds":10}`
	)
	for name, c := range map[string]struct {
		raw      string
		whole    api.Outcome // of the whole response
		unstated bool        // its end
	}{
		"length":               {ok + outcome + "Content-Length: 12\r\n\r\nhello, world", api.Answered, false},
		"chunks":               {ok + "Trailer: " + api.HeaderOutcome + "\r\nTransfer-Encoding: chunked\r\n\r\n1a;name=value\r\nabcdefghijklmnopqrstuvwxyz\r\n0\r\n" + outcome + "\r\n", api.Answered, false},
		"chunks, end unstated": {ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n" + api.HeaderOutcome + ": unknown\r\n\r\n", api.Unknown, false},
		"empty":                {"HTTP/1.1 204 No Content\r\n" + outcome + "\r\n", api.Answered, false},
		"until close":          {ok + "Connection: close\r\n\r\nhello", api.Unknown, true},
		"until close, outcome": {ok + outcome + "\r\nhello", api.Unknown, true},
		"1.0":                  {"HTTP/1.0 200 OK\r\n\r\nhello", api.Unknown, true},
		"1.0, length":          {"HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nhello", api.Answered, false},
		"problem":              {"HTTP/1.1 503 Service Unavailable\r\nContent-Type: " + api.ProblemContentType + "\r\nContent-Length: 79\r\n\r\n" + problem, api.NotRun, false},
		"problem, until close": {"HTTP/1.0 503 Service Unavailable\r\nContent-Type: " + api.ProblemContentType + "\r\n\r\n" + problem, api.NotRun, false},
	} {
		t.Run(name, func(t *testing.T) {
			for _, reset := range []bool{false, true} {
				for at := range len(c.raw) + 1 {
					if reset && at == len(c.raw) {
						continue // what has arrived may be lost
					}
					caller, stop := connectRaw(t, c.raw[:at], reset)
					result, err := caller.Do(t.Context(), client.Request{Path: "/x"})
					stop()
					var e *client.Error
					got := api.Unknown
					switch {
					case err == nil:
						got = result.Outcome
					case errors.As(err, &e):
						got = e.Outcome
					}
					want := api.Unknown
					if at == len(c.raw) {
						want = c.whole
					}
					if got != want || (err == nil && at < len(c.raw) && (!c.unstated || reset)) {
						t.Errorf("cut to %q, reset %t: %s, %v", c.raw[:at], reset, got, err)
					}
				}
			}
		})
	}
}

// Guards against a stream whose response stops anywhere before its last event and ends as a whole one.
func TestStreamCutAtAnyByteDoesNotEnd(t *testing.T) {
	const stream = "id: a\ndata: 1\n\ndata: [DONE]\n\n"
	for name, raw := range map[string]string{
		"chunks":      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n1d\r\n" + stream,
		"until close": "HTTP/1.0 200 OK\r\nContent-Type: text/event-stream\r\n\r\n" + stream,
	} {
		t.Run(name, func(t *testing.T) {
			for at := range len(raw) + 1 {
				caller, stop := connectRaw(t, raw[:at], false)
				s, err := caller.Stream(t.Context(), client.Request{Path: "/v1/chat/completions"})
				data := ""
				for err == nil {
					var next []byte
					next, err = s.Next()
					data += string(next)
				}
				stop()
				var e *client.Error
				unknown := errors.As(err, &e) && e.Outcome == api.Unknown
				if ended := errors.Is(err, io.EOF); ended != (at == len(raw)) || (!ended && !unknown) || !strings.HasPrefix("1", data) {
					t.Errorf("cut to %q: %q, %v", raw[:at], data, err)
				}
			}
		})
	}
}
