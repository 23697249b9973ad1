package linker

import (
	"context"
	"sync"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/valyala/fasthttp"

	"wisteriaspoke.example/mesh/fault"
)

// writeBuffers is shared by all connections, so that idle ones hold no buffer.
var writeBuffers sync.Pool

// connect dials the peer and proves the token both ways.
func (l *Linker) connect(p *peer, why purpose) (*link, error) {
	if l.closed.Load() {
		return nil, fault.New(fault.Unavailable, "this node is stopping", "")
	}
	ctx, cancel := context.WithTimeout(l.ctx, l.LinkDial)
	defer cancel()
	d := websocket.Dialer{
		HandshakeTimeout: l.LinkDial, EnableCompression: true,
		WriteBufferSize: writeBuffer, WriteBufferPool: &writeBuffers,
	}
	scheme := "ws"
	if l.secrets != nil {
		scheme = "wss"
		d.TLSClientConfig = l.secrets.client()
	}
	c, _, err := d.DialContext(ctx, scheme+"://"+p.address+"/link", nil)
	if err != nil {
		return nil, fault.Wrap(fault.Unavailable, err, "dial failed", "")
	}
	stop := context.AfterFunc(ctx, func() { c.Close() })
	other, err := introduce(c, l.LinkToken, newHello(l.node, l.region, why))
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		c.Close()
		return nil, err
	}
	k := newLink(l, p, c, why, true, other.Generation, other.Region)
	l.links.Store(k, struct{}{})
	p.add(k)
	if l.closed.Load() {
		// Drain may have listed the links before this one; it carries no call then.
		k.closing.Store(true)
		signal(k.drain)
	}
	return k, nil
}

// upgrade accepts one WebSocket connection.
func (l *Linker) upgrade(r *fasthttp.RequestCtx) {
	if l.refuse.Load() || string(r.Path()) != "/link" {
		r.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	u := websocket.FastHTTPUpgrader{
		EnableCompression: true,
		WriteBufferSize:   writeBuffer, WriteBufferPool: &writeBuffers,
	}
	if err := u.Upgrade(r, l.acceptLink); err != nil {
		l.log.Debug("link refused", "from", r.RemoteAddr().String(), "error", err)
	}
}

// acceptLink returns after the link has ended, as the HTTP server reuses the connection's buffers then.
func (l *Linker) acceptLink(c *websocket.Conn) {
	defer c.Close()
	done := make(chan struct{})
	started := l.tasks.start(func() {
		defer close(done)
		stop := context.AfterFunc(l.ctx, func() { c.Close() })
		other, generation, err := receive(c, l.LinkToken, l.node, l.region)
		stop()
		if err != nil {
			linksBroken.Inc(1)
			l.log.Warn("link refused", "from", c.RemoteAddr().String(), "error", err)
			refusal := websocket.FormatCloseMessage(websocket.ClosePolicyViolation, "")
			c.WriteControl(websocket.CloseMessage, refusal, time.Now().Add(closeTimeout))
			return
		}
		p := l.peer(other.Node)
		k := newLink(l, p, c, other.Purpose, false, generation, other.Region)
		l.links.Store(k, struct{}{})
		p.add(k)
		if l.refuse.Load() {
			signal(k.drain)
		}
		l.runLink(k)
	})
	if started {
		<-done
	}
}
