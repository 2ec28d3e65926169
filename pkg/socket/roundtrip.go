package socket

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// RoundTrip returns the kernel's estimate of the round-trip time of a connection. It returns
// false if the connection has no file descriptor or the kernel has no estimate.
func RoundTrip(c net.Conn) (time.Duration, bool) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0, false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, false
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil || infoErr != nil || info.Rtt == 0 {
		return 0, false
	}
	return time.Duration(info.Rtt) * time.Microsecond, true
}
