package linker

import (
	"context"
	"errors"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fasthttp/websocket"

	"wisteriaspoke.example/mesh/answer"
	"wisteriaspoke.example/mesh/call"
	"wisteriaspoke.example/mesh/event"
	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/message"
)

// TestSend guards against lost messages and events in the normal case, in both directions over one control link.
func TestSend(t *testing.T) {
	a, b := newNode(t), newNode(t, func(_ *Linker, f *fake) { f.region = "other" })
	long := strings.Repeat("x", 4*compressMinBytes)
	a.Send(b.Address(), message.New("note", &testMessage{Text: long}))
	e := b.awaitEvent(event.Received)
	if e.Peer() != a.Address() || e.Message().Body().(*testMessage).Text != long {
		t.Errorf("wrong message from %s", e.Peer())
	}
	b.Send(a.Address(), message.New("note", &testMessage{Text: "back"}))
	if e := a.awaitEvent(event.Received); e.Message().Body().(*testMessage).Text != "back" {
		t.Errorf("wrong reply")
	}
	if err := b.stop(); err != nil {
		t.Error(err)
	}
	if e := a.awaitEvent(event.Unlinked); e.Peer() != b.Address() {
		t.Errorf("unlinked from %s", e.Peer())
	}
}

// TestSimultaneousDials guards against more than one control link, or none, when both nodes dial at the same time.
func TestSimultaneousDials(t *testing.T) {
	a, b := newNode(t), newNode(t)
	if a.Address() > b.Address() {
		a, b = b, a
	}
	fromA := a.peer(b.Address()).beginDial(control)
	fromB := b.peer(a.Address()).beginDial(control)
	<-fromA.done
	<-fromB.done
	if err := errors.Join(fromA.err, fromB.err); err != nil {
		t.Fatal(err)
	}
	<-fromB.link.ended
	a.Send(b.Address(), message.New("note", &testMessage{Text: "to b"}))
	b.Send(a.Address(), message.New("note", &testMessage{Text: "to a"}))
	a.awaitEvent(event.Received)
	b.awaitEvent(event.Received)
	for _, p := range []*peer{a.peer(b.Address()), b.peer(a.Address())} {
		if got := p.controlLink.Load(); got.generation != fromA.link.generation {
			t.Errorf("%s is linked by generation %d, want %d", p.address, got.generation, fromA.link.generation)
		}
	}
}

// TestCompression guards against uncompressed messages between regions, and against compression within a region.
func TestCompression(t *testing.T) {
	const size = 100 << 10
	for _, region := range []string{"", "other"} {
		p := newProxy(t)
		a, b := newNode(t), newNode(t, func(_ *Linker, f *fake) { f.region = region })
		p.target.Store(b.Address())
		a.Send(p.address(), message.New("note", &testMessage{Text: strings.Repeat("x", size)}))
		b.awaitEvent(event.Received)
		if err := errors.Join(a.stop(), b.stop(), p.listener.Close()); err != nil {
			t.Error(err)
		}
		p.copies.Wait()
		if got := p.passed.Load(); (got < size/10) != (region == "other") {
			t.Errorf("region %q: %d bytes", region, got)
		}
	}
}

// TestSweepRemovesUnusedPeers guards against peers that are never removed, and against messages lost in a peer value
// that has just been removed.
func TestSweepRemovesUnusedPeers(t *testing.T) {
	a, b := newNode(t), newNode(t)
	old := a.peer(b.Address())
	a.sweep()
	if a.peer(b.Address()) != old {
		t.Fatal("a used peer was removed")
	}
	a.sweep()
	a.sweep()
	if !old.retired.Load() {
		t.Fatal("an unused peer was kept")
	}
	if !old.enqueue(message.New("note", &testMessage{Text: "late"})) {
		t.Error("the message was dropped")
	}
	b.awaitEvent(event.Received)
}

