package exchange

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// endlessBytes is how much an upstream sends that doesn't stop by itself; the sockets' buffers hold a part of it.
const endlessBytes = 64 << 20

// Guards against an upstream whose response head, or the rest of a body's framing, doesn't end: all of it was kept,
// until the process exceeded its memory.
func TestEndlessFramingEndsTheExchange(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct {
		begin, repeated string
		want            error
	}{
		"status line":                   {"HTTP/1.1 200 ", "x", ErrInvalidResponse},
		"no response at all":            {"", "x", ErrInvalidResponse},
		"blank lines before a head":     {"", "\r\n", ErrInvalidResponse},
		"spaces before a head":          {"", " ", ErrInvalidResponse},
		"header line":                   {"HTTP/1.1 200 OK\r\nName: ", "x", ErrInvalidResponse},
		"header lines":                  {"HTTP/1.1 200 OK\r\n", "Name: value\r\n", ErrInvalidResponse},
		"continued header line":         {"HTTP/1.1 200 OK\r\nName: value\r\n", " x\r\n", ErrInvalidResponse},
		"interim responses":             {"", "HTTP/1.1 103 Early Hints\r\n\r\n", ErrInvalidResponse},
		"head of an interim one":        {"HTTP/1.1 103 Early Hints\r\n", "Name: value\r\n", ErrInvalidResponse},
		"responses to other ones":       {"", "HTTP/1.1 200 OK\r\nId: 9\r\nContent-Length: 1\r\n\r\nx", ErrInvalidResponse},
		"body of a response to another": {"HTTP/1.1 200 OK\r\nId: 9\r\n\r\n", "x", ErrInvalidResponse},
		"chunk size":                    {head, "0", ErrTruncated},
		"chunk extension":               {head + "1;", "x", ErrTruncated},
		"chunks with long extensions":   {head, "1;" + strings.Repeat("x", 2000) + "\r\ny\r\n", ErrTruncated},
		"trailer line":                  {head + "0\r\nName: ", "x", ErrTruncated},
		"trailers":                      {head + "0\r\n", "Name: value\r\n", ErrTruncated},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var sent atomic.Int64
			closed := make(chan struct{})
			address := server(t, func(conn net.Conn, r *bufio.Reader, _ int) {
				defer close(closed)
				readRequest(r)
				_, _ = io.WriteString(conn, c.begin)
				block := []byte(strings.Repeat(c.repeated, max(8<<10/len(c.repeated), 1)))
				for sent.Load() < endlessBytes {
					n, err := conn.Write(block)
					sent.Add(int64(n))
					if err != nil {
						return
					}
				}
			})
			p := newPool(address)
			_, err := exchangeOnce(p, get("1"))
			is.True(errors.Is(err, c.want))
			<-closed // the connection was closed
			is.True(sent.Load() < endlessBytes)
			is.Equal(p.OpenConnections(), 0)
		})
	}
}

// A head that is long but within the bound, and a long body, are honest.
func TestLargeResponsesAreRead(t *testing.T) {
	is := is.New(t)
	value, body := strings.Repeat("v", 8<<10), strings.Repeat("b", 4<<20)
	address := server(t, func(c net.Conn, r *bufio.Reader, _ int) {
		for readRequest(r) != nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nName: "+value+"\r\nContent-Length: 4194304\r\n\r\n"+body)
		}
	})
	p := newPool(address)
	for range 3 { // the bound is for each head
		a, err := p.Do(context.Background(), get("1"))
		is.NoErr(err)
		is.Equal(a.Header.Get("Name"), value)
		got, err := io.ReadAll(a)
		is.NoErr(err)
		is.Equal(len(got), len(body))
		a.Close()
	}
	is.Equal(p.OpenConnections(), 1)
}
