package linker

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// proxy forwards TCP connections to its target until they are cut.
type proxy struct {
	listener net.Listener
	target   atomic.Value
	mu       sync.Mutex
	conns    []net.Conn
	copies   sync.WaitGroup
	passed   atomic.Int64 // bytes forwarded by ended connections
}

func newProxy(t *testing.T) *proxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{listener: l}
	p.copies.Go(p.accept)
	t.Cleanup(func() {
		l.Close()
		p.cut()
		p.copies.Wait()
	})
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.target.Load().(string))
		if err != nil {
			in.Close()
			continue
		}
		p.mu.Lock()
		p.conns = append(p.conns, in, out)
		p.mu.Unlock()
		p.copies.Go(func() { p.pass(in, out) })
		p.copies.Go(func() { p.pass(out, in) })
	}
}

func (p *proxy) pass(to, from net.Conn) {
	n, _ := io.Copy(to, from)
	p.passed.Add(n)
	to.Close()
	from.Close()
}

func (p *proxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.Close()
	}
	p.conns = nil
}
