package exchanger

import (
	"syscall"
	"time"
)

// kept is one idle connection on the stack; a stack reuses the freshest one, which the upstream is least likely to close.
type kept struct {
	connection *connection
	next       *kept
}

// keep puts the connection on the stack unless the upstream closes it soon.
func (x *Exchanger) keep(n *connection) bool {
	n.since = time.Now()
	if !n.until.After(n.since) {
		return false
	}
	k := &kept{connection: n}
	for {
		k.next = x.idle.Load()
		if x.idle.CompareAndSwap(k.next, k) {
			return true
		}
	}
}

// reuse returns a connection that has been idle for at most limit and that the upstream has not closed, or nil.
func (x *Exchanger) reuse(limit time.Duration) *connection {
	for {
		k := x.idle.Load()
		if k == nil {
			return nil
		}
		n, now := k.connection, time.Now()
		if now.Before(n.until) && now.Sub(n.since) >= limit {
			// The ones below have been idle for longer.
			return nil
		}
		if !x.idle.CompareAndSwap(k, k.next) {
			continue
		}
		if now.Before(n.until) && silent(n) {
			return n
		}
		n.Close()
	}
}

// CloseIdleConnections closes all idle connections.
func (x *Exchanger) CloseIdleConnections() {
	for k := x.idle.Swap(nil); k != nil; k = k.next {
		k.connection.Close()
	}
}

// silent reports whether the connection is open with nothing to read; a response without a request condemns it.
func silent(n *connection) bool {
	c, ok := n.Conn.(syscall.Conn)
	if !ok || n.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && quiet
}
