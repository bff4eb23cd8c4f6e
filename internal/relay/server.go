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
	// quietFor is how long a connection must carry nothing after a part of a response, or before a request, until
	// a Server that drains closes it.
	quietFor = time.Second
	// drainPollInterval is how often a Server that drains looks for quiet connections.
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

	mu       sync.Mutex
	lastData time.Time
	// awaitsResponse reports whether the last data was a part of a request.
	awaitsResponse bool
}

// direction is that in which a relayed connection carries data.
type direction bool

const (
	toUpstream direction = true
	toPeer     direction = false
)

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
	c := &relayed{lastData: time.Now()}
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

// Drain refuses new connections and closes those that are quiet; those that wait for a response aren't. It blocks until
// none is left, or ctx ends; then it breaks the remaining ones.
func (s *Server) Drain(ctx context.Context) {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	for s.Connections() > 0 && ctx.Err() == nil {
		s.breakOff(func(c *relayed) bool { return c.isQuiet(time.Now()) })
		wait.For(ctx, drainPollInterval)
	}
	s.breakOff(func(*relayed) bool { return true })
}

// breakOff ends the selected connections. It doesn't wait until they are removed.
func (s *Server) breakOff(selected func(*relayed) bool) {
	s.mu.Lock()
	var peers []*websocket.Conn
	for c := range s.open {
		if c.peer != nil && selected(c) {
			peers = append(peers, c.peer)
		}
	}
	s.mu.Unlock()
	for _, peer := range peers {
		_ = peer.CloseNow() // ends run
	}
}

func (c *relayed) isQuiet(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.awaitsResponse && now.Sub(c.lastData) >= quietFor
}

// record records that data is carried.
func (c *relayed) record(d direction, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastData, c.awaitsResponse = now, d == toUpstream
}

// run copies bytes in both directions until either side ends.
func (c *relayed) run() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	peer := websocket.NetConn(ctx, c.peer, websocket.MessageBinary)
	go func() {
		_, _ = io.CopyBuffer(observed{c, toUpstream, c.upstream}, onlyReader{peer}, make([]byte, copyBufferBytes))
		reset(c.upstream) // the peer has given up; ends the other direction
	}()
	_, err := io.CopyBuffer(observed{c, toPeer, peer}, onlyReader{c.upstream}, make([]byte, copyBufferBytes))
	status := websocket.StatusNormalClosure
	if err != nil {
		status = statusUpstreamBroken
	}
	timeout := time.AfterFunc(closeTimeout, func() { _ = c.peer.CloseNow() })
	defer timeout.Stop()
	_ = c.peer.Close(status, "") // if the peer is gone, nobody waits for it
}

// observed records when data was written, and in which direction.
type observed struct {
	c         *relayed
	direction direction
	io.Writer
}

func (o observed) Write(b []byte) (int, error) {
	o.c.record(o.direction, time.Now())
	return o.Writer.Write(b)
}

// onlyReader hides the other methods of a connection, which io.Copy would use instead of the buffer.
type onlyReader struct{ io.Reader }

// reset closes a connection and discards what was not sent, so that nothing reaches the upstream after
// the request was given up.
func reset(c net.Conn) {
	if l, ok := c.(interface{ SetLinger(seconds int) error }); ok {
		_ = l.SetLinger(0) // it is closed already
	}
	_ = c.Close()
}
