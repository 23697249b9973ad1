package linker

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"

	"wisteriaspoke.example/mesh/answer"
	"wisteriaspoke.example/mesh/call"
)

// fakeOutflow is an outflow that refuses calls, or keeps answers from being sent.
type fakeOutflow struct {
	refuses, blocks atomic.Bool
	reserved        atomic.Int64
}

func (f *fakeOutflow) Reserve(context.Context, call.Call) (int64, answer.Answer, bool) {
	if f.refuses.Load() {
		return 0, answer.New(answer.Fields{Status: 503, Ran: answer.No, Reason: "outflow"}), false
	}
	f.reserved.Add(1)
	return 1, answer.Answer{}, true
}

func (f *fakeOutflow) Send(_ context.Context, _ call.Call, reservation int64, _ int) error {
	f.reserved.Add(-reservation)
	if f.blocks.Load() {
		return errors.New("planted")
	}
	return nil
}

// TestOutflow guards against REFUSED and LOST: a refused call that has run, an answer that was not sent and counts as
// "not run", and reservations that are never given back.
func TestOutflow(t *testing.T) {
	ran := atomic.Int64{}
	a, b := newNode(t), newNode(t, withServe(func(ctx context.Context, c call.Call) answer.Answer {
		ran.Add(1)
		return echo(ctx, c)
	}))
	f := &fakeOutflow{}
	b.outflow = f
	for _, c := range []struct {
		name            string
		refuses, blocks bool
		wantRan         answer.Ran
		wantRuns        int64
	}{{"sent", false, false, answer.Yes, 1}, {"refused", true, false, answer.No, 0}, {"not sent", false, true, answer.Maybe, 1}} {
		f.refuses.Store(c.refuses)
		f.blocks.Store(c.blocks)
		ran.Store(0)
		got, err := a.Call(t.Context(), b.Address(), newCall("x"))
		if err != nil || got.Ran() != c.wantRan || ran.Load() != c.wantRuns {
			t.Errorf("%s: ran %q, %v; the upstream saw %d calls", c.name, got.Ran(), err, ran.Load())
		}
	}
	if n := f.reserved.Load(); n != 0 {
		t.Errorf("%d reservations were not given back", n)
	}
}

// TestPanicEndsOneCall guards against an unexpected error in one call that ends the whole process.
func TestPanicEndsOneCall(t *testing.T) {
	a, b := newNode(t), newNode(t, withServe(func(ctx context.Context, c call.Call) answer.Answer {
		if string(c.Body()) == "bad" {
			panic("planted")
		}
		return echo(ctx, c)
	}))
	for body, want := range map[string]answer.Ran{"bad": answer.Maybe, "good": answer.Yes} {
		if got, err := a.Call(t.Context(), b.Address(), newCall(body)); err != nil || got.Ran() != want {
			t.Errorf("%s: ran %q, %v, want %q", body, got.Ran(), err, want)
		}
	}
}
