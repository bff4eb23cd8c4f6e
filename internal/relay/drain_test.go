package relay

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/websocket"
	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/virtualtime"
)

// pipeListener accepts the connections that are sent to it.
type pipeListener struct {
	conns chan net.Conn
	ended chan struct{}
}

// Accept implements net.Listener.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.ended:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *pipeListener) Close() error { close(l.ended); return nil }

// Addr implements net.Listener.
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// startPiped returns a server for virtual time, and a function that opens a connection through it and returns both ends.
func startPiped(t *testing.T) (s *Server, dial func() (conn, upstream net.Conn)) {
	t.Helper()
	upstreams := make(chan net.Conn, 1)
	s = NewServer(ServerOptions{MaxConnections: 9, Dial: func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		upstreams <- far
		return near, nil
	}})
	listener := &pipeListener{conns: make(chan net.Conn), ended: make(chan struct{})}
	server := &http.Server{Handler: s}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	transport := &http.Transport{DisableKeepAlives: true, DialContext: func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		listener.conns <- far
		return near, nil
	}}
	return s, func() (conn, upstream net.Conn) {
		socket, _, err := websocket.Dial(t.Context(), "ws://relay"+Path, &websocket.DialOptions{HTTPClient: &http.Client{Transport: transport}})
		if err != nil {
			t.Fatal(err)
		}
		conn, upstream = websocket.NetConn(context.Background(), socket, websocket.MessageBinary), <-upstreams
		t.Cleanup(func() { _ = socket.CloseNow(); _ = upstream.Close() })
		return conn, upstream
	}
}

// carry sends a message from one end of a connection to the other.
func carry(t *testing.T, from, to net.Conn, message string) {
	t.Helper()
	go func() { _, _ = io.WriteString(from, message) }()
	got := make([]byte, len(message))
	if _, err := io.ReadFull(to, got); err != nil || string(got) != message {
		t.Errorf("got %q, %v, want %q", got, err, message)
	}
}

// Guards against responses that a relay which shuts down cuts while their upstream is silent, before their first part or
// after it: only the peer knows whether a response is complete, and closes the connection then.
func TestDrainWaitsForSilentResponses(t *testing.T) {
	const grace, silence = 8 * time.Second, 3 * time.Second
	virtualtime.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, dial := startPiped(t)
		conn, upstream := dial()
		carry(t, conn, upstream, "request")
		ctx, cancel := context.WithTimeout(t.Context(), grace)
		defer cancel()
		drained := make(chan struct{})
		go func() { s.Drain(ctx); close(drained) }()
		<-time.After(silence)
		carry(t, upstream, conn, "event 1")
		<-time.After(silence)
		carry(t, upstream, conn, "event 2")
		is.Equal(s.Connections(), 1)
		_ = conn.Close() // the response was complete
		<-drained
		is.NoErr(ctx.Err())
	})
}

// Guards against a relay that outlasts its grace period for connections that peers of earlier versions keep idle.
func TestDrainEndsWithItsGracePeriod(t *testing.T) {
	const grace = 8 * time.Second
	virtualtime.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, dial := startPiped(t)
		dial() // no request comes on it
		conn, upstream := dial()
		carry(t, conn, upstream, "request")
		carry(t, upstream, conn, "response")
		ctx, cancel := context.WithTimeout(t.Context(), grace)
		defer cancel()
		started := time.Now()
		s.Drain(ctx)
		is.Equal(time.Since(started), grace)
		synctest.Wait()
		is.Equal(s.Connections(), 0)
	})
}

// Guards against a relay that waits although it carries nothing.
func TestDrainWithoutConnectionsEndsAtOnce(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, _ := startPiped(t)
		started := time.Now()
		s.Drain(t.Context())
		is.Equal(time.Since(started), 0*time.Second)
	})
}
