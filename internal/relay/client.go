package relay

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/coder/websocket"
	"golang.org/x/time/rate"

	"github.com/tacktally/tacktally/internal/exchange"
)

// Errors of a Client and its connections.
var (
	// ErrNoRelay means that no peer could relay: it says nothing about the upstream.
	ErrNoRelay = errors.New("no peer can relay to the upstream")
	// ErrUpstreamUnreachable means that a peer that reaches other upstreams can't reach this one.
	ErrUpstreamUnreachable = errors.New("a peer can't reach the upstream either")
	// ErrLost means that a relayed connection ended because of the relaying peer or the path to it.
	ErrLost = errors.New("the relaying peer was lost")
	// errRefused means that the upstream refuses connections of peers that reach others.
	errRefused = fmt.Errorf("%w: %w", ErrUpstreamUnreachable, syscall.ECONNREFUSED)
	// errUpstreamBroken means that the upstream has reset a relayed connection.
	errUpstreamBroken = errors.New("the upstream broke the connection")
)

const (
	// nextPeerAfter is how long a peer may take before the next one is asked as well.
	nextPeerAfter = 40 * time.Millisecond
	// peerTimeout bounds how long one peer may take: its processor may be throttled for 100 ms.
	peerTimeout = 150 * time.Millisecond
	// maxParallel bounds the peers that are asked at the same time for one connection.
	maxParallel = 8
	// maxAboutUpstream is how many peers have to say that the upstream is unreachable, or unknown, until no
	// further one is asked.
	maxAboutUpstream = 3
	// avoidFor is how long a peer that didn't reply is asked last, and busyFor one that was busy.
	avoidFor = time.Second
	busyFor  = 250 * time.Millisecond
	// refusedFor is how long a peer without a path isn't asked again.
	refusedFor = time.Second
	// alwaysAsked is how many peers may be asked for each connection, and searchesPerSecond how many
	// beyond these in a second, on the average and at once. It bounds what a fleet that reaches no upstream
	// spends until its instances know that.
	alwaysAsked       = 3
	searchesPerSecond = 100
)

// ClientOptions configure a Client.
type ClientOptions struct {
	// Peers returns the addresses of the peers that may relay to an upstream, in order of preference.
	Peers func(upstream string) []string
	// Usable reports whether an open connection through a peer may be used for a further request.
	Usable func(peer string) bool
	// Dialer opens connections to peers.
	Dialer *net.Dialer
	// OnReply is called with each reply of a peer. It may be nil and must not block.
	OnReply func(peer string, r Reply)
}

// Client opens connections to upstreams through peers. It is safe for concurrent use.
type Client struct {
	o ClientOptions
	// askPeer is ask; tests replace it.
	askPeer func(ctx context.Context, peer, upstream string) dialed

	// searches limits the peers that are asked beyond alwaysAsked.
	searches *rate.Limiter

	mu sync.Mutex
	// avoided are the peers to ask last, by address, and refused those not to ask, with the time until then.
	avoided map[string]time.Time
	refused map[refusal]time.Time
}

// refusal identifies what a peer has no path to.
type refusal struct {
	peer     string
	upstream string // empty for all upstreams
}

// NewClient returns a client without connections.
func NewClient(o ClientOptions) *Client {
	if o.OnReply == nil {
		o.OnReply = func(string, Reply) {}
	}
	c := &Client{o: o, searches: rate.NewLimiter(searchesPerSecond, searchesPerSecond), avoided: map[string]time.Time{}, refused: map[refusal]time.Time{}}
	c.askPeer = c.ask
	return c
}

