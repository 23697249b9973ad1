package exchanger

import (
	"time"

	"wisteriaspoke.example/mesh/prober"
)

// idleConnection is an entry of the stack of idle connections. A stack returns the most recently used one, which the
// upstream is least likely to close.
type idleConnection struct {
	connection *connection
	next       *idleConnection
}

// putIdle puts the connection on the stack, or returns false if the upstream may close it soon.
func (x *Exchanger) putIdle(conn *connection) bool {
	conn.idleSince = time.Now()
	if !conn.expiresAt.After(conn.idleSince) {
		return false
	}
	k := &idleConnection{connection: conn}
	for {
		k.next = x.idle.Load()
		if x.idle.CompareAndSwap(k.next, k) {
			return true
		}
	}
}

// takeIdle returns a connection that has been idle for less than limit and that the upstream has not closed, or nil.
func (x *Exchanger) takeIdle(limit time.Duration) *connection {
	for {
		k := x.idle.Load()
		if k == nil {
			return nil
		}
		conn, now := k.connection, time.Now()
		if now.Before(conn.expiresAt) && now.Sub(conn.idleSince) >= limit {
			// The entries below have been idle for longer.
			return nil
		}
		if !x.idle.CompareAndSwap(k, k.next) {
			continue
		}
		if now.Before(conn.expiresAt) && openWithoutData(conn) {
			return conn
		}
		conn.Close()
	}
}

// CloseIdleConnections closes all idle connections.
func (x *Exchanger) CloseIdleConnections() {
	for k := x.idle.Swap(nil); k != nil; k = k.next {
		k.connection.Close()
	}
}

// openWithoutData reports whether the connection is open and has no data to read. Data before a request cannot be its
// response, so such a connection must not be used.
func openWithoutData(conn *connection) bool {
	return conn.reader.Buffered() == 0 && prober.Probe(conn.Conn) == prober.Quiet
}
