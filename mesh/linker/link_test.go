package linker

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
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

func wantKind(t *testing.T, err error, k fault.Kind) {
	t.Helper()
	if fault.KindOf(err) != k {
		t.Fatalf("got %q (%v), want %q", fault.KindOf(err), err, k)
	}
}

// Guards against lost messages and events on the ordinary path, in both directions over one control link.
func TestSend(t *testing.T) {
	a, b := newNode(t), newNode(t, func(_ *Linker, f *fake) { f.region = "other" })
	long := strings.Repeat("x", 4*compressFrom)
	a.Send(b.Address(), message.New("note", &note{Text: long}))
	e := b.await(event.Received)
	if e.Peer() != a.Address() || e.Message().Body().(*note).Text != long {
		t.Errorf("wrong message from %s", e.Peer())
	}
	b.Send(a.Address(), message.New("note", &note{Text: "back"}))
	if e := a.await(event.Received); e.Message().Body().(*note).Text != "back" {
		t.Errorf("wrong reply")
	}
	if err := b.stop(); err != nil {
		t.Error(err)
	}
	if e := a.await(event.Unlinked); e.Peer() != b.Address() {
		t.Errorf("unlinked from %s", e.Peer())
	}
}

// Guards against more than one control link, or none, when both nodes dial at the same time.
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
	a.Send(b.Address(), message.New("note", &note{Text: "to b"}))
	b.Send(a.Address(), message.New("note", &note{Text: "to a"}))
	a.await(event.Received)
	b.await(event.Received)
	for _, p := range []*peer{a.peer(b.Address()), b.peer(a.Address())} {
		if got := p.control.Load(); got.generation != fromA.link.generation {
			t.Errorf("%s is linked by generation %d, want %d", p.address, got.generation, fromA.link.generation)
		}
	}
}

// Guards against messages across regions that are sent uncompressed, and against compression within a region.
func TestCompression(t *testing.T) {
	const size = 100 << 10
	for _, region := range []string{"", "other"} {
		p := newProxy(t)
		a, b := newNode(t), newNode(t, func(_ *Linker, f *fake) { f.region = region })
		p.target.Store(b.Address())
		a.Send(p.address(), message.New("note", &note{Text: strings.Repeat("x", size)}))
		b.await(event.Received)
		if err := errors.Join(a.stop(), b.stop(), p.listener.Close()); err != nil {
			t.Error(err)
		}
		p.copies.Wait()
		if got := p.passed.Load(); (got < size/10) != (region == "other") {
			t.Errorf("region %q: %d bytes", region, got)
		}
	}
}

// Guards against peers that are kept for ever, and against messages lost to one that has just been forgotten.
func TestSweep(t *testing.T) {
	a, b := newNode(t), newNode(t)
	old := a.peer(b.Address())
	a.sweep()
	if a.peer(b.Address()) != old {
		t.Fatal("a used peer was forgotten")
	}
	a.sweep()
	a.sweep()
	if !old.retired.Load() {
		t.Fatal("an unused peer was kept")
	}
	if !old.post(message.New("note", &note{Text: "late"})) {
		t.Error("the message was dropped")
	}
	b.await(event.Received)
}

// Guards against the delivery of an answer whose call no longer waits.
func TestLateAnswer(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	a, b := newNode(t), newNode(t, serving(func(ctx context.Context, c call.Call) answer.Answer {
		close(arrived)
		<-release
		return echo(ctx, c)
	}))
	type result struct {
		answer answer.Answer
		err    error
	}
	done := make(chan result, 1)
	go func() {
		got, err := a.Call(t.Context(), b.Address(), newCall("right"))
		done <- result{got, err}
	}()
	<-arrived
	k := a.peer(b.Address()).best()
	before := lateAnswers.Count()
	wrong := must(answer.New(answer.Fields{Status: 200, Body: []byte("wrong")}).MarshalCBOR())
	if err := k.handle(t.Context(), frame{Type: typeAnswer, ID: k.ids.Load() + 1, Body: wrong}); err != nil {
		t.Error(err)
	}
	if got := lateAnswers.Count() - before; got != 1 {
		t.Errorf("%d answers were counted as late", got)
	}
	close(release)
	if r := <-done; r.err != nil || string(r.answer.Body()) != "right" {
		t.Errorf("got %q, %v", r.answer.Body(), r.err)
	}
}

