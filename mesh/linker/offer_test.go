package linker

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"wisteriaspoke.example/mesh/answer"
	"wisteriaspoke.example/mesh/call"
	"wisteriaspoke.example/mesh/fault"
)

// gate is an intake that admits bodies only when a test allows it.
type gate struct {
	open         chan struct{} // each value admits one body
	full         atomic.Bool   // Acquire refuses at once instead of waiting
	acquires     atomic.Int64  // calls of Acquire
	releases     atomic.Int64  // calls of Release
	offeredBytes atomic.Int64  // total length of the bodies passed to Acquire
}

func newGate(n *node) *gate {
	g := &gate{open: make(chan struct{}, 8)}
	n.intake = g
	return g
}

func (g *gate) Acquire(ctx context.Context, c call.Call) (answer.Answer, bool) {
	g.acquires.Add(1)
	g.offeredBytes.Add(int64(len(c.Body())))
	refusal := answer.New(answer.Fields{Status: 503, Ran: answer.No, Reason: "full"})
	if g.full.Load() {
		return refusal, false
	}
	select {
	case <-g.open:
		return answer.Answer{}, true
	case <-ctx.Done():
		return refusal, false
	}
}

func (g *gate) Release(time.Duration) { g.releases.Add(1) }

var large = strings.Repeat("b", 10*offerMinBytes)

// eventually waits until ok, which depends on another goroutine, returns true.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range 500 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Errorf("never happened: %s", what)
}

// TestBodyWaitsForGrant guards against large bodies that are sent to a host without room, and against small calls that
// wait behind them.
func TestBodyWaitsForGrant(t *testing.T) {
	a, b := newNode(t), newNode(t)
	g := newGate(b)
	done := make(chan string, 1)
	go func() {
		got, err := a.Call(t.Context(), b.Address(), newCall(large))
		if err != nil {
			t.Error(err)
		}
		done <- string(got.Body())
	}()
	eventually(t, "the offer arrives", func() bool { return g.acquires.Load() == 1 })
	if got, err := a.Call(t.Context(), b.Address(), newCall("small")); err != nil || string(got.Body()) != "small" {
		t.Errorf("a small call meanwhile: %q, %v", got.Body(), err)
	}
	select {
	case <-done:
		t.Fatal("the call ended before there was room")
	default:
	}
	if n := g.offeredBytes.Load(); n != 0 {
		t.Errorf("%d bytes came with the offer", n)
	}
	g.open <- struct{}{}
	if got := <-done; got != large {
		t.Errorf("the answer has %d bytes", len(got))
	}
	if g.releases.Load() != 1 {
		t.Error("the room was not given back")
	}
}

// TestOfferRefused guards against a refused offer whose answer does not say that the call has not run.
func TestOfferRefused(t *testing.T) {
	ran := atomic.Int64{}
	a, b := newNode(t), newNode(t, withServe(func(ctx context.Context, c call.Call) answer.Answer {
		ran.Add(1)
		return echo(ctx, c)
	}))
	newGate(b).full.Store(true)
	got, err := a.Call(t.Context(), b.Address(), newCall(large))
	if err != nil || got.Ran() != answer.No || ran.Load() != 0 {
		t.Errorf("ran %q, %v; the upstream saw %d calls", got.Ran(), err, ran.Load())
	}
}

// TestOfferAbandoned guards against room that stays reserved after the caller has cancelled its call, and against a
// wrong "may have run" for that call.
func TestOfferAbandoned(t *testing.T) {
	a, b := newNode(t), newNode(t)
	g := newGate(b)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		eventually(t, "the offer arrives", func() bool { return g.acquires.Load() == 1 })
		cancel()
	}()
	_, err := a.Call(ctx, b.Address(), newCall(large))
	wantKind(t, err, fault.NotRun)
	eventually(t, "the handler ends", func() bool { return b.runningCalls.Load() == 0 })
	g.open <- struct{}{}
	if got, err := a.Call(t.Context(), b.Address(), newCall(large)); err != nil || string(got.Body()) != large {
		t.Errorf("the next one: %d bytes, %v", len(got.Body()), err)
	}
}

// TestOfferLinkBreaks guards against a wrong "may have run" when the link breaks while a body waits for room.
func TestOfferLinkBreaks(t *testing.T) {
	p := newProxy(t)
	a, b := newNode(t), newNode(t)
	g := newGate(b)
	p.target.Store(b.Address())
	go func() {
		eventually(t, "the offer arrives", func() bool { return g.acquires.Load() == 1 })
		p.cut()
	}()
	// The call is offered again on a new link, where the gate is still closed.
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	got, err := a.Call(ctx, p.address(), newCall(large))
	// The peer's refusal at the deadline may arrive before this side's own deadline.
	if err != nil || got.Ran() != answer.No {
		wantKind(t, err, fault.NotRun)
	}
}

// TestOfferBodyLate guards against room that stays reserved for a sender that sends nothing, and against losing a body
// that arrives late.
func TestOfferBodyLate(t *testing.T) {
	l := &Linker{intake: &gate{open: make(chan struct{}, 1)}}
	g := l.intake.(*gate)
	g.open <- struct{}{}
	k := newLink(l, nil, nil, bodies, false, 1, "", time.Now())
	h := &inboundCall{body: make(chan []byte, 1)}
	go func() {
		eventually(t, "the room is given back", func() bool { return g.releases.Load() == 1 })
		h.body <- []byte("late")
	}()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	c, _, _, ok := k.awaitBody(ctx, 1, call.New(call.Fields{LatestStart: 5000, TimeLeft: 9000}), h)
	if !ok || string(c.Body()) != "late" {
		t.Fatalf("body %q, %v", c.Body(), ok)
	}
	if wait := int64(bodyReservation / time.Millisecond); c.LatestStart() > 5000-wait || c.TimeLeft() > 9000-wait {
		t.Errorf("the wait is not counted: start in %d ms, left %d ms", c.LatestStart(), c.TimeLeft())
	}
	if g.releases.Load() != 1 {
		t.Errorf("the room was given back %d times", g.releases.Load())
	}
}
