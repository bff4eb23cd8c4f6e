package relay

import (
	"io"
	"net"
	"testing"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/tcp"
)

// uploadTries is how often a reset meets an upload: which call learns of it isn't determined.
const uploadTries = 8

// Guards against a response until close that looks complete to the peer, or is lost, since the writing of a long request
// met the end of the upstream's connection first.
func TestEndOfRelayedConnectionDuringAnUpload(t *testing.T) {
	for name, test := range map[string]struct {
		end      func(upstream net.Conn)
		complete bool
	}{
		"reset":                   {reset, false},
		"close with unread bytes": {func(upstream net.Conn) { _ = upstream.Close() }, false},
		"orderly end":             {func(upstream net.Conn) { _ = upstream.(*net.TCPConn).CloseWrite() }, true},
		"orderly end, then reset": {func(upstream net.Conn) { _ = upstream.(*net.TCPConn).CloseWrite(); reset(upstream) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for range uploadTries {
				conn, upstream := newPair(t).dial(t)
				written := make(chan struct{})
				go func() {
					defer close(written)
					for chunk := make([]byte, 1<<14); ; {
						if _, err := conn.Write(chunk); err != nil {
							return // the connection has ended
						}
					}
				}()
				is.NoErr(tcp.AwaitUnread(upstream.(*net.TCPConn)))
				_, err := io.WriteString(upstream, "part")
				is.NoErr(err)
				_, err = io.ReadFull(conn, make([]byte, 2))
				is.NoErr(err)
				test.end(upstream)
				body, err := io.ReadAll(conn)
				if test.complete {
					is.NoErr(err)
					is.Equal(string(body), "rt")
				} else {
					is.True(err != nil)
				}
				_ = conn.Close() // the test is done
				<-written
			}
		})
	}
}
