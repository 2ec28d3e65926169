package backend

import (
	"net"
	"syscall"
)

// isOpenWithoutInput reports whether the connection is open and has no unread
// input. It peeks at the socket without blocking, which also detects that the
// server closed the connection while it was idle; the next request on it would
// otherwise look as if it had crashed the server. A connection without a file
// descriptor counts as open.
func isOpenWithoutInput(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var buf [1]byte
		_, _, rerr := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = rerr == syscall.EAGAIN || rerr == syscall.EWOULDBLOCK
	})
	return err == nil && quiet
}