// Dial opens a connection to an upstream through a peer. It asks the next peer when one refuses or doesn't
// reply soon, and more of them at once the more have refused. It blocks until a connection is established, no
// peer is left, or ctx ends. The error wraps ErrUpstreamUnreachable if a peer said so, and ErrNoRelay
// otherwise; it names the peers and their replies. It wraps syscall.ECONNREFUSED too if all peers that said so were
// refused the connection.
func (c *Client) Dial(ctx context.Context, upstream string) (net.Conn, error) {
	s := &search{client: c, upstream: upstream, peers: c.candidates(time.Now(), upstream), parallel: 1}
	s.results = make(chan dialed, len(s.peers))
	slow := time.NewTicker(nextPeerAfter)
	defer slow.Stop()
	for s.askNext(ctx); s.ended < s.started; s.askNext(ctx) {
		select {
		case <-slow.C:
			s.widen()
		case <-ctx.Done():
			go discard(s.results, s.started-s.ended)
			return nil, s.failure(ctx.Err())
		case d := <-s.results:
			s.ended++
			if d.reply == Established {
				go discard(s.results, s.started-s.ended)
				return d.conn, nil
			}
			s.record(d)
		}
	}
	return nil, s.failure(nil)
}

// search is the search for a peer that relays one connection.
type search struct {
	client   *Client
	upstream string
	peers    []string // to ask, in order
	results  chan dialed
	// started and ended are the numbers of peers that were asked and that have replied, or won't.
	started, ended int
	// parallel is how many may be asked at the same time.
	parallel int
	// unreachable and unknown are how many said so of the upstream, and refused how many of the former were
	// refused a connection.
	unreachable, unknown, refused int
	replies                       []string
}

// askNext asks as many of the next peers as may be asked now.
func (s *search) askNext(ctx context.Context) {
	for s.started < len(s.peers) && s.started-s.ended < s.parallel && !s.isDecided() {
		if s.started >= alwaysAsked && !s.client.searches.Allow() {
			return
		}
		peer := s.peers[s.started]
		go func() { s.results <- s.client.dialThrough(ctx, peer, s.upstream) }()
		s.started++
	}
}

// isDecided reports whether enough peers agree about the upstream.
func (s *search) isDecided() bool {
	return s.unreachable >= maxAboutUpstream || s.unknown >= maxAboutUpstream
}

func (s *search) widen() { s.parallel = min(s.parallel+1, maxParallel) }

// record records a refusal.
func (s *search) record(d dialed) {
	s.replies = append(s.replies, d.peer+" "+string(d.reply))
	switch d.reply {
	case Unreachable:
		s.unreachable++
	case Refused:
		s.unreachable++
		s.refused++
	case Unknown:
		s.unknown++
	default:
		s.widen()
	}
}

// failure returns the error of a search that has found no peer, or was ended by cause.
func (s *search) failure(cause error) error {
	failed := ErrNoRelay
	switch {
	case s.refused > 0 && s.refused == s.unreachable && cause == nil: // otherwise a peer that wasn't asked might reach it
		failed = errRefused
	case s.unreachable > 0:
		failed = ErrUpstreamUnreachable
	}
	asked := cmp.Or(strings.Join(s.replies, ", "), "none")
	if cause != nil {
		return fmt.Errorf("%w: %w; peers asked: %s", failed, cause, asked)
	}
	return fmt.Errorf("%w: peers asked: %s", failed, asked)
}

// dialed is the result of asking one peer. Its conn is set if the reply is Established.
type dialed struct {
	peer  string
	reply Reply
	conn  net.Conn
}

// discard closes the connections among the next n results.
func discard(results <-chan dialed, n int) {
	for range n {
		if d := <-results; d.conn != nil {
			_ = d.conn.Close() // unused
		}
	}
}

// candidates returns the peers to ask: without those that lately said that they have no path, and those that
// didn't reply or were busy last.
func (c *Client) candidates(now time.Time, upstream string) []string {
	var first, last []string
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.avoided, func(_ string, until time.Time) bool { return !now.Before(until) })
	maps.DeleteFunc(c.refused, func(_ refusal, until time.Time) bool { return !now.Before(until) })
	for _, peer := range c.o.Peers(upstream) {
		_, isolated := c.refused[refusal{peer: peer}]
		_, noPath := c.refused[refusal{peer: peer, upstream: upstream}]
		_, avoided := c.avoided[peer]
		switch {
		case isolated || noPath:
		case avoided:
			last = append(last, peer)
		default:
			first = append(first, peer)
		}
	}
	return append(first, last...)
}

