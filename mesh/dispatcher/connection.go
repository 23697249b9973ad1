package dispatcher

import (
	"errors"
	"net"
	"syscall"
)

// errStale means that the upstream has closed an idle connection.
var errStale = errors.New("the upstream closed the idle connection")

// connection is a connection to the upstream that checks, before it sends a request, whether the other side has closed
// it. The client library would only notice after it has sent, when the call may have run.
type connection struct {
	*net.TCPConn
	// sending is set from the first write of a request to the first read of its response; one call at a time has
	// the connection.
	sending bool
}

// Write sends, or returns errStale within an unsent error if the other side has closed the connection.
func (c *connection) Write(b []byte) (int, error) {
	if !c.sending && c.closed() {
		return 0, &unsent{cause: errStale}
	}
	c.sending = true
	return c.TCPConn.Write(b)
}

// Read receives.
func (c *connection) Read(b []byte) (int, error) {
	c.sending = false
	return c.TCPConn.Read(b)
}

// closed reports whether the other side has closed the connection, or has sent what no request asked for.
func (c *connection) closed() bool {
	raw, err := c.TCPConn.SyscallConn()
	if err != nil {
		return true
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
	})
	return err != nil || !quiet
}
