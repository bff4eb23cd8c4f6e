package upstream

import (
	"bufio"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tacktally/tacktally/internal/request"
)

// Guards against a response that stops anywhere in its head or framing and is retained, or passed on, as a whole one.
func TestResponseCutAtAnyByteIsNotDone(t *testing.T) {
	const (
		ok     = "HTTP/1.1 200 OK\r\n"
		json   = "Content-Type: application/json\r\n"
		events = "Content-Type: text/event-stream\r\n"
		usage  = `{"usage":{},"a":"bcdef"}`
		stream = "data: 1\n\ndata: [DONE]\n\n"
	)
	chunked := func(body string) string {
		return "Transfer-Encoding: chunked\r\n\r\n" + map[int]string{24: "18", 23: "17"}[len(body)] + ";name=value\r\n" + body + "\r\n0\r\nLast: 1\r\n\r\n"
	}
	for name, c := range map[string]struct {
		request *request.Request
		raw     string
		needed  string // what must have arrived; all if it is empty
	}{
		"service, length":      {service("POST", true), ok + "Content-Length: 12\r\n\r\nhello, world", ""},
		"service, chunks":      {service("POST", true), ok + chunked(usage), ""},
		"service, until close": {service("POST", true), ok + "Connection: close\r\n\r\nhello", "\r\n\r\n"},
		"service, 1.0":         {service("POST", true), "HTTP/1.0 200 OK\r\n\r\nhello", "\r\n\r\n"},
		"service, interim":     {service("POST", true), "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + ok + "Content-Length: 5\r\n\r\nhello", ""},
		"service, bare LF":     {service("POST", true), "HTTP/1.1 200 OK\nContent-Length: 5\n\nhello", ""},
		"service, 204":         {service("DELETE", true), "HTTP/1.1 204 No Content\r\nEtag: a\r\n\r\n", ""},
		"service, 304":         {service("GET", false), "HTTP/1.1 304 Not Modified\r\nContent-Length: 1234\r\n\r\n", ""},
		"service, HEAD":        {service("HEAD", false), ok + "Content-Length: 1234\r\n\r\n", ""},
		"service, events":      {service("GET", false), ok + events + chunked(stream), ""},
		"engine, length":       {model(false), ok + json + "Content-Length: 24\r\n\r\n" + usage, ""},
		"engine, chunks":       {model(false), ok + json + chunked(usage), ""},
		"engine, until close":  {model(false), ok + json + "\r\n" + usage, ""},
		"engine, events":       {model(true), ok + events + chunked(stream), stream},
		"engine, events, 1.0":  {model(true), "HTTP/1.0 200 OK\r\n" + events + "\r\n" + stream, ""},
	} {
		t.Run(name, func(t *testing.T) {
			needed := len(c.raw)
			if c.needed != "" {
				needed = strings.Index(c.raw, c.needed) + len(c.needed)
			}
			unstated := c.needed == "\r\n\r\n"
			var bytes atomic.Int32
			var reset atomic.Bool
			u := listenRaw(t, func(u *rawUpstream, _ int, conn net.Conn, r *bufio.Reader) {
				if !u.readRequest(r) {
					return
				}
				_, _ = io.WriteString(conn, c.raw[:bytes.Load()])
				if reset.Load() {
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
			})
			client := NewClient(time.Second)
			defer client.Close()
			for _, by := range []bool{false, true} {
				reset.Store(by)
				for at := range len(c.raw) + 1 {
					bytes.Store(int32(at))
					before := u.read.Load()
					result, b := do(t, client, u.listener.Addr().String(), c.request, allow)
					done := result.Status == Done
					switch {
					case by && at >= needed && !unstated: // what had arrived may be lost
					case done != (at >= needed && !by) || (done && result.EndUnstated != unstated):
						t.Errorf("cut to %q, reset %t: %+v", c.raw[:at], by, result)
					case !done && result.Status != Lost && result.Status != Truncated && (c.request.Kind == request.Service || result.Status != InvalidResponse):
						t.Errorf("cut to %q, reset %t: %+v", c.raw[:at], by, result)
					case c.request.NonIdempotent && u.read.Load()-before != 1:
						t.Errorf("cut to %q, reset %t: sent %d times", c.raw[:at], by, u.read.Load()-before)
					case b.Started() && result.Status == Lost:
						t.Errorf("cut to %q, reset %t: %+v after a head was passed on", c.raw[:at], by, result)
					}
				}
			}
		})
	}
}
