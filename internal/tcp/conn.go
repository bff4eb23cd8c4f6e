// Package tcp lets the reader of a connection know of a failure that its writer has met.
//
// A kernel reports the failure of a connection, such as a reset, to one call only: the first read or write after it. If that
// is a write, a read that waits beside it returns io.EOF, as after an orderly end.
package tcp

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// Conn is a connection whose Read returns io.EOF only after an orderly end. One goroutine may read and another one write at
// the same time.
type Conn struct {
	net.Conn

	writing sync.Mutex // held during Write
	mu      sync.Mutex
	failure error // nil if none is known
}

// NewConn returns c with the failures of its writes reported to its reader..
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// DialFunc opens a connection, as net.Dialer's DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a function that opens a Conn with dial.
func Dial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == nil {
		return n, nil
	}
	c.record(err)
	if errors.Is(err, io.EOF) {
		return n, c.awaitEnd()
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	c.record(err)
	return n, err
}

// awaitEnd returns the failure of the connection whose stream has ended, or io.EOF. A Write that has met the failure returns
// it; one that still waits for the peer hasn't met any, and is ended.
func (c *Conn) awaitEnd() error {
	if !c.writing.TryLock() {
		_ = c.Conn.SetWriteDeadline(time.Unix(1, 0)) // on a closed connection no Write waits
		c.writing.Lock()
	}
	defer c.writing.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failure != nil {
		return c.failure
	}
	return io.EOF
}

// record records the first failure. EPIPE is none: it follows an orderly end, or a failure that was reported before.
func (c *Conn) record(err error) {
	var errno syscall.Errno
	if !errors.As(err, &errno) || errno == syscall.EPIPE {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failure == nil {
		c.failure = err
	}
}
