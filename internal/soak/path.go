package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

// Path is the network path of one process to all upstreams. The process dials through it with
// DialThrough, so that a fault hits all its connections to upstreams and no other ones. A fault of mode
// Silent lets new connections hang until their dialer gives up.
type Path struct{ *Proxy }

// keepAliveTimeout is the time after which connections that a Path holds in mode Silent are closed, as
// TCP keepalive would if packets were lost.
const keepAliveTimeout = 2 * time.Second

// NewPath returns a path that listens on a free port of loopback until Close.
func NewPath() (*Path, error) {
	p, err := newProxy("", true)
	if err != nil {
		return nil, err
	}
	return &Path{p}, nil
}

// Inject applies a mode until the returned function is called.
func (p *Path) Inject(m Mode) (undo func()) {
	end := p.Proxy.Inject(m)
	if m != Silent {
		return end
	}
	timeout := time.AfterFunc(keepAliveTimeout, p.resetAll)
	return func() {
		timeout.Stop()
		end()
	}
}

// established is what a path sends to the dialer once the connection to the target is established.
const established = '+'

// awaitTarget reads the target that a dialer asks for, and blocks while the path is silent. It returns
// an error if the path refuses new connections or the dialer has given up.
func (p *Proxy) awaitTarget(caller *net.TCPConn) (string, error) {
	line, err := readLine(caller)
	if err != nil {
		return "", err
	}
	for {
		mode, changed, closed := p.state()
		switch {
		case closed, mode == Resets, mode == RefusesNew:
			return "", syscall.ECONNREFUSED
		case mode != Silent:
			return line, nil
		}
		if hasGone(caller, changed) {
			return "", errDialerGone
		}
	}
}

var errDialerGone = errors.New("the dialer has given up")

// hasGone blocks until a dialer, which sends nothing meanwhile, has closed its connection or changed is
// closed, and reports whether it was the former.
func hasGone(dialer *net.TCPConn, changed <-chan struct{}) bool {
	ended := make(chan error, 1)
	go func() {
		_, err := dialer.Read(make([]byte, 1))
		ended <- err
	}()
	select {
	case <-ended:
		return true
	case <-changed:
	}
	_ = dialer.SetReadDeadline(time.Now()) // ends the read
	if err := <-ended; !errors.Is(err, os.ErrDeadlineExceeded) {
		return true
	}
	_ = dialer.SetReadDeadline(time.Time{})
	return false
}

// maxTargetBytes bounds the length of a target, IP:port.
const maxTargetBytes = 64

// readLine reads a line, and nothing beyond it.
func readLine(c net.Conn) (string, error) {
	var line [maxTargetBytes]byte
	for n := range line {
		if _, err := io.ReadFull(c, line[n:n+1]); err != nil {
			return "", err
		}
		if line[n] == '\n' {
			return string(line[:n]), nil
		}
	}
	return "", fmt.Errorf("the target is longer than %d bytes", maxTargetBytes)
}

func confirm(caller *net.TCPConn) error {
	_, err := caller.Write([]byte{established})
	return err
}

// DialThrough returns a dialer that opens connections through the path at the given address.
func DialThrough(path string) func(ctx context.Context, target string) (net.Conn, error) {
	return func(ctx context.Context, target string) (net.Conn, error) {
		var d net.Dialer
		c, err := d.DialContext(ctx, "tcp", path)
		if err != nil {
			return nil, err
		}
		stop := context.AfterFunc(ctx, func() { _ = c.Close() })
		var reply [1]byte
		if _, err = fmt.Fprintln(c, target); err == nil {
			_, err = io.ReadFull(c, reply[:])
		}
		switch {
		case !stop():
			return nil, fmt.Errorf("dial %s: %w", target, context.Cause(ctx))
		case err != nil || reply[0] != established:
			_ = c.Close() // refused
			return nil, fmt.Errorf("dial %s: %w", target, syscall.ECONNREFUSED)
		}
		return c, nil
	}
}
