package dispatcher

import (
	"errors"
	"net"

	"wisteriaspoke.example/mesh/prober"
)

// errStale means that the upstream has closed an idle connection.
var errStale = errors.New("the upstream closed the idle connection")

// connection is a connection to the upstream that checks, before it sends a request, whether the upstream has closed
// it. The client library would detect this only after it has sent the request, when the call may have run.
type connection struct {
	*net.TCPConn
	// sending is true from the first write of a request to the first read of its response. Only one call at a time uses
	// the connection.
	sending bool
}

// Write sends b, or returns an unsentError with errStale if the upstream has closed the connection.
func (c *connection) Write(b []byte) (int, error) {
	if !c.sending && c.closed() {
		return 0, &unsentError{cause: errStale}
	}
	c.sending = true
	return c.TCPConn.Write(b)
}

// Read reads from the connection.
func (c *connection) Read(b []byte) (int, error) {
	c.sending = false
	return c.TCPConn.Read(b)
}

// closed reports whether the upstream has closed the connection, or has sent data without a request.
func (c *connection) closed() bool { return prober.Probe(c.TCPConn) != prober.Quiet }
