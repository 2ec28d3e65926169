// Package socket looks at the state of TCP connections.
package socket

import (
	"net"
	"syscall"
)

// IsQuiet reports whether the connection is open and has no unread input. It peeks
// at the socket without blocking, which also detects that the other side has closed
// the connection. A connection without a file descriptor counts as quiet.
func IsQuiet(c net.Conn) bool {
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
