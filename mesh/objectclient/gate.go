package objectclient

import (
	"errors"
	"net"
	"sync/atomic"
)

// The states of a trackedConn.
const (
	unused  = iota // nothing of the current request was written
	used           // some of it may have been written
	blocked        // nothing was written, and nothing will be
)

var errBlocked = errors.New("the request was cancelled before it was sent")

// trackedConn is a connection that can prove that nothing of the current request was sent.
//
// The transport writes from a goroutine of its own and may still do so after a call has timed out. Blocking the
// connection and the first write exclude each other, so that "not sent" stays true.
type trackedConn struct {
	net.Conn
	state atomic.Int32
}

// Write sends data unless the connection is blocked.
func (c *trackedConn) Write(data []byte) (int, error) {
	if !c.state.CompareAndSwap(unused, used) && c.state.Load() == blocked {
		return 0, errBlocked
	}
	return c.Conn.Write(data)
}

// startRequest resets the state for the next request; a connection has one at a time.
func (c *trackedConn) startRequest() { c.state.Store(unused) }

// blockIfUnused blocks all later writes if nothing was sent, and reports whether they are blocked.
func (c *trackedConn) blockIfUnused() bool {
	return c.state.CompareAndSwap(unused, blocked) || c.state.Load() == blocked
}

// trackedConnOf returns the trackedConn of a connection, which may be wrapped in TLS, or nil if there is none.
func trackedConnOf(conn net.Conn) *trackedConn {
	if t, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = t.NetConn()
	}
	tracked, _ := conn.(*trackedConn)
	return tracked
}
