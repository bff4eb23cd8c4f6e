package client_test

import (
	"bufio"
	"io"
	"net"
	"testing"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/client"
)

const (
	// uploadBytes is more than the buffers of two sockets take.
	uploadBytes = 16 << 20
	// uploadTries is how often a reset meets an upload: which call learns of it isn't determined.
	uploadTries = 8
)

// Guards against a part of a response until close that is returned as a result, since the reset of its connection was reported
// to the goroutine that writes a long request.
func TestResetDuringAnUploadIsAnError(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return // the test has ended
			}
			_, _ = bufio.NewReader(conn).Peek(1)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	}()
	caller, err := client.New(client.Options{URL: "http://" + l.Addr().String(), APIKey: "k", MaxAttempts: 1})
	is.NoErr(err)
	for range uploadTries {
		_, err = caller.Do(t.Context(), client.Request{Path: "/x", Body: make([]byte, uploadBytes)})
		is.True(err != nil)
	}
}
