package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"

	"github.com/tacktally/tacktally/internal/tcp"
	"github.com/tacktally/tacktally/internal/wait"
)

// Path is the URL path under which an instance relays connections; the query names the upstream.
const Path = "/relay"

// upstreamParameter is the query parameter with the ID of the upstream.
const upstreamParameter = "upstream"

const (
	// statusUpstreamBroken closes a relayed connection whose upstream has reset it.
	statusUpstreamBroken websocket.StatusCode = 4000
	// copyBufferBytes is the size of the chunks that are relayed.
	copyBufferBytes = 16 << 10
	// closeTimeout bounds the time to tell the peer how the connection ended.
	closeTimeout = time.Second
	// drainPollInterval is how often a Server that drains checks whether connections are left.
	drainPollInterval = 50 * time.Millisecond
)

// Errors of ServerOptions.Dial.
var (
	// ErrUnknownUpstream means that this instance doesn't know the upstream, or may not send to it.
	ErrUnknownUpstream = errors.New("the upstream is unknown or not in use")
	// ErrNoPath means that this instance can't tell whether the upstream is down, since it reaches few
	// upstreams itself.
	ErrNoPath = errors.New("this instance has no path to the upstream")
	// ErrIsolated means that this instance reaches no upstream.
	ErrIsolated = fmt.Errorf("%w, nor to any other", ErrNoPath)
)

// ServerOptions configure a Server.
type ServerOptions struct {
	// Dial opens a connection to an upstream over this instance's own path. An error other than
	// ErrUnknownUpstream and ErrNoPath means that the upstream can't be reached.
	Dial func(ctx context.Context, upstream string) (net.Conn, error)
	// MaxConnections bounds the connections that are relayed at the same time.
	MaxConnections int
}

// Server relays connections for peers. It is safe for concurrent use.
type Server struct {
	o ServerOptions

	mu       sync.Mutex
	open     map[*relayed]struct{}
	draining bool
}

// relayed is one connection that is relayed.
type relayed struct {
	peer     *websocket.Conn
	upstream net.Conn
}

// NewServer returns a server that relays nothing yet.
func NewServer(o ServerOptions) *Server {
	return &Server{o: o, open: map[*relayed]struct{}{}}
}

// Connections returns how many connections are being relayed; none with a nil server.
func (s *Server) Connections() int {
	if s == nil {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// ServeHTTP implements http.Handler. It blocks until the relayed connection has ended. A refusal states its
// reason in a header, and by its status: 404 for Unknown, 502 for Unreachable and Refused, and 503 for all others.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &relayed{}
	if refusal := s.admit(c); refusal != "" {
		refuse(w, refusal)
		return
	}
	defer s.remove(c)
	var err error
	if c.upstream, err = s.o.Dial(r.Context(), r.URL.Query().Get(upstreamParameter)); err != nil {
		refuse(w, refusalOf(err))
		return
	}
	defer reset(c.upstream)
	peer, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return
	}
	defer func() { _ = peer.CloseNow() }() // ended in any case
	s.mu.Lock()
	c.peer = peer
	s.mu.Unlock()
	c.run()
}

// admit counts a connection, unless there are too many or the server drains; it then returns the refusal.
func (s *Server) admit(c *relayed) (refusal Reply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.draining:
		return Draining
	case len(s.open) >= s.o.MaxConnections:
		return Busy
	}
	s.open[c] = struct{}{}
	return ""
}

func (s *Server) remove(c *relayed) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}

// Drain refuses new connections and blocks until none is left, or ctx ends; then it breaks the remaining ones. Only peers
// know which connections carry a response, however long it is silent. Those that know that this instance is shutting down
// close the others; those of earlier versions do so after their idle timeout.
func (s *Server) Drain(ctx context.Context) {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	for s.Connections() > 0 && wait.For(ctx, drainPollInterval) {
	}
	s.breakOff()
}

// breakOff ends all connections. It doesn't wait until they are removed.
func (s *Server) breakOff() {
	s.mu.Lock()
	var peers []*websocket.Conn
	for c := range s.open {
		if c.peer != nil {
			peers = append(peers, c.peer)
		}
	}
	s.mu.Unlock()
	for _, peer := range peers {
		_ = peer.CloseNow() // ends run
	}
}

// run copies bytes in both directions until either side ends.
func (c *relayed) run() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	peer := websocket.NetConn(ctx, c.peer, websocket.MessageBinary)
	upstream := tcp.NewConn(c.upstream)
	go func() {
		_, _ = io.CopyBuffer(&requestWriter{to: upstream}, onlyReader{peer}, make([]byte, copyBufferBytes))
		reset(c.upstream) // the peer has given up; ends the other direction
	}()
	_, err := io.CopyBuffer(onlyWriter{peer}, onlyReader{upstream}, make([]byte, copyBufferBytes))
	status := websocket.StatusNormalClosure
	if err != nil {
		status = statusUpstreamBroken
	}
	timeout := time.AfterFunc(closeTimeout, func() { _ = c.peer.CloseNow() })
	defer timeout.Stop()
	_ = c.peer.Close(status, "") // if the peer is gone, nobody waits for it
}

// requestWriter writes to an upstream until that fails, and discards the rest: the response, which may be complete without it,
// shows how the connection has ended.
type requestWriter struct {
	to     io.Writer
	failed bool
}

// Write implements io.Writer. It never fails.
func (w *requestWriter) Write(p []byte) (int, error) {
	if !w.failed {
		_, err := w.to.Write(p)
		w.failed = err != nil
	}
	return len(p), nil
}

// onlyReader and onlyWriter hide the other methods of a connection, which io.Copy would use instead of the buffer.
type (
	onlyReader struct{ io.Reader }
	onlyWriter struct{ io.Writer }
)

// reset closes a connection and discards what was not sent, so that nothing reaches the upstream after
// the request was given up.
func reset(c net.Conn) {
	if l, ok := c.(interface{ SetLinger(seconds int) error }); ok {
		_ = l.SetLinger(0) // it is closed already
	}
	_ = c.Close()
}
