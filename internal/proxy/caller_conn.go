package proxy

import (
	"context"
	"net"
)

// connKey is the context key of the caller's connection.
type connKey struct{}

// ConnContext makes the caller's connection known to a Handler. The http.Server of the Handler must have
// it as its ConnContext.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Arguments of SetLinger.
const (
	lingerReset   = 0  // Close resets the connection
	lingerOrderly = -1 // Close sends what was written, and ends the connection in order
)

// setLinger sets what the end of the caller's connection does, also that by the end of this process.
func (j *job) setLinger(seconds int) {
	if c, ok := j.request.Context().Value(connKey{}).(interface{ SetLinger(seconds int) error }); ok {
		_ = c.SetLinger(seconds) // fails if the caller has closed the connection
	}
}
