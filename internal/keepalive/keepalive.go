// Package keepalive bounds how long a dead TCP connection may stay undetected. A machine without
// power, a network path that drops packets, or a middlebox that lost the connection's state sends
// no reset: only the kernel's timers detect it.
package keepalive

import (
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	// idle is the silence after which the kernel sends the first keepalive probe, and interval the
	// time between two probes. The kernel counts both in whole seconds.
	idle     = time.Second
	interval = time.Second
	// probes is how many keepalive probes may stay unanswered: one may get lost. It holds only without
	// TCP_USER_TIMEOUT, see silencedFor.
	probes = 2
	// dialledUserTimeout is how long bytes sent on a dialled connection may stay unacknowledged.
	// Three retransmissions lost in a row, as one in 30,000 is on a link with 3% packet loss, take
	// 1.4 s. It also bounds how late a request that is delayed on a network path may still arrive:
	// less than the 2 s within which an upstream that leaves must get no new requests.
	dialledUserTimeout = 1500 * time.Millisecond
	// acceptedUserTimeout is the same for accepted connections. The kernel also counts it while the
	// other side is alive and doesn't read, so it bounds how long a caller may pause within a large
	// response.
	acceptedUserTimeout = 10 * time.Second
	// DialledDeadAfter and AcceptedDeadAfter are the times within which a dead connection ends with an
	// error, whether it has unacknowledged bytes or is idle.
	DialledDeadAfter  = 2 * time.Second
	AcceptedDeadAfter = acceptedUserTimeout
	// tcpUserTimeout is the socket option TCP_USER_TIMEOUT, in milliseconds.
	tcpUserTimeout = 0x12
)

// silencedFor returns how long an idle connection is silent until the kernel ends it. Probes are sent
// after idle and then at each interval. Without a user timeout the number of unanswered probes decides;
// with one, the first unanswered probe at whose end the silence has lasted for it (Linux,
// tcp_keepalive_timer).
func silencedFor(userTimeout time.Duration) time.Duration {
	if userTimeout == 0 {
		return idle + probes*interval
	}
	silence := idle + interval
	for silence < userTimeout {
		silence += interval
	}
	return silence
}

// Config returns the keepalive settings for net.Dialer and net.ListenConfig.
func Config() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: idle, Interval: interval, Count: probes}
}

// Control sets dialledUserTimeout on a socket. It is for net.Dialer.
func Control(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw, dialledUserTimeout) }

func setUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(timeout.Milliseconds()))
	})
	return errors.Join(err, failed)
}

// Listener sets acceptedUserTimeout on each connection that l accepts. l is a TCP listener made
// with Config, which sets everything else.
func Listener(l net.Listener) net.Listener { return &listener{l} }

type listener struct{ net.Listener }

// Accept implements net.Listener. A connection that has already ended can't be configured and is
// returned as it is: its first use reports the error.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if t, ok := c.(syscall.Conn); ok {
		if raw, err := t.SyscallConn(); err == nil {
			_ = setUserTimeout(raw, acceptedUserTimeout)
		}
	}
	return c, nil
}
