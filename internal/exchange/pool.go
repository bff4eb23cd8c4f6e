package exchange

import (
	"context"
	"errors"
	"fmt"

	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/tacktally/tacktally/internal/keepalive"
)

const (
	// defaultIdle is how long a connection is kept idle when the upstream doesn't
	// say. Short, since nothing tells how long the upstream keeps it.
	defaultIdle = 2 * time.Second
	// maxIdle bounds it when the upstream does.
	maxIdle = 20 * time.Second
	// idleShare is the part of the upstream's own idle time that is used, so that
	// a request doesn't cross its closing.
	idleShare = 0.6
)

// Pool keeps the connections to one upstream. Safe for concurrent use.
type Pool struct {
	address string
	dialer  *net.Dialer
	timeout time.Duration // of making a connection
	opened  func()        // called for each connection made
	open    atomic.Int32

	mu    sync.Mutex
	idle  []*conn // the last used at the end
	ended bool
}

// Options of a Pool.
type Options struct {
	// Address of the upstream, IP:port.
	Address string
	// LocalIP is the IP number that connections come from; nil leaves it to the kernel.
	LocalIP net.IP
	// ConnectTimeout bounds the making of a connection.
	ConnectTimeout time.Duration
	// OnOpen is called for each connection made. May be nil.
	OnOpen func()
}

// NewPool returns a pool without connections.
func NewPool(o Options) *Pool {
	d := &net.Dialer{KeepAliveConfig: keepalive.Config(), Control: keepalive.Control}
	if o.LocalIP != nil {
		d.LocalAddr = &net.TCPAddr{IP: o.LocalIP}
	}
	return &Pool{address: o.Address, dialer: d, timeout: o.ConnectTimeout, opened: o.OnOpen}
}

// Do makes one exchange and returns the head of the answer. It blocks until then.
// The end of ctx breaks the exchange off, also while the body is read.
func (p *Pool) Do(ctx context.Context, r *Request) (*Response, error) {
	c := p.take()
	if c == nil {
		var err error
		if c, err = p.dial(ctx); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
	}
	return c.do(ctx, r)
}

// CheckConnection makes a connection and closes it. It blocks for the time of making one at most.
func (p *Pool) CheckConnection(ctx context.Context) error {
	c, err := p.dial(ctx)
	if err == nil {
		c.close()
	}
	return err
}

// OpenConnections returns how many connections are open.
func (p *Pool) OpenConnections() int { return int(p.open.Load()) }

// Close closes the idle connections and keeps none any more.
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

// CloseExpired closes connections that were idle for too long.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	kept := p.idle[:0]
	var expired []*conn
	for _, c := range p.idle {
		if now.Before(c.expires) {
			kept = append(kept, c)
		} else {
			expired = append(expired, c)
		}
	}
	p.idle = kept
	p.mu.Unlock()
	for _, c := range expired {
		c.close()
	}
}

// take returns an idle connection on which nothing has come, or nil.
func (p *Pool) take() *conn {
	for {
		c := p.pop()
		if c == nil {
			return nil
		}
		if time.Now().Before(c.expires) && isQuiet(c.net) {
			c.used = true
			return c
		}
		c.close()
	}
}

func (p *Pool) pop() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	p.idle = p.idle[:n-1]
	return c
}

func (p *Pool) dial(ctx context.Context) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	n, err := p.dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	p.open.Add(1)
	if p.opened != nil {
		p.opened()
	}
	return &conn{net: n, reader: newReader(n), pool: p}, nil
}

func (p *Pool) closed() { p.open.Add(-1) }

// keep puts a connection back for the next exchange.
func (c *conn) keep(h http.Header) {
	c.expires = time.Now().Add(idleTime(h))
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

// idleTime is how long a connection may stay idle by the upstream's Keep-Alive.
func idleTime(h http.Header) time.Duration {
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		seconds, err := strconv.Atoi(text)
		if err != nil {
			return defaultIdle // no number: as if it had said nothing
		}
		return min(time.Duration(idleShare*float64(seconds)*float64(time.Second)), maxIdle)
	}
	return defaultIdle
}

// isQuiet tells whether neither bytes nor an end have come on an idle connection.
func isQuiet(n net.Conn) bool {
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
		return true // never wait
	})
	return quiet && err == nil
}
