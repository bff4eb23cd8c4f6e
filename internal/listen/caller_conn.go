package listen

import (
	"context"
	"net"
)

// CallerConn is the connection on which a request came. Its zero value stands for an unknown one, which its
// methods leave as it is.
type CallerConn struct{ tcp tcpConn }

// tcpConn is what CallerConn uses of a *net.TCPConn.
type tcpConn interface {
	SetLinger(seconds int) error
	Close() error
}

// connKey is the context key of a CallerConn.
type connKey struct{}

// ConnContext makes the connection of a request known to CallerConnOf. It is a hook for
// http.Server.ConnContext.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	if secure, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = secure.NetConn()
	}
	tcp, ok := c.(tcpConn)
	if !ok {
		return ctx
	}
	return context.WithValue(ctx, connKey{}, CallerConn{tcp})
}

// CallerConnOf returns the connection on which the request with a context came.
func CallerConnOf(ctx context.Context) CallerConn {
	c, _ := ctx.Value(connKey{}).(CallerConn) // the zero value if the server has no ConnContext
	return c
}

// ResetOnClose makes the end of the connection a reset, also that by the end of this process.
func (c CallerConn) ResetOnClose() { c.setLinger(0) }

// CloseInOrder undoes ResetOnClose.
func (c CallerConn) CloseInOrder() { c.setLinger(-1) }

// Reset resets the connection. Over TLS, closing it would send an orderly end first.
func (c CallerConn) Reset() {
	c.ResetOnClose()
	if c.tcp != nil {
		_ = c.tcp.Close() // closed already
	}
}

func (c CallerConn) setLinger(seconds int) {
	if c.tcp != nil {
		_ = c.tcp.SetLinger(seconds) // fails if the caller has closed the connection
	}
}
