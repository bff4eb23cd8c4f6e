package proxy

import (
	"io"
	"net"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/listen"
)

// recordingListener accepts connections that record what was sent on them before they were to be closed in order.
type recordingListener struct {
	net.Listener
	conns chan *recordingConn
}

// Accept implements net.Listener.
func (l *recordingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	recording := &recordingConn{Conn: c}
	l.conns <- recording
	return recording, nil
}

// recordingConn is safe for concurrent use.
type recordingConn struct {
	net.Conn

	mu   sync.Mutex
	sent strings.Builder
	// whileReset is what had been sent when the connection was to be closed in order.
	whileReset string
}

// Write implements net.Conn.
func (c *recordingConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent.Write(b)
	return c.Conn.Write(b)
}

// SetLinger records the change, as listen.CallerConn makes it.
func (c *recordingConn) SetLinger(seconds int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if seconds < 0 {
		c.whileReset = c.sent.String()
	}
	return c.Conn.(*net.TCPConn).SetLinger(seconds)
}

// Guards against a response that looks complete and isn't: one that ends with its connection, and whose instance is killed
// right before it sends the last bytes, must end with a reset.
func TestConnectionIsClosedInOrderOnlyAfterTheWholeResponse(t *testing.T) {
	for name, c := range map[string]struct{ route, version, response, end string }{
		"body, no stated end":                  {"safe", "1.1", untilCloseHead + strings.Repeat("body", 1250), "body"},
		"short body, no stated end":            {"safe", "1.1", untilCloseHead + "body", "body"},
		"stream, no stated end":                {"stream", "1.1", untilCloseHead + "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "id: 2\ndata: b\n\n"},
		"stream in chunks, caller of HTTP/1.0": {"stream", "1.0", chunkedHead + "f\r\nid: 1\ndata: a\n\n\r\n9\r\ndata: b\n\n\r\n0\r\n\r\n", "data: b\n\n"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newHarness(t)
			r.publish(0)
			r.addUpstream("a", writesRaw(c.response))
			server := httptest.NewUnstartedServer(r.handler)
			recording := &recordingListener{Listener: server.Listener, conns: make(chan *recordingConn, 1)}
			server.Listener = recording
			server.Config.ConnContext = listen.ConnContext
			server.Start()
			defer server.Close()
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			is.NoErr(err)
			defer conn.Close()
			_, err = io.WriteString(conn, "GET /"+c.route+"/x HTTP/"+c.version+"\r\nHost: h.example\r\nId: 1\r\nKey: k\r\n\r\n")
			is.NoErr(err)
			response, err := io.ReadAll(conn)
			is.NoErr(err)
			is.True(strings.HasSuffix(string(response), c.end))
			at := <-recording.conns
			at.mu.Lock()
			defer at.mu.Unlock()
			is.Equal(at.whileReset, string(response))
		})
	}
}
