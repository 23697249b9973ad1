package prober

import (
	"errors"
	"net"
	"syscall"
)

// State is what a read from a connection would find.
type State string

// The states of a connection.
const (
	Quiet State = "quiet" // open, without data
	Data  State = "data"  // data to read, and possibly an end behind it
	Ended State = "ended" // closed or reset by the peer, or closed here
)

// Probe returns the state of the connection, which must be a TCP connection of the operating system; any other counts
// as ended. It may be called while another goroutine reads.
func Probe(c net.Conn) State {
	s, ok := c.(syscall.Conn)
	if !ok {
		return Ended
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return Ended
	}
	state := Ended
	// An error means that the connection was closed here, and leaves the state as it is.
	_ = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case n > 0:
			state = Data
		case errors.Is(err, syscall.EAGAIN):
			state = Quiet
		}
	})
	return state
}
