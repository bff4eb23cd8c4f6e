package soak

import (
	"errors"
	"fmt"
	"io"
	"net"
	"testing"

	"github.com/matryer/is"
)

// dialPath returns both ends of a connection on which a dialer has asked for a target.
func dialPath(t *testing.T) (dialer net.Conn, accepted *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if dialer, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = dialer.Close() })
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if _, err := fmt.Fprintln(dialer, "127.0.0.1:7"); err != nil {
		t.Fatal(err)
	}
	return dialer, c.(*net.TCPConn)
}

// Connections whose dialers had given up while a path was silent were all opened when it recovered, and took the
// descriptors of the process.
func TestSilentPathEndsConnectionsOfDialersThatHaveGivenUp(t *testing.T) {
	is := is.New(t)
	p, err := NewPath()
	is.NoErr(err)
	t.Cleanup(p.Close)
	end := p.Proxy.Inject(Silent)
	gone, accepted := dialPath(t)
	_ = gone.Close()
	_, err = p.awaitTarget(accepted)
	is.True(errors.Is(err, errDialerGone))

	waiting, accepted := dialPath(t)
	result := make(chan string)
	go func() {
		target, _ := p.awaitTarget(accepted)
		result <- target
	}()
	end()
	is.Equal(<-result, "127.0.0.1:7")
	_, err = io.WriteString(waiting, "GET")
	is.NoErr(err)
	_, err = io.ReadFull(accepted, make([]byte, 3)) // nothing that the dialer sends is lost
	is.NoErr(err)
}
