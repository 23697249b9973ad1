package linker

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// proxy forwards TCP connections to its target until they are cut.
type proxy struct {
	listener net.Listener
	target   atomic.Value
	mu       sync.Mutex
	conns    []net.Conn
	stalled  chan struct{} // closed by resume, or nil if the path to the target is not stalled
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
		p.copies.Go(func() { p.pass(in, out, out) })
		p.copies.Go(func() { p.pass(out, in, &stallReader{Reader: in, proxy: p}) })
	}
}

// pass forwards what r reads from a connection until that ends.
func (p *proxy) pass(to, from net.Conn, r io.Reader) {
	n, _ := io.Copy(to, r)
	p.passed.Add(n)
	to.Close()
	from.Close()
}

// segmentGap is the time between two pieces on a path that is back: a sender waits for acknowledgements between them.
const segmentGap = 30 * time.Millisecond

// stallReader returns what it has read once the proxy is not stalled, and from then on a piece each segmentGap.
type stallReader struct {
	io.Reader
	proxy  *proxy
	healed bool // the proxy has been stalled
}

func (r *stallReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	r.proxy.mu.Lock()
	stalled := r.proxy.stalled
	r.proxy.mu.Unlock()
	switch {
	case stalled != nil:
		<-stalled
		r.healed = true
	case r.healed:
		time.Sleep(segmentGap)
	}
	return n, err
}

// stall holds up all bytes to the target, as a path does whose packets are lost for a while, until resume is called.
func (p *proxy) stall() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stalled = make(chan struct{})
}

func (p *proxy) resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.stalled)
	p.stalled = nil
}

func (p *proxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.Close()
	}
	p.conns = nil
}
