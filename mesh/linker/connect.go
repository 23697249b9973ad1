package linker

import (
	"context"
	"sync"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/valyala/fasthttp"

	"wisteriaspoke.example/mesh/fault"
)

// writeBuffers is a pool for all connections, so that idle ones hold no buffer.
var writeBuffers sync.Pool

// connect dials the peer and does the handshake, in which both sides prove that they have the token.
func (l *Linker) connect(p *peer, purpose purpose) (*link, error) {
	if l.rejectOutbound.Load() {
		return nil, fault.New(fault.Unavailable, "this node is stopping", "")
	}
	ctx, cancel := context.WithTimeout(l.ctx, l.LinkDial)
	defer cancel()
	d := websocket.Dialer{
		HandshakeTimeout: l.LinkDial, EnableCompression: true,
		WriteBufferSize: writeBufferSize, WriteBufferPool: &writeBuffers,
	}
	scheme := "ws"
	if l.tlsFiles != nil {
		scheme = "wss"
		d.TLSClientConfig = l.tlsFiles.clientConfig()
	}
	c, _, err := d.DialContext(ctx, scheme+"://"+p.address+"/link", nil)
	if err != nil {
		return nil, fault.Wrap(fault.Unavailable, err, "dial failed", "")
	}
	stop := context.AfterFunc(ctx, func() { c.Close() })
	remote, err := dialHandshake(c, l.LinkToken, newHello(l.node, l.region, purpose))
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		c.Close()
		return nil, err
	}
	k := newLink(l, p, c, purpose, true, remote.Generation, remote.Region, time.Now())
	l.links.Store(k, struct{}{})
	p.add(k)
	if l.rejectOutbound.Load() {
		// Drain may have listed the links before this one was added, so it is closed here and gets no calls.
		k.closing.Store(true)
		signal(k.drain)
	}
	return k, nil
}

// upgrade accepts one WebSocket connection.
func (l *Linker) upgrade(r *fasthttp.RequestCtx) {
	if l.rejectInbound.Load() || string(r.Path()) != "/link" {
		r.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	u := websocket.FastHTTPUpgrader{
		EnableCompression: true,
		WriteBufferSize:   writeBufferSize, WriteBufferPool: &writeBuffers,
	}
	if err := u.Upgrade(r, l.acceptLink); err != nil {
		l.log.Debug("link refused", "from", r.RemoteAddr().String(), "error", err)
	}
}

// acceptLink runs an accepted link; it returns only after the link has ended, as the HTTP server then reuses the
// connection's buffers.
func (l *Linker) acceptLink(c *websocket.Conn) {
	defer c.Close()
	done := make(chan struct{})
	started := l.tasks.start(func() {
		defer close(done)
		stop := context.AfterFunc(l.ctx, func() { c.Close() })
		remote, generation, helloSentAt, err := acceptHandshake(c, l.LinkToken, l.node, l.region)
		stop()
		if err != nil {
			linksBroken.Inc(1)
			l.log.Warn("link refused", "from", c.RemoteAddr().String(), "error", err)
			refusal := websocket.FormatCloseMessage(websocket.ClosePolicyViolation, "")
			c.WriteControl(websocket.CloseMessage, refusal, time.Now().Add(closeTimeout))
			return
		}
		p := l.peer(remote.Node)
		k := newLink(l, p, c, remote.Purpose, false, generation, remote.Region, helloSentAt)
		l.links.Store(k, struct{}{})
		p.add(k)
		if l.rejectInbound.Load() {
			signal(k.drain)
		}
		l.runLink(k)
	})
	if started {
		<-done
	}
}