// dialThrough opens a connection to an upstream through one peer, and remembers why the peer refused.
func (c *Client) dialThrough(ctx context.Context, peer, upstream string) dialed {
	d := c.askPeer(ctx, peer, upstream)
	if d.reply == NoReply && ctx.Err() != nil {
		return d // given up
	}
	c.remember(time.Now(), d, upstream)
	c.o.OnReply(peer, d.reply)
	return d
}

func (c *Client) remember(now time.Time, d dialed, upstream string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch d.reply {
	case NoReply:
		c.avoided[d.peer] = now.Add(avoidFor)
	case Busy:
		c.avoided[d.peer] = now.Add(busyFor)
	case Isolated:
		c.refused[refusal{peer: d.peer}] = now.Add(refusedFor)
	case NoPath:
		c.refused[refusal{peer: d.peer, upstream: upstream}] = now.Add(refusedFor)
	}
}

// ask asks one peer for a connection to an upstream.
func (c *Client) ask(ctx context.Context, peer, upstream string) dialed {
	dialCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var raw *frameConn
	transport := &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: exchange.MaxHeadBytes, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		toPeer, err := c.o.Dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		raw = newFrameConn(toPeer)
		return raw, nil
	}}
	target := "ws://" + peer + Path + "?" + url.Values{upstreamParameter: {upstream}}.Encode()
	conn, response, err := websocket.Dial(dialCtx, target, &websocket.DialOptions{HTTPClient: &http.Client{Transport: exchange.Strict(transport)}, CompressionMode: websocket.CompressionDisabled})
	switch {
	case err == nil:
		raw.framed = true
		return dialed{peer: peer, reply: Established, conn: &relayedConn{Conn: websocket.NetConn(context.Background(), conn, websocket.MessageBinary), socket: conn, raw: raw, usable: func() bool { return c.o.Usable(peer) }}}
	case response != nil:
		return dialed{peer: peer, reply: replyOf(response)}
	default:
		return dialed{peer: peer, reply: NoReply}
	}
}

// relayedConn is a connection to an upstream through a peer.
type relayedConn struct {
	net.Conn
	socket *websocket.Conn
	raw    *frameConn // to the peer
	read   int64      // bytes
	usable func() bool
}

// IsUsable reports whether the connection may be used for a further request: neither its end nor bytes that weren't read
// have come with the last ones that were. It must not be called during a Read.
func (c *relayedConn) IsUsable() bool { return !c.raw.hasUnread(c.read) && c.usable() }

// IsRelayed reports whether a connection goes through a peer.
func IsRelayed(c net.Conn) bool {
	_, ok := c.(*relayedConn)
	return ok
}

// Read implements net.Conn. It returns io.EOF only if the upstream has ended the connection in order.
func (c *relayedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.read += int64(n)
	return n, endOf(err)
}

// Write implements net.Conn. After an error it reports that a byte was written, since a part of b may
// have reached the upstream.
func (c *relayedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if err != nil {
		n = min(1, len(b))
	}
	return n, endOf(err)
}

// endOf returns the error of a connection from that of its WebSocket.
func endOf(err error) error {
	switch {
	case err == nil, err == io.EOF, errors.Is(err, context.DeadlineExceeded): //nolint:errorlint // NetConn returns io.EOF bare after StatusNormalClosure, and wrapped if the peer was lost
		return err
	case websocket.CloseStatus(err) == statusUpstreamBroken:
		return errUpstreamBroken
	default:
		return fmt.Errorf("%w: %v", ErrLost, err) // the cause may be io.EOF, which would look like the end of a response
	}
}

// Close implements net.Conn. The peer then ends the connection to the upstream.
func (c *relayedConn) Close() error { return c.socket.CloseNow() }

// SetLinger sets what Close does with bytes that were not sent, as net.TCPConn does.
func (c *relayedConn) SetLinger(seconds int) error {
	if t, ok := c.raw.Conn.(*net.TCPConn); ok {
		return t.SetLinger(seconds)
	}
	return nil
}

// SyscallConn implements syscall.Conn with the connection to the peer, so that its end shows while it is
// idle.
func (c *relayedConn) SyscallConn() (syscall.RawConn, error) {
	if s, ok := c.raw.Conn.(syscall.Conn); ok {
		return s.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}
