package tcp

import (
	"errors"
	"syscall"
)

// AwaitUnread blocks until there is something to read on a connection, or an error to return by a read. It takes
// nothing but that error: after a failure of the connection, the next read may return io.EOF.
func AwaitUnread(conn syscall.Conn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
	})
}
