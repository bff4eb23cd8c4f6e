package exchange

import (
	"context"
	"errors"
	"fmt"

	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/tacktally/tacktally/internal/keepalive"
)

const (
	// defaultIdleTimeout is how long a connection is kept idle if the upstream announces no
	// timeout. It is short, since the upstream's own timeout is unknown.
	defaultIdleTimeout = 2 * time.Second
	// maxIdleTimeout bounds an announced timeout.
	maxIdleTimeout = 20 * time.Second
	// idleTimeoutShare is the share of the upstream's announced timeout that is used, so that a
	// request doesn't coincide with the upstream's close.
	idleTimeoutShare = 0.6
)

// Pool keeps the connections to one upstream. It is safe for concurrent use.
type Pool struct {
	dial       DialFunc
	skipIdle   func(net.Conn) bool
	onResponse func(net.Conn)
	onBroken   func(net.Conn)
	open       atomic.Int32

	mu    sync.Mutex
	idle  []*conn // most recently used last
	ended bool
}

// DialFunc opens a connection. It blocks until the connection is established, has failed, or ctx
// ends.
type DialFunc func(ctx context.Context) (net.Conn, error)

// Options configure a Pool.
type Options struct {
	// Address of the upstream, IP:port.
	Address string
	// ConnectTimeout bounds the time to establish a connection to Address.
	ConnectTimeout time.Duration
	// Dial opens a connection to the upstream, in place of Address and ConnectTimeout; may be nil.
	Dial DialFunc
	// SkipIdle reports whether an idle connection isn't to be used at present. It may be nil.
	SkipIdle func(net.Conn) bool
	// OnResponse is called with the connection when the head of a response has arrived, and OnBroken
	// when a connection has failed after a request was sent, unless the caller had cancelled it. Both may
	// be nil and must not block.
	OnResponse, OnBroken func(net.Conn)
}

// NewPool returns a pool without connections.
func NewPool(o Options) *Pool {
	if o.Dial == nil {
		dial := Dialer(nil)
		o.Dial = func(ctx context.Context) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, o.ConnectTimeout)
			defer cancel()
			return dial(ctx, o.Address)
		}
	}
	p := &Pool{dial: o.Dial, skipIdle: o.SkipIdle, onResponse: o.OnResponse, onBroken: o.OnBroken}
	if p.skipIdle == nil {
		p.skipIdle = func(net.Conn) bool { return false }
	}
	if p.onResponse == nil {
		p.onResponse = func(net.Conn) {}
	}
	if p.onBroken == nil {
		p.onBroken = func(net.Conn) {}
	}
	return p
}

// Dialer returns a function that opens TCP connections. localIP is their source address; nil leaves
// it to the kernel.
func Dialer(localIP net.IP) func(ctx context.Context, address string) (net.Conn, error) {
	d := &net.Dialer{KeepAliveConfig: keepalive.Config(), Control: keepalive.Control}
	if localIP != nil {
		d.LocalAddr = &net.TCPAddr{IP: localIP}
	}
	return func(ctx context.Context, address string) (net.Conn, error) { return d.DialContext(ctx, "tcp", address) }
}

// Do makes one exchange and returns the head of the response. It blocks until the head has arrived.
// Cancelling ctx aborts the exchange, also while the body is read.
func (p *Pool) Do(ctx context.Context, r *Request) (*Response, error) {
	c := p.takeIdle()
	if c == nil {
		var err error
		if c, err = p.newConn(ctx); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
	}
	return c.do(ctx, r)
}

// CheckConnection opens a connection and closes it. It blocks for at most the connection timeout.
func (p *Pool) CheckConnection(ctx context.Context) error {
	c, err := p.newConn(ctx)
	if err == nil {
		c.close()
	}
	return err
}

// OpenConnections returns how many connections are open.
func (p *Pool) OpenConnections() int { return int(p.open.Load()) }

// Close closes the idle connections. From then on connections are closed after their exchange.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.ended = true
	p.mu.Unlock()
	for _, c := range idle {
		c.close()
	}
}

// CloseExpired closes the connections whose idle timeout has passed, and idle ones that can't be used any more.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	remaining := p.idle[:0]
	var expired []*conn
	for _, c := range p.idle {
		if now.Before(c.expires) && isUsable(c.net) {
			remaining = append(remaining, c)
		} else {
			expired = append(expired, c)
		}
	}
	p.idle = remaining
	p.mu.Unlock()
	for _, c := range expired {
		c.close()
	}
}

// takeIdle returns an idle connection that is still usable, or nil.
func (p *Pool) takeIdle() *conn {
	for {
		c := p.popIdle()
		if c == nil {
			return nil
		}
		if time.Now().Before(c.expires) && isStillIdle(c.net) {
			c.used = true
			return c
		}
		c.close()
	}
}

// popIdle removes and returns the most recently used idle connection that isn't skipped, or nil.
func (p *Pool) popIdle() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for n, c := range slices.Backward(p.idle) {
		if !p.skipIdle(c.net) {
			p.idle = slices.Delete(p.idle, n, n+1)
			return c
		}
	}
	return nil
}

// newConn opens a connection.
func (p *Pool) newConn(ctx context.Context) (*conn, error) {
	n, err := p.dial(ctx)
	if err != nil {
		return nil, err
	}
	p.open.Add(1)
	return newConnOn(n, p), nil
}

func (p *Pool) connClosed() { p.open.Add(-1) }

// keep returns a connection to the pool for the next exchange.
func (c *conn) keep(h http.Header) {
	c.expires = time.Now().Add(idleTimeout(h))
	p := c.pool
	p.mu.Lock()
	if !p.ended {
		p.idle = append(p.idle, c)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	c.close()
}

// idleTimeout returns how long a connection may stay idle, from the upstream's Keep-Alive header.
func idleTimeout(h http.Header) time.Duration {
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		seconds, err := strconv.Atoi(text)
		if err != nil {
			return defaultIdleTimeout // not a number: treated as if it were absent
		}
		return min(time.Duration(idleTimeoutShare*float64(seconds)*float64(time.Second)), maxIdleTimeout)
	}
	return defaultIdleTimeout
}

// isUsable returns what the IsUsable method of an idle connection does; true if it has none.
func isUsable(n net.Conn) bool {
	u, ok := n.(interface{ IsUsable() bool })
	return !ok || u.IsUsable()
}

// isStillIdle reports whether neither data nor EOF has arrived on an idle connection, and it is usable.
func isStillIdle(n net.Conn) bool {
	if !isUsable(n) {
		return false
	}
	t, ok := n.(syscall.Conn)
	if !ok {
		return true // a connection of a test
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true // never block
	})
	return quiet && err == nil
}
