package backend

import (
	"net"
	"syscall"
)

// isQuiet reports whether the connection is open and has nothing to read. It
// peeks without blocking, so that a connection that the server closed while
// idle is not taken for a crash of the next request.
func isQuiet(c net.Conn) bool {
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
