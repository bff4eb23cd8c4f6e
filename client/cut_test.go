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
