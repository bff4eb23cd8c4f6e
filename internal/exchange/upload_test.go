package exchange

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/internal/tcp"
)

// uploadBytes is more than the buffers of two sockets take.
const uploadBytes = 16 << 20

// upload returns a request whose body is still being written when its response arrives.
func upload() *Request {
	return &Request{Method: "POST", Target: "/x", Host: "h.example", Body: make([]byte, uploadBytes)}
}

// closeWrite ends what is sent on a connection in order.
func closeWrite(c net.Conn) { _ = c.(*net.TCPConn).CloseWrite() }

// How an upstream ends the connection of a response that it sends before it has read the request.
var uploadEndings = map[string]struct {
	end      func(c net.Conn)
	complete bool // whether a body until close is
	fails    bool // whether the writing of the request fails by itself
}{
	"reset":                     {reset, false, true},
	"close with unread bytes":   {func(c net.Conn) { _ = c.Close() }, false, true},
	"orderly end":               {closeWrite, true, false},
	"orderly end, then reset":   {func(c net.Conn) { closeWrite(c); reset(c) }, true, true},
	"orderly end, then close":   {func(c net.Conn) { closeWrite(c); _ = c.Close() }, true, true},
	"orderly end, then reading": {func(c net.Conn) { closeWrite(c); _, _ = io.Copy(io.Discard, io.LimitReader(c, uploadBytes/2)) }, true, false},
}

// Guards against a part of a body until close that is taken for the whole, since the reset of its connection was reported to
// the goroutine that writes a long request.
func TestResetDuringAnUploadTruncatesTheBody(t *testing.T) {
	for name, c := range uploadEndings {
		for framing, head := range map[Framing]string{
			UntilClose: "HTTP/1.1 200 OK\r\n\r\n", ByLength: "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", ByChunks: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n",
		} {
			t.Run(name+", "+framing.String(), func(t *testing.T) {
				is := is.New(t)
				headRead := make(chan struct{})
				p := newPool(server(t, func(conn net.Conn, r *bufio.Reader, _ int) {
					readRequestHead(r)
					_, _ = io.WriteString(conn, head+"part"+map[Framing]string{ByChunks: "\r\n0\r\n\r\n"}[framing])
					<-headRead
					_ = tcp.AwaitUnread(conn.(*net.TCPConn)) // otherwise a close is an orderly end
					c.end(conn)
					<-t.Context().Done()
				}))
				defer p.Close()
				response, err := p.Do(t.Context(), upload())
				is.NoErr(err)
				defer response.Close()
				close(headRead)
				if c.fails {
					err := <-response.conn.bodyWritten
					is.True(err != nil)
					response.conn.bodyWritten <- err
				}
				body, err := io.ReadAll(response)
				is.True(strings.HasPrefix("part", string(body)))
				if c.complete || framing != UntilClose {
					is.NoErr(err)
					is.Equal(string(body), "part")
					return
				}
				is.True(errors.Is(err, ErrTruncated))
				is.True(!errors.Is(err, io.EOF))
			})
		}
	}
}

// The same while the body is read.
func TestResetsDuringUploadsAreNeverAnEnd(t *testing.T) {
	const tries = 100
	p := newPool(server(t, func(conn net.Conn, r *bufio.Reader, _ int) {
		readRequestHead(r)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
		reset(conn)
	}))
	defer p.Close()
	ended := 0
	for range tries {
		response, err := p.Do(t.Context(), upload())
		if err != nil {
			continue // reset before the head was read
		}
		if _, err := io.ReadAll(response); err == nil {
			ended++
		}
		response.Close()
	}
	if ended > 0 {
		t.Errorf("%d of %d bodies that were reset look complete", ended, tries)
	}
}

// readRequestHead reads a request without its body.
func readRequestHead(r *bufio.Reader) {
	for {
		line, err := r.ReadString('\n')
		if err != nil || line == "\r\n" {
			return
		}
	}
}
