package keepalive

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// options returns the keepalive options that the kernel has for a connection.
func options(t *testing.T, c net.Conn) map[string]int {
	t.Helper()
	is := is.New(t)
	raw, err := c.(syscall.Conn).SyscallConn()
	is.NoErr(err)
	out := map[string]int{}
	get := func(fd uintptr, level, option int) int {
		v, err := syscall.GetsockoptInt(int(fd), level, option)
		is.NoErr(err)
		return v
	}
	is.NoErr(raw.Control(func(fd uintptr) {
		out["keepalive"] = get(fd, syscall.SOL_SOCKET, syscall.SO_KEEPALIVE)
		out["idle"] = get(fd, syscall.IPPROTO_TCP, syscall.TCP_KEEPIDLE)
		out["interval"] = get(fd, syscall.IPPROTO_TCP, syscall.TCP_KEEPINTVL)
		out["probes"] = get(fd, syscall.IPPROTO_TCP, syscall.TCP_KEEPCNT)
		out["unacknowledged"] = get(fd, syscall.IPPROTO_TCP, tcpUserTimeout)
	}))
	return out
}

// A silenced connection can't be produced on loopback, where the kernel itself replies. The test
// checks that the bounds are set in the kernel on both sides.
func TestBothSidesOfAConnectionHaveTimeouts(t *testing.T) {
	is := is.New(t)
	want := map[string]int{"keepalive": 1, "idle": 1, "interval": 1, "probes": 2, "unacknowledged": 1500}
	plain, err := (&net.ListenConfig{KeepAliveConfig: Config()}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	l := Listener(plain)
	defer l.Close()
	dialled, err := (&net.Dialer{KeepAliveConfig: Config(), Control: Control}).Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer dialled.Close()
	accepted, err := l.Accept()
	is.NoErr(err)
	defer accepted.Close()
	is.Equal(options(t, dialled), want)
	want["unacknowledged"] = 10_000 // a caller may pause within a response
	is.Equal(options(t, accepted), want)
}

// TCP_USER_TIMEOUT also decides when unanswered probes end an idle connection, whatever their number. The
// stated times must be what the kernel does.
func TestStatedTimesAccountForTheUserTimeout(t *testing.T) {
	is := is.New(t)
	is.Equal(silencedFor(0), 3*time.Second)
	is.Equal(silencedFor(dialledUserTimeout), DialledDeadAfter)
	is.Equal(silencedFor(acceptedUserTimeout), AcceptedDeadAfter)
	is.True(dialledUserTimeout > time.Second) // an upstream may fall silent for a second and go on
}
