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
)

// Errors of a Client and its connections.
var (
	// ErrNoRelay means that no peer could relay: it says nothing about the upstream.
	ErrNoRelay = errors.New("no peer can relay to the upstream")
	// ErrUpstreamUnreachable means that a peer that reaches other upstreams can't reach this one.
	ErrUpstreamUnreachable = errors.New("a peer can't reach the upstream either")
	// ErrLost means that a relayed connection ended because of the relaying peer or the path to it.
	ErrLost = errors.New("the relaying peer was lost")
	// errUpstreamBroken means that the upstream has reset a relayed connection.
	errUpstreamBroken = errors.New("the upstream broke the connection")
)

const (
	// maxPeers is how many peers are asked for one connection, and nextPeerAfter how long one may take
	// before the next is asked as well.
	maxPeers      = 3
	nextPeerAfter = 40 * time.Millisecond
	// peerTimeout bounds how long one peer may take: its processor may be throttled for 100 ms.
	peerTimeout = 150 * time.Millisecond
	// avoidFor is how long a peer that didn't reply is asked last.
	avoidFor = time.Second
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

	mu     sync.Mutex
	silent map[string]time.Time // when a peer didn't reply, by address
}

// NewClient returns a client without connections.
func NewClient(o ClientOptions) *Client {
	if o.OnReply == nil {
		o.OnReply = func(string, Reply) {}
	}
	return &Client{o: o, silent: map[string]time.Time{}}
}

// Dial opens a connection to an upstream through a peer. It asks the next peer when one refuses or doesn't
// reply soon, and blocks until a connection is established, no peer is left, or ctx ends. The error wraps
// ErrUpstreamUnreachable if a peer said so, and ErrNoRelay otherwise; it names the peers and their replies.
func (c *Client) Dial(ctx context.Context, upstream string) (net.Conn, error) {
	peers := c.candidates(time.Now(), upstream)
	peers = peers[:min(len(peers), maxPeers)]
	results := make(chan dialed, len(peers))
	next := time.NewTimer(0)
	defer next.Stop()
	failed := ErrNoRelay
	var replies []string
	for started, ended := 0, 0; ended < len(peers); {
		select {
		case <-next.C:
			if started < len(peers) {
				peer := peers[started]
				go func() { results <- c.dialThrough(ctx, peer, upstream) }()
				started++
				next.Reset(nextPeerAfter)
			}
		case d := <-results:
			ended++
			if d.reply == Established {
				go discard(results, started-ended)
				return d.conn, nil
			}
			if d.reply == Unreachable {
				failed = ErrUpstreamUnreachable
			}
			replies = append(replies, d.peer+" "+string(d.reply))
			next.Reset(0)
		}
	}
	return nil, fmt.Errorf("%w: peers asked: %s", failed, cmp.Or(strings.Join(replies, ", "), "none"))
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

// candidates returns the peers to ask, those that didn't reply lately last.
func (c *Client) candidates(now time.Time, upstream string) []string {
	var first, last []string
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.silent, func(_ string, since time.Time) bool { return now.Sub(since) >= avoidFor })
	for _, peer := range c.o.Peers(upstream) {
		if _, silent := c.silent[peer]; silent {
			last = append(last, peer)
		} else {
			first = append(first, peer)
		}
	}
	return append(first, last...)
}

// dialThrough opens a connection to an upstream through one peer.
func (c *Client) dialThrough(ctx context.Context, peer, upstream string) dialed {
	d := c.ask(ctx, peer, upstream)
	if d.reply == NoReply && ctx.Err() == nil {
		c.mu.Lock()
		c.silent[peer] = time.Now()
		c.mu.Unlock()
	}
	if d.reply != NoReply || ctx.Err() == nil {
		c.o.OnReply(peer, d.reply)
	}
	return d
}

// ask asks one peer for a connection to an upstream.
func (c *Client) ask(ctx context.Context, peer, upstream string) dialed {
	dialCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var raw net.Conn
	transport := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		var err error
		raw, err = c.o.Dialer.DialContext(ctx, network, address)
		return raw, err
	}}
	target := "ws://" + peer + Path + "?" + url.Values{upstreamParameter: {upstream}}.Encode()
	conn, response, err := websocket.Dial(dialCtx, target, &websocket.DialOptions{HTTPClient: &http.Client{Transport: transport}, CompressionMode: websocket.CompressionDisabled})
	switch {
	case err == nil:
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
	raw    net.Conn // to the peer
	usable func() bool
}

// IsUsable reports whether the connection may be used for a further request.
func (c *relayedConn) IsUsable() bool { return c.usable() }

// IsRelayed reports whether a connection goes through a peer.
func IsRelayed(c net.Conn) bool {
	_, ok := c.(*relayedConn)
	return ok
}

// Read implements net.Conn. It returns io.EOF only if the upstream has ended the connection in order.
func (c *relayedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
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
	if t, ok := c.raw.(*net.TCPConn); ok {
		return t.SetLinger(seconds)
	}
	return nil
}

// SyscallConn implements syscall.Conn with the connection to the peer, so that its end shows while it is
// idle.
func (c *relayedConn) SyscallConn() (syscall.RawConn, error) {
	if s, ok := c.raw.(syscall.Conn); ok {
		return s.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}