// Guards against a wrong claim that a call may have run when nothing listens.
func TestRefusedDial(t *testing.T) {
	a := newNode(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	for range 2 { // the second one meets the back-off
		_, err = a.Call(t.Context(), l.Addr().String(), newCall(""))
		wantKind(t, err, fault.NotRun)
	}
}

// Guards against calls and messages of nodes without the token.
func TestWrongToken(t *testing.T) {
	served := atomic.Bool{}
	a := newNode(t, func(l *Linker, _ *fake) { l.LinkToken = "wrong" })
	b := newNode(t, serving(func(ctx context.Context, c call.Call) answer.Answer {
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
	if err := sendBody(c, typeHello, 0, newHello("127.0.0.1:1", "", calls)); err != nil {
		t.Fatal(err)
	}
	var other hello
	if err := receiveBody(c, typeHello, 0, &other); err != nil {
		t.Fatal(err)
	}
	sendBody(c, typeProof, other.Generation, []byte("guess"))
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

// wantClosed reads until the peer closes; a connection reset is a close too, as the peer may leave bytes unread.
func wantClosed(t *testing.T, c *websocket.Conn, code int) {
	t.Helper()
	// The handshake's deadline would look like a close.
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

// Guards against links that go on after malformed, truncated, oversized or misplaced frames.
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
		{"large", websocket.CloseMessageTooBig, func(uint64) []byte { return make([]byte, callLimit+1) }},
		{"large-inflated", websocket.CloseMessageTooBig, func(uint64) []byte { return make([]byte, callLimit+1) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			conn := rawDial(t, b)
			defer conn.Close()
			other, err := introduce(conn, "secret", newHello("127.0.0.1:1", "", calls))
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

// Guards against NotRun for a call that the peer had when it died.
func TestPeerKilledInFlight(t *testing.T) {
	arrived := make(chan struct{})
	p := newProxy(t)
	a, b := newNode(t), newNode(t, serving(func(ctx context.Context, _ call.Call) answer.Answer {
		close(arrived)
		<-ctx.Done()
		return answer.New(answer.Fields{Ran: answer.Maybe})
	}))
	p.target.Store(b.Address())
	go func() {
		<-arrived
		p.cut()
	}()
	_, err := a.Call(t.Context(), p.address(), newCall(""))
	wantKind(t, err, fault.MayHaveRun)
}

// Guards against handlers that outlive their caller, and against deadlines that do not travel.
func TestCancelAndDeadline(t *testing.T) {
	arrived := make(chan call.Call, 1)
	cancelled := make(chan bool, 1)
	a, b := newNode(t), newNode(t, serving(func(ctx context.Context, c call.Call) answer.Answer {
		_, bounded := ctx.Deadline()
		arrived <- c
		<-ctx.Done()
		cancelled <- bounded
		return answer.New(answer.Fields{Ran: answer.Maybe})
	}))
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-arrived
		cancel()
	}()
	_, err := a.Call(ctx, b.Address(), newCall(""))
	wantKind(t, err, fault.MayHaveRun)
	if <-cancelled {
		t.Error("a deadline appeared on the way")
	}
	limited, done := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer done()
	got, err := a.Call(limited, b.Address(), newCall(""))
	// The handler's deadline is rounded down, so its own answer may come before the caller's deadline.
	if err == nil && got.Ran() != answer.Maybe || err != nil && fault.KindOf(err) != fault.MayHaveRun {
		t.Errorf("got %v, %v", got.Fields(), err)
	}
	if c := <-arrived; c.Left() < 1 || c.Left() > 50 || !<-cancelled {
		t.Errorf("left is %d ms", c.Left())
	}
}

// Guards against bodies that the peer would close the link for.
func TestLargeBodies(t *testing.T) {
	large := strings.Repeat("x", callLimit)
	a, b := newNode(t), newNode(t, serving(func(context.Context, call.Call) answer.Answer {
		return answer.New(answer.Fields{Status: 200, Ran: answer.Yes, Body: []byte(large)})
	}))
	_, err := a.Call(t.Context(), b.Address(), newCall(large))
	wantKind(t, err, fault.NotRun)
	got, err := a.Call(t.Context(), b.Address(), newCall(""))
	if err != nil || got.Ran() != answer.Maybe || got.Reason() != "large" {
		t.Errorf("got status %d, ran %q, reason %q, %v", got.Status(), got.Ran(), got.Reason(), err)
	}
}

// Guards against unbounded handlers; the refusal must say that the call did not run.
func TestBusy(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	b := newNode(t, func(l *Linker, f *fake) {
		l.LinkCalls = 1
		f.serve = func(ctx context.Context, c call.Call) answer.Answer {
			close(arrived)
			<-release
			return echo(ctx, c)
		}
	})
	a := newNode(t)
	first := make(chan error, 1)
	go func() {
		_, err := a.Call(t.Context(), b.Address(), newCall(""))
		first <- err
	}()
	<-arrived
	got, err := a.Call(t.Context(), b.Address(), newCall(""))
	if err != nil || got.Ran() != answer.No || got.Reason() != "busy" {
		t.Errorf("got %v, %v", got.Fields(), err)
	}
	close(release)
	if err := <-first; err != nil {
		t.Error(err)
	}
}

// Guards against an answer that reaches another call, under cancels, late answers and connection cuts.
func TestNoCrossedAnswers(t *testing.T) {
	p := newProxy(t)
	a, b := newNode(t), newNode(t, serving(func(ctx context.Context, c call.Call) answer.Answer {
		if rand.IntN(4) == 0 {
			<-ctx.Done() // answers after its caller has left
		}
		return echo(ctx, c)
	}))
	p.target.Store(b.Address())
	var good atomic.Int64
	var callers sync.WaitGroup
	for i := range 32 {
		callers.Go(func() {
			for j := range 40 {
				body := fmt.Sprintf("%d/%d %s", i, j, strings.Repeat("x", rand.IntN(5000)))
				ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
				got, err := a.Call(ctx, p.address(), newCall(body))
				cancel()
				if err == nil && string(got.Body()) != body {
					t.Errorf("call %d/%d got the answer of another", i, j)
				}
				if err == nil {
					good.Add(1)
				}
				if k := fault.KindOf(err); err != nil && k != fault.NotRun && k != fault.MayHaveRun {
					t.Errorf("error without a verdict: %v", err)
				}
				if i == 0 && j%10 == 9 {
					p.cut()
				}
			}
		})
	}
	callers.Wait()
	if good.Load() == 0 {
		t.Error("no call succeeded")
	}
}

// Guards against calls that are lost, or falsely "may have run", when a node drains under load.
func TestDrainLosesNoCall(t *testing.T) {
	var runs atomic.Int64
	a, b := newNode(t), newNode(t, serving(func(ctx context.Context, c call.Call) answer.Answer {
		runs.Add(1)
		return echo(ctx, c)
	}))
	var answered atomic.Int64
	var callers sync.WaitGroup
	loaded := make(chan struct{}, 16)
	for range 16 {
		callers.Go(func() {
			for n := 0; ; n++ {
				_, err := a.Call(t.Context(), b.Address(), newCall("x"))
				if err != nil {
					if fault.KindOf(err) != fault.NotRun {
						t.Errorf("a drain ended a call with %v", err)
					}
					return
				}
				answered.Add(1)
				if n == 20 {
					loaded <- struct{}{}
				}
			}
		})
	}
	for range 16 {
		<-loaded
	}
	if err := b.Drain(t.Context()); err != nil {
		t.Error(err)
	}
	callers.Wait()
	if runs.Load() != answered.Load() {
		t.Errorf("%d calls ran, %d were answered", runs.Load(), answered.Load())
	}
}

// Guards against a call that is written after this node has said that none follows; the drain test rarely meets it.
func TestNoCallAfterClosed(t *testing.T) {
	a, b := newNode(t), newNode(t)
	if _, err := a.Call(t.Context(), b.Address(), newCall("")); err != nil {
		t.Fatal(err)
	}
	k := a.peer(b.Address()).best()
	if err := k.handle(t.Context(), frame{Type: typeClosing}); err != nil {
		t.Fatal(err)
	}
	for range 100 { // calls queued before the writer has come to the reply may still be written
		id := k.ids.Add(1)
		p := &pending{done: make(chan answer.Answer, 1), refused: make(chan struct{})}
		k.pending.Store(id, p)
		k.queue <- outgoing{data: must(k.encodeCall(t.Context(), id, newCall(""))), call: p}
		select {
		case <-p.refused:
			return
		case <-p.done:
		}
	}
	t.Error("calls are still written")
}

// Guards against own calls that a drain breaks off.
func TestDrainWaitsForOwnCalls(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	a, b := newNode(t), newNode(t, serving(func(ctx context.Context, c call.Call) answer.Answer {
		close(arrived)
		<-release
		return echo(ctx, c)
	}))
	result := make(chan error, 1)
	go func() {
		_, err := a.Call(t.Context(), b.Address(), newCall(""))
		result <- err
	}()
	<-arrived
	drained := make(chan error, 1)
	go func() { drained <- a.Drain(t.Context()) }()
	close(release)
	if err := errors.Join(<-result, <-drained); err != nil {
		t.Error(err)
	}
	_, err := a.Call(t.Context(), b.Address(), newCall(""))
	wantKind(t, err, fault.NotRun)
}

// proxy passes TCP connections on to its target until they are cut.
type proxy struct {
	listener net.Listener
	target   atomic.Value
	mu       sync.Mutex
	conns    []net.Conn
	copies   sync.WaitGroup
	passed   atomic.Int64 // bytes of ended connections
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

func BenchmarkCall(b *testing.B) {
	for _, size := range []int{100, 64 << 10} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			from, to := newNode(b), newNode(b)
			c := newCall(strings.Repeat("x", size))
			b.SetBytes(int64(2 * size))
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if _, err := from.Call(b.Context(), to.Address(), c); err != nil {
						b.Error(err)
						return
					}
				}
			})
		})
	}
}
