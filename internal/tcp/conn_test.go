package tcp

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// scriptedConn is a connection whose Write waits until it fails, and whose Read then returns errors in order.
type scriptedConn struct {
	net.Conn // nil
	failed   chan struct{}
	ended    chan struct{} // closed by SetWriteDeadline
	writeErr error         // nil for a Write that waits until its deadline
	readErrs []error
}

func (c *scriptedConn) Write([]byte) (int, error) {
	if c.writeErr != nil {
		close(c.failed)
		return 0, c.writeErr
	}
	close(c.failed)
	<-c.ended
	return 0, os.ErrDeadlineExceeded
}

func (c *scriptedConn) Read([]byte) (int, error) {
	<-c.failed
	err := c.readErrs[0]
	c.readErrs = c.readErrs[1:]
	return 0, err
}

func (c *scriptedConn) SetWriteDeadline(time.Time) error {
	close(c.ended)
	return nil
}

// Guards against the end of a stream that looks orderly since a write beside it got the failure of the connection.
func TestFailureThatAWriteHasMetEndsTheStream(t *testing.T) {
	reset := &net.OpError{Op: "write", Err: os.NewSyscallError("write", syscall.ECONNRESET)}
	timeout := &net.OpError{Op: "write", Err: os.NewSyscallError("write", syscall.ETIMEDOUT)}
	pipe := &net.OpError{Op: "write", Err: os.NewSyscallError("write", syscall.EPIPE)}
	for name, c := range map[string]struct {
		write error
		reads []error
		want  error // of each read
	}{
		"reset":                        {reset, []error{io.EOF}, syscall.ECONNRESET},
		"no acknowledgement":           {timeout, []error{io.EOF}, syscall.ETIMEDOUT},
		"reset after the orderly end":  {pipe, []error{io.EOF}, io.EOF},
		"orderly end, a write waits":   {nil, []error{io.EOF}, io.EOF},
		"the connection was closed":    {net.ErrClosed, []error{io.EOF}, io.EOF},
		"reset, then the end":          {pipe, []error{syscall.ECONNRESET, io.EOF}, syscall.ECONNRESET},
		"the connection is closed too": {reset, []error{net.ErrClosed}, net.ErrClosed},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			scripted := &scriptedConn{failed: make(chan struct{}), ended: make(chan struct{}), writeErr: c.write, readErrs: c.reads}
			conn := NewConn(scripted)
			written := make(chan error, 1)
			go func() {
				_, err := conn.Write([]byte("x"))
				written <- err
			}()
			for range len(c.reads) {
				_, err := conn.Read(make([]byte, 1))
				is.True(errors.Is(err, c.want))
				is.True(c.want == io.EOF || !errors.Is(err, io.EOF))
			}
			is.True(<-written != nil)
		})
	}
}
