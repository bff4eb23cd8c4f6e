package upstream

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a head that isn't one and reaches the caller as the upstream's response.
func TestInvalidHeadsAreNoResponses(t *testing.T) {
	for name, c := range map[string]struct {
		raw  string
		want Status
	}{
		"status 000":                    {"HTTP/1.1 000 None\r\nContent-Length: 2\r\n\r\nok", InvalidResponse},
		"status 600":                    {"HTTP/1.1 600 Odd\r\nContent-Length: 2\r\n\r\nok", InvalidResponse},
		"blank in a name":               {"HTTP/1.1 200 OK\r\nNa me: value\r\nContent-Length: 2\r\n\r\nok", InvalidResponse},
		"blank in the name of a length": {"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok, and more", InvalidResponse},
		"blank in an encoding's name":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", InvalidResponse},
		"control byte in a name":        {"HTTP/1.1 200 OK\r\nNa\x02me: value\r\nContent-Length: 2\r\n\r\nok", Lost},
		"blank in an interim response":  {"HTTP/1.1 103 Early Hints\r\nLi nk: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", InvalidResponse},
		"blank in trailers":             {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nLa st: 1\r\n\r\n", Truncated},
	} {
		t.Run(name, func(t *testing.T) {
			for _, nonIdempotent := range []bool{false, true} {
				is := is.New(t)
				u := listenRaw(t, func(u *rawUpstream, _ int, conn net.Conn, r *bufio.Reader) {
					if u.readRequest(r) {
						_, _ = io.WriteString(conn, c.raw)
					}
				})
				client := NewClient(time.Second)
				defer client.Close()
				result, b := do(t, client, u.listener.Addr().String(), service("POST", nonIdempotent), allow)
				is.Equal(result.Status, c.want)
				is.Equal(b.Started(), c.want == Truncated)
				is.Equal(u.read.Load(), int32(1)) // sent once
			}
		})
	}
}
