package listen

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// LimitedListener bounds how many connections of callers are open, and still accepts new ones at the
// bound: the connection that has been idle for longest makes room. While all are at work, a
// new one is closed at once, unread, which tells its caller that nothing ran. An instance
// that stopped accepting would leave callers waiting though it says that it is ready.
//
// State is the ConnState hook of the http.Server that serves the listener. Safe for
// concurrent use.
type LimitedListener struct {
	net.Listener
	maxConns int
	// onRefused is called for each connection that is closed unread.
	onRefused func()

	mu   sync.Mutex
	open map[net.Conn]struct{}
	idle map[net.Conn]time.Time // since when nothing has been served on it
}

// NewLimitedListener bounds a listener to so many open connections.
func NewLimitedListener(l net.Listener, most int, refused func()) *LimitedListener {
	return &LimitedListener{Listener: l, maxConns: most, onRefused: refused, open: map[net.Conn]struct{}{}, idle: map[net.Conn]time.Time{}}
}

// Accept implements net.Listener.
func (c *LimitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := c.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c.admit(conn) {
			return conn, nil
		}
		c.onRefused()
		_ = conn.Close() // nothing was read
	}
}

// admit makes room for a connection, if it can.
func (c *LimitedListener) admit(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.open) >= c.maxConns && !c.closeIdle() {
		return false
	}
	c.open[conn] = struct{}{}
	c.idle[conn] = time.Now()
	return true
}

// closeIdle closes the connection that has been idle for longest, if there is one. The
// caller holds the lock.
func (c *LimitedListener) closeIdle() bool {
	var longest net.Conn
	for conn, since := range c.idle {
		if longest == nil || since.Before(c.idle[longest]) {
			longest = conn
		}
	}
	if longest == nil {
		return false
	}
	c.remove(longest)
	_ = longest.Close() // its caller sees the end
	return true
}

// remove drops a connection that has ended. The caller holds the lock.
func (c *LimitedListener) remove(conn net.Conn) {
	delete(c.open, conn)
	delete(c.idle, conn)
}

// ConnState notes what a connection does. It is for http.Server.ConnState.
func (c *LimitedListener) ConnState(conn net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.open[conn]; !ok {
		return // it made room
	}
	switch s {
	case http.StateActive:
		delete(c.idle, conn)
	case http.StateIdle:
		c.idle[conn] = time.Now()
	case http.StateClosed, http.StateHijacked:
		c.remove(conn)
	}
}
