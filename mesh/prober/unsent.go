package prober

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Unacknowledged returns how many written bytes the peer has not acknowledged, or 0 if that is not known, as for a
// connection that is closed. It may be called while another goroutine writes.
func Unacknowledged(c net.Conn) int64 {
	s, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0
	}
	bytes := 0
	// An error means that the connection was closed here.
	_ = raw.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			bytes = n
		}
	})
	return int64(bytes)
}
