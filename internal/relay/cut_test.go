package relay

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/tacktally/tacktally/internal/exchange"
)

// Guards against a response that stops anywhere in its head or framing and looks whole at the other end of a relayed
// connection, and against an upstream that is blamed for the loss of a peer in the middle of a head.
func TestRelayedResponseCutAtAnyByteIsNotComplete(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nSigned: a\r\n"
	for name, c := range map[string]struct{ raw, body string }{
		"length":      {"HTTP/1.1 100 Continue\r\n\r\n" + head + "Content-Length: 12\r\n\r\nhello, world", "hello, world"},
		"chunks":      {head + "Transfer-Encoding: chunked\r\n\r\n1a\r\nabcdefghijklmnopqrstuvwxyz\r\n0\r\nLast: 1\r\n\r\n", "abcdefghijklmnopqrstuvwxyz"},
		"until close": {head + "\r\nhello", "hello"},
	} {
		bodyAt := strings.LastIndex(c.raw, c.body)
		if name == "chunks" {
			bodyAt -= len("1a\r\n")
		}
		for end, test := range map[string]struct {
			end     func(p *pair, upstream net.Conn)
			want    error // of a head
			inOrder bool
		}{
			"closed by the upstream": {func(_ *pair, upstream net.Conn) { _ = upstream.Close() }, io.EOF, true},
			"reset by the upstream":  {func(_ *pair, upstream net.Conn) { reset(upstream) }, errUpstreamBroken, false},
			"relay gone":             {func(p *pair, _ net.Conn) { p.server.Drain(ended()) }, ErrLost, false},
		} {
			t.Run(name+", "+end, func(t *testing.T) {
				for at := range len(c.raw) {
					p := newPair(t)
					arrived := make(chan struct{})
					go func() {
						upstream := <-p.upstream
						if _, err := http.ReadRequest(bufio.NewReader(upstream)); err == nil {
							_, _ = io.WriteString(upstream, c.raw[:at])
						}
						if at > 0 {
							<-arrived
						}
						test.end(p, upstream)
					}()
					pool := exchange.NewPool(exchange.Options{Dial: func(ctx context.Context) (net.Conn, error) {
						conn, err := p.client.Dial(ctx, "i-1")
						return &observedConn{Conn: conn, left: at, arrived: arrived}, err
					}})
					response, err := pool.Do(t.Context(), &exchange.Request{Method: "POST", Target: "/", Host: "h"})
					if at < bodyAt {
						if !errors.Is(err, exchange.ErrNoResponse) || !errors.Is(err, test.want) {
							t.Errorf("cut to %q: %v", c.raw[:at], err)
						}
						continue
					}
					if err != nil {
						t.Errorf("cut to %q: %v", c.raw[:at], err)
						continue
					}
					body, err := io.ReadAll(response)
					response.Close()
					whole := test.inOrder && response.Framing == exchange.UntilClose
					if (err == nil) != whole || (!whole && !errors.Is(err, exchange.ErrTruncated)) || !strings.HasPrefix(c.body, string(body)) {
						t.Errorf("cut to %q: %q, %v", c.raw[:at], body, err)
					}
				}
			})
		}
	}
}

// observedConn closes arrived once a number of bytes was read.
type observedConn struct {
	net.Conn
	left    int
	arrived chan struct{}
}

func (c *observedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.left -= n
	if n > 0 && c.left == 0 {
		close(c.arrived)
	}
	return n, err
}
