package proxy

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/exchange"
)

// cutAt writes the first bytes of a raw response, and ends the connection in order or, after every other number of bytes,
// by a reset.
func cutAt(raw string, at int) http.HandlerFunc {
	return hijack(func(c net.Conn) {
		_, _ = io.WriteString(c, raw[:at])
		if at%2 == 1 {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
	})
}

// Guards against a response that stops anywhere in its head or framing and reaches its caller as a whole one, and against
// a request that may have run and is sent again, or refused as one that hasn't.
func TestResponseCutAtAnyByteIsLost(t *testing.T) {
	const signed = "Id: 1\r\nSigned: a\r\n"
	for name, c := range map[string]struct{ method, route, raw string }{
		"chunks":      {"POST", "once", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + signed + "\r\n1a\r\nabcdefghijklmnopqrstuvwxyz\r\n0\r\nLast: 1\r\n\r\n"},
		"until close": {"POST", "once", untilCloseHead},
		"304":         {"GET", "once", "HTTP/1.1 304 Not Modified\r\n" + signed + "Content-Length: 1234\r\n\r\n"},
		"refusal":     {"POST", "once", "HTTP/1.1 503 Service Unavailable\r\nId: 1\r\nNot-Run: 1\r\n\r\n"},
		"idempotent":  {"GET", "safe", "HTTP/1.0 200 OK\r\n" + signed + "Content-Length: 5\r\n\r\nhello"},
		"stream":      {"GET", "stream", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + signed + "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			for at := range len(c.raw) {
				is := is.New(t)
				r := newHarness(t)
				r.publish(0)
				r.addUpstream("a", cutAt(c.raw, at))
				r.addUpstream("b", respondsWith("b"))
				got := r.do(r.request(c.method, "/"+c.route+"/x", ""))
				is.NoErr(got.err)
				if c.route == "safe" {
					is.Equal(got.body, "b")
					is.Equal(r.arrivedIDs(), "a b")
					continue
				}
				is.Equal(got.status, http.StatusBadGateway)
				is.Equal(got.header.Get("Outcome"), "unknown")
				is.Equal(r.arrivedIDs(), "a")
			}
		})
	}
}

// Guards against a stream that looks whole because the response with which it is resumed stops in its head or framing.
func TestStreamWhoseResumptionIsCutIsNotWhole(t *testing.T) {
	for name, raw := range map[string]string{
		"chunks":      chunkedHead + chunk(eventLines("", "2")) + chunk(eventLines("", "3")) + "0\r\n\r\n",
		"until close": events("", "2", "3"), // its caller was promised an end that is stated
	} {
		t.Run(name, func(t *testing.T) {
			for at := range len(raw) {
				is := is.New(t)
				r := newHarness(t)
				r.publish(0)
				r.addUpstream("a", writesRaw(chunkedHead+chunk(eventLines("", "1"))))
				r.addUpstream("b", cutAt(raw, at))
				got := r.read("/resumable/x", "", 0, make(chan struct{}))
				is.True(errors.Is(got.err, exchange.ErrTruncated))
				is.True(strings.HasPrefix(eventLines("", "1", "2", "3"), got.body))
				is.True(strings.HasSuffix(got.body, "\n\n")) // no part of an event
				is.Equal(r.arrivedIDs(), "a b")
			}
		})
	}
}
