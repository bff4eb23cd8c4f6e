package upstream

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// uploadBytes is more than the buffers of two sockets take.
	uploadBytes = 16 << 20
	// uploadTries is how often a reset meets an upload: which call learns of it isn't determined.
	uploadTries = 20
)

// Guards against a part of a response until close that is taken for the whole, since the reset of its connection was reported
// to the goroutine that writes a long request.
func TestResetDuringAnUploadTruncatesTheResponse(t *testing.T) {
	for name, nonIdempotent := range map[string]bool{"idempotent": false, "non-idempotent": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			u := listenRaw(t, func(_ *rawUpstream, _ int, c net.Conn, r *bufio.Reader) {
				_, _ = r.Peek(1)
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
				_ = c.(*net.TCPConn).SetLinger(0)
			})
			client := NewClient(time.Second)
			defer client.Close()
			request := service("POST", nonIdempotent)
			request.Body = make([]byte, uploadBytes)
			for range uploadTries {
				result, _ := do(t, client, u.listener.Addr().String(), request, allow)
				is.True(result.Status == Truncated || result.Status == Lost)
			}
		})
	}
}
