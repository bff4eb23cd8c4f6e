// Package keepalive bounds how long a TCP connection may be dead without anybody noticing.
// A machine without power, a path that drops packets, or a middlebox that forgot the
// connection sends no reset: only the kernel's own timers show it.
package keepalive

import (
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	// idle is the silence after which the kernel asks the other side for a sign of life,
	// interval the time between two asks. The kernel counts both in whole seconds.
	idle     = time.Second
	interval = time.Second
	// probes is how many asks may stay unanswered: one may get lost.
	probes = 2
	// unacknowledged is how long bytes sent on a dialled connection may stay without an
	// acknowledgement. Three retransmissions that get lost in a row, as one in 30,000 does
	// on a link that loses 3% of its packets, take 1.4 s. It also bounds how late a request
	// that a path holds up may still arrive, which is to be less than the 2 s within which an
	// upstream that leaves must get nothing new.
	unacknowledged = 1500 * time.Millisecond
	// unread is the same for accepted connections. The kernel counts it also while the
	// other side lives and doesn't read, so it bounds how long a caller may pause within a
	// large answer.
	unread = 10 * time.Second
	// DeadAfter is the time within which a dead connection ends with an error: a dialled
	// one, and an accepted one on which nothing was sent. One on which something was sent
	// ends within UnreadAfter.
	DeadAfter         = idle + probes*interval
	AcceptedDeadAfter = unread
	// tcpUserTimeout is the socket option TCP_USER_TIMEOUT, in milliseconds.
	tcpUserTimeout = 0x12
)

// Config is for net.Dialer and net.ListenConfig.
func Config() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: idle, Interval: interval, Count: probes}
}

// Control bounds how long sent bytes may stay unacknowledged. It is for net.Dialer.
func Control(_, _ string, raw syscall.RawConn) error { return bound(raw, unacknowledged) }

func bound(raw syscall.RawConn, unacknowledged time.Duration) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unacknowledged.Milliseconds()))
	})
	return errors.Join(err, failed)
}

// Listener sets the same on each connection that l accepts. L is a TCP listener with
// Config, which leaves only that to be set.
func Listener(l net.Listener) net.Listener { return &listener{l} }

type listener struct{ net.Listener }

// Accept implements net.Listener. A connection that already ended can't be set up and is
// returned as it is: its first use says so.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if t, ok := c.(syscall.Conn); ok {
		if raw, err := t.SyscallConn(); err == nil {
			_ = bound(raw, unread)
		}
	}
	return c, nil
}