// TestWrongToken guards against calls and messages from nodes without the token.
func TestWrongToken(t *testing.T) {
	served := atomic.Bool{}
	a := newNode(t, func(l *Linker, _ *fake) { l.LinkToken = "wrong" })
	b := newNode(t, withServe(func(ctx context.Context, c call.Call) answer.Answer {
		served.Store(true)
		return echo(ctx, c)
	}))
	_, err := a.Call(t.Context(), b.Address(), newCall(""))
	wantKind(t, err, fault.NotRun)
	var cause *fault.Error
	if !errors.As(errors.Unwrap(err), &cause) || cause.Kind() != fault.Denied {
		t.Errorf("cause is %v", errors.Unwrap(err))
	}
	// A dialer that ignores the acceptor's proof is refused by the acceptor.
	c := rawDial(t, b)
	defer c.Close()
	if err := sendHandshake(c, typeHello, 0, newHello("127.0.0.1:1", "", calls)); err != nil {
		t.Fatal(err)
	}
	var other hello
	if err := receiveHandshake(c, typeHello, 0, &other); err != nil {
		t.Fatal(err)
	}
	sendHandshake(c, typeProof, other.Generation, []byte("guess"))
	data := must(encodeFrame(typeCall, other.Generation, 1, must(newCall("").MarshalCBOR())))
	c.WriteMessage(websocket.BinaryMessage, data)
	wantClosed(t, c, websocket.ClosePolicyViolation)
	if served.Load() {
		t.Error("a call was served without the token")
	}
}

func rawDial(t *testing.T, n *node) *websocket.Conn {
	t.Helper()
	d := websocket.Dialer{EnableCompression: true}
	c, _, err := d.Dial("ws://"+n.Address()+"/link", nil)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// wantClosed expects the peer to close; a connection reset counts too, as the peer may not have read all bytes.
func wantClosed(t *testing.T, c *websocket.Conn, code int) {
	t.Helper()
	// An expired deadline of the handshake would look like a close.
	c.SetReadDeadline(time.Time{})
	_, _, err := c.ReadMessage()
	if err == nil {
		t.Error("a frame came instead of a close")
	}
	var closed *websocket.CloseError
	if errors.As(err, &closed) && closed.Code != code {
		t.Errorf("closed with %v, want %d", err, code)
	}
}

// TestBadFramesClose guards against links that stay open after malformed, truncated, oversized or misplaced frames.
func TestBadFramesClose(t *testing.T) {
	b := newNode(t)
	good := func(g uint64) []byte {
		return must(encodeFrame(typeCall, g, 1, must(newCall("").MarshalCBOR())))
	}
	cases := []struct {
		name string
		code int
		data func(generation uint64) []byte
	}{
		{"truncated", websocket.CloseProtocolError, func(g uint64) []byte { return good(g)[:10] }},
		{"generation", websocket.CloseProtocolError, func(g uint64) []byte { return good(g + 1) }},
		{"misplaced", websocket.CloseProtocolError, func(g uint64) []byte { return must(encodeFrame(typeAnswer, g, 1, []byte{1})) }},
		{"body", websocket.CloseProtocolError, func(g uint64) []byte { return must(encodeFrame(typeCall, g, 1, []byte{1})) }},
		{"large", websocket.CloseMessageTooBig, func(uint64) []byte { return make([]byte, maxCallBytes+1) }},
		{"large-inflated", websocket.CloseMessageTooBig, func(uint64) []byte { return make([]byte, maxCallBytes+1) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			conn := rawDial(t, b)
			defer conn.Close()
			other, err := dialHandshake(conn, "secret", newHello("127.0.0.1:1", "", calls))
			if err != nil {
				t.Fatal(err)
			}
			conn.EnableWriteCompression(c.name == "large-inflated")
			// The peer may close before all of a large frame is written.
			conn.WriteMessage(websocket.BinaryMessage, c.data(other.Generation))
			wantClosed(t, conn, c.code)
		})
	}
}
