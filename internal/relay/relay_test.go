package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// pair is a server, a client that uses it, and the upstream side of the connections that it relays.
type pair struct {
	server   *Server
	http     *httptest.Server
	client   *Client
	upstream chan net.Conn // accepted connections
	dialErr  error
	usable   bool
}

func newPair(t *testing.T) *pair {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &pair{upstream: make(chan net.Conn, 9), usable: true}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return // the test has ended
			}
			p.upstream <- c
		}
	}()
	p.server = NewServer(ServerOptions{MaxConnections: 2, Dial: func(ctx context.Context, upstream string) (net.Conn, error) {
		if p.dialErr != nil {
			return nil, p.dialErr
		}
		var d net.Dialer
		return d.DialContext(ctx, "tcp", listener.Addr().String())
	}})
	mux := http.NewServeMux()
	mux.Handle(Path, p.server)
	p.http = httptest.NewServer(mux)
	address := strings.TrimPrefix(p.http.URL, "http://")
	p.client = NewClient(ClientOptions{
		Peers:  func(string) []string { return []string{address} },
		Usable: func(string) bool { return p.usable },
		Dialer: &net.Dialer{},
	})
	t.Cleanup(func() {
		_ = listener.Close()
		p.server.Drain(ended())
		p.http.Close()
	})
	return p
}

func ended() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// dial opens a relayed connection and returns both of its ends.
func (p *pair) dial(t *testing.T) (conn, upstream net.Conn) {
	t.Helper()
	conn, err := p.client.Dial(context.Background(), "i-1")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	upstream = <-p.upstream
	t.Cleanup(func() { _ = upstream.Close() })
	return conn, upstream
}

func TestBytesAreRelayedInBothDirections(t *testing.T) {
	is := is.New(t)
	conn, upstream := newPair(t).dial(t)
	body := strings.Repeat("request ", 100_000)
	go func() { _, _ = io.WriteString(conn, body) }()
	got := make([]byte, len(body))
	_, err := io.ReadFull(upstream, got)
	is.NoErr(err)
	is.Equal(string(got), body)
	_, err = io.WriteString(upstream, "event 1\n")
	is.NoErr(err)
	event := make([]byte, 8)
	_, err = io.ReadFull(conn, event)
	is.NoErr(err)
	is.Equal(string(event), "event 1\n")
	is.True(IsRelayed(conn))
}

// A response without a length ends with its connection. One whose connection broke must not look
// complete, whichever part of the way broke.
func TestEndOfRelayedConnection(t *testing.T) {
	for name, test := range map[string]struct {
		end  func(p *pair, upstream net.Conn)
		want error
	}{
		"closed by the upstream": {func(_ *pair, upstream net.Conn) { _ = upstream.Close() }, io.EOF},
		"reset by the upstream":  {func(_ *pair, upstream net.Conn) { reset(upstream) }, errUpstreamBroken},
		"relay gone":             {func(p *pair, _ net.Conn) { p.server.Drain(ended()) }, ErrLost},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newPair(t)
			conn, upstream := p.dial(t)
			_, err := io.WriteString(upstream, "part")
			is.NoErr(err)
			_, err = io.ReadFull(conn, make([]byte, 4))
			is.NoErr(err)
			test.end(p, upstream)
			_, err = conn.Read(make([]byte, 1))
			is.True(errors.Is(err, test.want))
			is.Equal(errors.Is(err, io.EOF), test.want == io.EOF)
		})
	}
}

// Guards against bytes that are lost at the end of a connection whose caller reads later than its upstream sends, where the
// end looks like one in order.
func TestNoByteIsMissingBeforeAnOrderlyEnd(t *testing.T) {
	sent := strings.Repeat("0123456789abcdef", 1<<18) // more than the sockets hold
	for name, test := range map[string]struct {
		end     func(p *pair, upstream net.Conn)
		inOrder bool
	}{
		"closed by the upstream":      {func(_ *pair, upstream net.Conn) { _ = upstream.Close() }, true},
		"half-closed by the upstream": {func(_ *pair, upstream net.Conn) { _ = upstream.(*net.TCPConn).CloseWrite() }, true},
		"reset by the upstream":       {func(_ *pair, upstream net.Conn) { reset(upstream) }, false},
		"relay gone":                  {func(p *pair, _ net.Conn) { p.server.Drain(ended()) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newPair(t)
			conn, upstream := p.dial(t)
			go func() { // blocks until the caller reads, unless the connection ends before
				_, _ = io.WriteString(upstream, sent)
				if test.inOrder {
					test.end(p, upstream)
				}
			}()
			half := make([]byte, len(sent)/2)
			_, err := io.ReadFull(conn, half)
			is.NoErr(err)
			if !test.inOrder {
				test.end(p, upstream)
			}
			rest, err := io.ReadAll(conn)
			is.True(strings.HasPrefix(sent, string(half)+string(rest)))
			if test.inOrder {
				is.NoErr(err)
				is.Equal(len(half)+len(rest), len(sent))
			} else {
				is.True(err != nil && !errors.Is(err, io.EOF))
			}
		})
	}
}

