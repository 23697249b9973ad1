package main

import (
	"io"
	"net"
	"sync"
)

// proxy passes the connections between machines on to one node. It can let all open ones go silent for good.
type proxy struct {
	target   string
	listener net.Listener

	mutex sync.Mutex
	open  map[*pair]bool
	kept  []*pair // silent ones, as the garbage collector closes connections
}

// pair is one connection through the proxy.
type pair struct {
	near, far net.Conn
	silent    chan struct{} // closed when nothing is passed on any more
}

func newProxy(listen, target string) (*proxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, listener: l, open: map[*pair]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", p.target)
		if err != nil {
			reset(near)
			continue
		}
		c := &pair{near: near, far: far, silent: make(chan struct{})}
		p.mutex.Lock()
		p.open[c] = true
		p.mutex.Unlock()
		go p.pass(c, near, far)
		go p.pass(c, far, near)
	}
}

// pass copies one direction until the connection ends. A silent connection stays open towards the other end.
func (p *proxy) pass(c *pair, from, to net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-c.silent:
			return
		default:
		}
		if n > 0 {
			if _, e := to.Write(buffer[:n]); e != nil {
				err = e
			}
		}
		if err != nil {
			if err != io.EOF {
				reset(to)
			}
			from.Close()
			to.Close()
			p.mutex.Lock()
			delete(p.open, c)
			p.mutex.Unlock()
			return
		}
	}
}

// silence lets all open connections go silent and returns their number; new ones are passed on.
func (p *proxy) silence() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	n := len(p.open)
	for c := range p.open {
		close(c.silent)
		p.kept = append(p.kept, c)
	}
	clear(p.open)
	return n
}

func (p *proxy) close() {
	p.listener.Close()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, c := range p.kept {
		reset(c.near)
		reset(c.far)
	}
}
