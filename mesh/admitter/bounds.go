package admitter

import (
	"net"
	"sync/atomic"
	"time"
)

const (
	maxHeaders = 32 << 10
	maxBody    = 4 << 20
	// maxDropped bounds how much of a refused call's body is read and dropped.
	maxDropped = 4 * maxBody
	// buffered is how much of a body is read before the bounds are checked.
	buffered       = 64 << 10
	maxConnections = 4096
	// maxCalls bounds the calls in flight through this node; today's endpoints have 130 connections each.
	maxCalls = 1024
	// maxBytes bounds the bodies of all calls in flight, as maxCalls bodies of maxBody would take 4 GB.
	maxBytes = 256 << 20
	// maxDepth bounds the calls above one call; a longer chain is a loop, as the deepest has 11.
	maxDepth = 32

	requestLimit = 30 * time.Second
	idleLimit    = 2 * time.Minute
)

// bounds counts what is in flight through the node.
type bounds struct {
	calls   atomic.Int64
	outside atomic.Int64 // those not from the local upstream
	bytes   atomic.Int64
}

// take adds n if the sum stays within the limit.
func take(c *atomic.Int64, n, limit int64) bool {
	if c.Add(n) <= limit {
		return true
	}
	c.Add(-n)
	return false
}

const (
	// refusalLimit bounds the time for a connection's refusal, and maxRefusals the number of them at a time; more
	// connections are closed without one.
	refusalLimit = time.Second
	maxRefusals  = 64
	refusal      = "HTTP/1.1 503 Service Unavailable\r\n" + headerRan + ": no\r\n" + headerReason +
		": connections\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// listener refuses connections over the limit.
type listener struct {
	net.Listener
	connections atomic.Int64
	refusals    atomic.Int64
	limit       int64 // zero for maxConnections
}

// Accept returns the next connection within the limit.
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
		if take(&l.connections, 1, limit) {
			return &connection{Conn: c, owner: l}, nil
		}
		if !take(&l.refusals, 1, maxRefusals) {
			c.Close()
			continue
		}
		go func() {
			defer l.refusals.Add(-1)
			refuse(c)
		}()
	}
}

// refuse writes the refusal once the caller has begun to send, as clients drop a response that comes before their
// request. It reads what follows before it closes; otherwise the reset could overtake the refusal.
func refuse(c net.Conn) {
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(refusalLimit)); err != nil {
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

// connection gives its place back when it is closed.
type connection struct {
	net.Conn
	owner  *listener
	closed atomic.Bool
}

// Close closes the connection.
func (c *connection) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.owner.connections.Add(-1)
	}
	return c.Conn.Close()
}
