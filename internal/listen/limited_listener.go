package listen

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/tacktally/tacktally/internal/tcp"
)

// LimitedListener limits the number of open connections of callers. At the limit it still
// accepts a new connection, and closes the one that has been idle longest. A connection isn't idle
// once a part of its next request has arrived, read or not. If no connection is idle, the new one is
// closed at once without being read, which shows its caller that nothing ran. If the instance stopped
// accepting instead, callers would wait although it reports itself as ready.
//
// The http.Server that serves the listener must have ConnState as its ConnState hook. Safe for
// concurrent use.
type LimitedListener struct {
	net.Listener
	maxConns int
	// onRefused is called for each new connection that is closed without being read.
	onRefused func()
	// OnEvicted, if set, is called for each idle connection that is closed for a new one. It must not block,
	// and is set before the first connection.
	OnEvicted func()
	// Admit, if set, decides whether a new connection may stay open. Others are closed without being read, and
	// OnShed is called for each. Both must not block, and are set before the first connection.
	Admit  func() bool
	OnShed func()

	mu   sync.Mutex
	open map[net.Conn]struct{}
	idle map[net.Conn]time.Time // when each idle connection became idle
}

// NewLimitedListener returns a listener that limits l to maxConns open connections. Accept calls
// onRefused for each new connection that is closed without being read.
func NewLimitedListener(l net.Listener, maxConns int, onRefused func()) *LimitedListener {
	return &LimitedListener{Listener: l, maxConns: maxConns, onRefused: onRefused, open: map[net.Conn]struct{}{}, idle: map[net.Conn]time.Time{}}
}

// Accept implements net.Listener. It blocks until there is a connection that may stay open.
func (l *LimitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &limitedConn{Conn: conn, listener: l}
		switch {
		case l.Admit != nil && !l.Admit():
			l.OnShed()
		case l.admit(c):
			return c, nil
		default:
			l.onRefused()
		}
		_ = conn.Close() // nothing was read
	}
}

// OpenConnections returns how many accepted connections are open.
func (l *LimitedListener) OpenConnections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

// limitedConn is an accepted connection. net/http reports that it is active once the whole head of a request
// was read, so that it tells the listener of the first byte.
type limitedConn struct {
	net.Conn
	listener *LimitedListener
	reading  atomic.Bool // a request is being read, or runs
}

// Read implements net.Conn. On a TCP connection it marks the connection as active before it takes the first byte
// of a request, so that a connection that is closed for another one has nothing read of it.
func (c *limitedConn) Read(b []byte) (int, error) {
	if c.reading.Load() {
		return c.Conn.Read(b)
	}
	if conn, ok := c.Conn.(syscall.Conn); ok {
		if err := tcp.AwaitUnread(conn); err != nil {
			return 0, err
		}
		if !c.listener.markReading(c) {
			return 0, net.ErrClosed
		}
		return c.Conn.Read(b)
	}
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.listener.markReading(c)
	}
	return n, err
}

// SetLinger sets the linger option of a TCP connection, for CallerConn.
func (c *limitedConn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(tcpConn); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}

// admit adds a connection, after closing an idle one at the limit. It reports whether the
// connection may stay open.
func (l *LimitedListener) admit(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.open) >= l.maxConns && !l.closeIdle() {
		return false
	}
	l.open[conn] = struct{}{}
	l.idle[conn] = time.Now()
	return true
}

// closeIdle closes the connection that has been idle longest, and reports whether there was
// one. The caller must hold l.mu.
func (l *LimitedListener) closeIdle() bool {
	for {
		longest := l.longestIdle()
		switch {
		case longest == nil:
			return false
		case hasUnread(longest):
			delete(l.idle, longest) // its request will be read
		default:
			l.remove(longest)
			_ = longest.Close() // its caller sees the end of the connection
			if l.OnEvicted != nil {
				l.OnEvicted()
			}
			return true
		}
	}
}

// longestIdle returns the connection that has been idle longest, nil if there is none. The caller must hold l.mu.
func (l *LimitedListener) longestIdle() (longest net.Conn) {
	for conn, since := range l.idle {
		if longest == nil || since.Before(l.idle[longest]) {
			longest = conn
		}
	}
	return longest
}

// hasUnread reports whether bytes have arrived on a TCP connection that weren't read. It doesn't block.
func hasUnread(conn net.Conn) bool {
	c, ok := conn.(*limitedConn)
	if !ok {
		return false
	}
	tcp, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false // closed
	}
	unread := 0
	// Not raw.Read, which waits while net/http reads.
	err = raw.Control(func(fd uintptr) {
		unread, _, _ = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT) // fails if there is nothing
	})
	return err == nil && unread > 0
}

// remove removes a connection that has ended. The caller must hold l.mu.
func (l *LimitedListener) remove(conn net.Conn) {
	delete(l.open, conn)
	delete(l.idle, conn)
}

// CloseWrite closes the sending side of a TCP connection. net/http does so before it closes a connection whose
// request wasn't read completely, so that the response isn't lost to a reset.
func (c *limitedConn) CloseWrite() error {
	if tcp, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// markReading records that a request is being read from a connection. It returns false if the connection was closed
// for another one.
func (l *LimitedListener) markReading(c *limitedConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, open := l.open[c]; !open {
		return false
	}
	c.reading.Store(true)
	delete(l.idle, c)
	return true
}

// ConnState records the state of a connection. It is the hook for http.Server.ConnState.
func (l *LimitedListener) ConnState(conn net.Conn, s http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.open[conn]; !ok {
		return // closed to admit another connection
	}
	switch s {
	case http.StateActive:
		delete(l.idle, conn)
	case http.StateIdle:
		l.idle[conn] = time.Now()
		if c, ok := conn.(*limitedConn); ok {
			c.reading.Store(false)
		}
	case http.StateClosed, http.StateHijacked:
		l.remove(conn)
	}
}
