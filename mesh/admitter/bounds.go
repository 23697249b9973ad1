package admitter

import (
	"net"
	"sync/atomic"
	"time"
)

const (
	maxHeaderBytes = 32 << 10
	maxBodyBytes   = 4 << 20
	// maxDiscardedBytes limits how much of a refused call's body is read and discarded.
	maxDiscardedBytes = 4 * maxBodyBytes
	// bodyBufferBytes is how much of a body is read before the limits are checked.
	bodyBufferBytes = 64 << 10
	maxConnections  = 4096
	// maxInFlightCalls limits the calls in flight through this node; endpoints now have 130 connections each.
	maxInFlightCalls = 1024
	// maxInFlightBytes limits the bodies of all calls in flight; maxInFlightCalls bodies of maxBodyBytes would take
	// 4 GB.
	maxInFlightBytes = 256 << 20
	// maxDepth limits the chain of calls above one call. The deepest chain has 11 calls, so a longer one than this is a
	// loop.
	maxDepth = 32

	requestTimeout = 30 * time.Second
	idleTimeout    = 2 * time.Minute
)

// inFlight counts the calls and body bytes in flight through the node.
type inFlight struct {
	calls    atomic.Int64
	external atomic.Int64 // calls that do not come from the local upstream
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
	refusal        = "HTTP/1.1 503 Service Unavailable\r\n" + headerRan + ": no\r\n" + headerReason +
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
