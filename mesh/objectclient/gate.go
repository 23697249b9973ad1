package objectclient

import (
	"errors"
	"net"
	"sync/atomic"
)

// The states of a gate.
const (
	unused = iota // nothing of the current request was written
	used          // some of it may have been written
	shut          // nothing was written, and nothing will be
)

var errShut = errors.New("the request was given up before it was sent")

// gate is a connection that can prove that nothing of the current request was sent.
//
// The transport writes from a goroutine of its own and may still do so after a call has timed out. Shutting the gate
// and the first write exclude each other, so that "not sent" stays true.
type gate struct {
	net.Conn
	state atomic.Int32
}

// Write sends data unless the gate is shut.
func (g *gate) Write(data []byte) (int, error) {
	if !g.state.CompareAndSwap(unused, used) && g.state.Load() == shut {
		return 0, errShut
	}
	return g.Conn.Write(data)
}

// renew begins a request; the connection carries one at a time.
func (g *gate) renew() { g.state.Store(unused) }

// shutUnused reports whether nothing was sent, and if so stops all later writes.
func (g *gate) shutUnused() bool {
	return g.state.CompareAndSwap(unused, shut) || g.state.Load() == shut
}

// gateOf returns the gate under a connection, which may be encrypted; nil if there is none.
func gateOf(conn net.Conn) *gate {
	if t, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = t.NetConn()
	}
	g, _ := conn.(*gate)
	return g
}