// The upstream must not go on with a request whose caller has left.
func TestCloseReachesTheUpstream(t *testing.T) {
	is := is.New(t)
	conn, upstream := newPair(t).dial(t)
	_, err := io.WriteString(conn, "GET")
	is.NoErr(err)
	_, err = io.ReadFull(upstream, make([]byte, 3))
	is.NoErr(err)
	_ = conn.Close()
	_, err = upstream.Read(make([]byte, 1))
	is.True(err != nil)
}

// Guards against a terminated upstream that isn't known as such, and one that lives and is taken for terminated: it
// refuses connections only if each peer that can judge it says so, and such a peer reaches others.
func TestRefusalByTheUpstreamIsTold(t *testing.T) {
	refused := &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	for name, test := range map[string]struct {
		dialErrs []error // of the peers, in order
		refused  bool
	}{
		"one peer, refused":                      {[]error{refused}, true},
		"one peer, silent":                       {[]error{errors.New("time-out")}, false},
		"one peer that reaches none":             {[]error{fmt.Errorf("%w: %w", ErrNoPath, refused)}, false},
		"one peer that is isolated":              {[]error{fmt.Errorf("%w: %w", ErrIsolated, refused)}, false},
		"two peers, refused":                     {[]error{refused, refused}, true},
		"two peers, one refused and one silent":  {[]error{refused, errors.New("time-out")}, false},
		"two peers, one refused and one no path": {[]error{refused, ErrNoPath}, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var peers []string
			var last *pair
			for _, err := range test.dialErrs {
				last = newPair(t)
				last.dialErr = err
				peers = append(peers, last.client.o.Peers("")[0])
			}
			last.client.o.Peers = func(string) []string { return peers }
			_, err := last.client.Dial(context.Background(), "i-1")
			is.True(err != nil)
			is.Equal(errors.Is(err, syscall.ECONNREFUSED), test.refused)
			is.True(!test.refused || errors.Is(err, ErrUpstreamUnreachable))
		})
	}
}

// What a failed dial says about the upstream depends on what the peer knows.
func TestRefusals(t *testing.T) {
	for name, test := range map[string]struct{ dialErr, want error }{
		"upstream unreachable": {errors.New("refused"), ErrUpstreamUnreachable},
		"upstream unknown":     {ErrUnknownUpstream, ErrNoRelay},
		"peer without path":    {ErrNoPath, ErrNoRelay},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newPair(t)
			p.dialErr = test.dialErr
			_, err := p.client.Dial(context.Background(), "i-1")
			is.True(errors.Is(err, test.want))
		})
	}
}

func TestNoMoreThanMaxConnectionsAreRelayed(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	p.dial(t)
	p.dial(t)
	is.Equal(p.server.Connections(), 2)
	_, err := p.client.Dial(context.Background(), "i-1")
	is.True(errors.Is(err, ErrNoRelay))
}

// A peer that is shutting down completes what it carries, and carries nothing new.
func TestDrainWaitsForConnectionsInUse(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	conn, upstream := p.dial(t)
	drained := make(chan struct{})
	go func() {
		p.server.Drain(context.Background())
		close(drained)
	}()
	for { // until it drains
		c, err := p.client.Dial(context.Background(), "i-1")
		if err != nil {
			break
		}
		_ = c.Close()
	}
	_, err := io.WriteString(upstream, "last")
	is.NoErr(err)
	_, err = io.ReadFull(conn, make([]byte, 4))
	is.NoErr(err)
	select {
	case <-drained:
		t.Error("drained while a connection was in use")
	default:
	}
	_ = conn.Close()
	<-drained
	is.Equal(p.server.Connections(), 0)
}

// An instance doesn't wait for a peer that is gone, and asks the next one.
func TestNextPeerIsAsked(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	gone, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	_ = gone.Close()
	working := p.client.o.Peers("")[0]
	p.client.o.Peers = func(string) []string { return []string{gone.Addr().String(), working} }
	conn, err := p.client.Dial(context.Background(), "i-1")
	is.NoErr(err)
	_ = conn.Close()
	is.Equal(p.client.candidates(time.Now(), "i-1")[0], working) // the other one is asked last for a while
	p.client.o.Peers = func(string) []string { return nil }
	p.client.candidates(time.Now().Add(avoidFor), "i-1")
	is.Equal(len(p.client.avoided), 0) // also of a peer that is no longer known
}

// One peer that can't reach the upstream doesn't show that it is down, as long as another one reaches it.
func TestPeerThatReachesTheUpstreamWins(t *testing.T) {
	is := is.New(t)
	cut, working := newPair(t), newPair(t)
	cut.dialErr = errors.New("refused")
	peers := []string{cut.client.o.Peers("")[0], working.client.o.Peers("")[0]}
	cut.client.o.Peers = func(string) []string { return peers }
	conn, err := cut.client.Dial(context.Background(), "i-1")
	is.NoErr(err)
	_ = conn.Close()
	peers = peers[:1]
	_, err = cut.client.Dial(context.Background(), "i-1")
	is.True(errors.Is(err, ErrUpstreamUnreachable))
}
