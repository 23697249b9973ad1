package processes

import (
	"io"
	"net"
	"sync"
	"testing"
)

// door forwards connections to a node's listener; it can be shut, which cuts the links through it.
type door struct {
	target   string
	listener net.Listener
	mutex    sync.Mutex
	shut     bool
	open     map[net.Conn]bool
	group    sync.WaitGroup
}

func newDoor(t *testing.T, target string) *door {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := &door{target: target, listener: l, open: map[net.Conn]bool{}}
	d.group.Go(d.accept)
	t.Cleanup(func() {
		l.Close()
		d.set(true)
		d.group.Wait()
	})
	return d
}

func (d *door) address() string { return d.listener.Addr().String() }

// set shuts or opens the door; shutting it closes all connections.
func (d *door) set(shut bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.shut = shut
	if !shut {
		return
	}
	for c := range d.open {
		c.Close()
	}
}

func (d *door) accept() {
	for {
		c, err := d.listener.Accept()
		if err != nil {
			return
		}
		d.group.Go(func() { d.forward(c) })
	}
}

// add keeps a connection that set may close, and reports whether the door is open.
func (d *door) add(c net.Conn) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.shut {
		c.Close()
		return false
	}
	d.open[c] = true
	return true
}

func (d *door) remove(c net.Conn) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	delete(d.open, c)
	c.Close()
}

func (d *door) forward(from net.Conn) {
	if !d.add(from) {
		return
	}
	defer d.remove(from)
	to, err := net.Dial("tcp", d.target)
	if err != nil || !d.add(to) {
		return
	}
	defer d.remove(to)
	var group sync.WaitGroup
	group.Go(func() {
		_, _ = io.Copy(to, from)
		to.Close()
	})
	_, _ = io.Copy(from, to)
	from.Close()
	group.Wait()
}
