package admitter

import (
	"net"
	"sync/atomic"
	"time"
)

const (
	maxHeaderBytes = 32 << 10
	maxBodyBytes   = 4 << 20
	// maxDiscardedBytes limits how much of a refused call's body is read and discarded. The rest is read because
	// closing the connection with unread data would reset it, and the caller would not receive the refusal.
	maxDiscardedBytes = 4 * maxBodyBytes
	// bodyBufferBytes is how much of a body is read before maxInFlightCalls, maxInFlightBytes and maxBodyBytes are
	// checked.
	bodyBufferBytes = 64 << 10
	maxConnections  = 4096
	// maxInFlightCalls limits the calls in flight through this node; for comparison, an endpoint has 130 connections.
	maxInFlightCalls = 1024
	// maxInFlightBytes limits the bodies of all calls in flight; maxInFlightCalls bodies of maxBodyBytes would take
	// 4 GB.
	maxInFlightBytes = 256 << 20
	// maxDepth limits how many calls, each made to serve the one before, led to a call. The deepest real chain has 11
	// calls; one longer than maxDepth is taken for a loop.
	maxDepth = 32

	// requestTimeout bounds how long the server reads a request, and how long it writes the response.
	requestTimeout = 30 * time.Second
	idleTimeout    = 2 * time.Minute
)

// inFlight counts the calls and body bytes in flight through the node.
type inFlight struct {
	calls    atomic.Int64
	external atomic.Int64 // calls that the upstream beside this node did not make
	bytes    atomic.Int64
}

// tryAdd adds n and returns true if the sum stays within the limit.
func tryAdd(c *atomic.Int64, n, limit int64) bool {
	if c.Add(n) <= limit {
		return true
	}
	c.Add(-n)
	return false
}

const (
	// refusalTimeout limits the time to refuse a connection, and maxRefusals the number of refusals in progress; further
	// connections are closed without a response.
	refusalTimeout = time.Second
	maxRefusals    = 64
	// refusal is the response on a refused connection; it states that the request has not run.
	refusal = "HTTP/1.1 503 Service Unavailable\r\n" + headerRan + ": no\r\n" + headerReason +
		": connections\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// listener refuses connections over a limit.
type listener struct {
	net.Listener
	connections atomic.Int64
	refusals    atomic.Int64
	limit       int64 // zero means maxConnections
}

// Accept returns the next connection that is within the limit and refuses the others.
func (l *listener) Accept() (net.Conn, error) {
	limit := l.limit
	if limit == 0 {
		limit = maxConnections
	}
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if tryAdd(&l.connections, 1, limit) {
			return &connection{Conn: c, listener: l}, nil
		}
		if !tryAdd(&l.refusals, 1, maxRefusals) {
			c.Close()
			continue
		}
		go func() {
			defer l.refusals.Add(-1)
			refuse(c)
		}()
	}
}

// refuse writes the refusal after the first bytes of the request, as clients discard a response that arrives before
// their request is sent. It then reads to the end before closing; a close with unread data would
// send a TCP reset, which could overtake the refusal.
func refuse(c net.Conn) {
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(refusalTimeout)); err != nil {
		return
	}
	var b [512]byte
	if _, err := c.Read(b[:]); err != nil {
		return
	}
	if _, err := c.Write([]byte(refusal)); err != nil {
		return
	}
	if t, ok := c.(*net.TCPConn); ok {
		t.CloseWrite()
	}
	for {
		if _, err := c.Read(b[:]); err != nil {
			return
		}
	}
}

// connection decrements the listener's count of connections when it is closed.
type connection struct {
	net.Conn
	listener *listener
	closed   atomic.Bool
}

// Close closes the connection and decrements the listener's count once.
func (c *connection) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.listener.connections.Add(-1)
	}
	return c.Conn.Close()
}
