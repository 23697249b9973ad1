package linker

import (
	"bytes"
	"context"
	"testing"

	"wisteriaspoke.example/mesh/answer"
	"wisteriaspoke.example/mesh/call"
	"wisteriaspoke.example/mesh/holder"
)

// TestLargeAnswers guards against large answers that are not bounded at either end of a link, against one without memory
// that is reported as not run or ends the link, and against memory that is not given back.
func TestLargeAnswers(t *testing.T) {
	const size = 7 << 20
	var hold *holder.Hold
	b := newNode(t, withServe(func(ctx context.Context, c call.Call) answer.Answer {
		return answer.New(answer.Fields{Status: 200, Ran: answer.Yes, Body: bytes.Repeat([]byte("x"), size), Hold: hold})
	}))
	a := newNode(t)
	a.Linker.holder, b.Linker.holder = holder.New(18<<20), holder.New(18<<20)
	ask := func() answer.Answer {
		hold = b.Linker.holder.Force(size)
		got, err := a.Call(t.Context(), b.Address(), newCall("x"))
		if err != nil {
			t.Fatal(err)
		}
		return got
	}
	first, second := ask(), ask()
	if len(first.Body()) != size || !bytes.Equal(first.Body(), second.Body()) {
		t.Errorf("answers of %d and %d bytes", len(first.Body()), len(second.Body()))
	}
	if n := a.Linker.holder.Used(); n < 2*size || n > 2*(size+4<<10) {
		t.Errorf("%d bytes are held for two answers", n)
	}
	if got := ask(); got.Ran() != answer.Maybe || got.Status() != 502 || got.Reason() != holder.Reason {
		t.Errorf("an answer without memory: ran %v, status %d, %s", got.Ran(), got.Status(), got.Reason())
	}
	first.Hold().Release()
	second.Hold().Release()
	if got := ask(); len(got.Body()) != size || got.Hold() == nil {
		t.Errorf("an answer afterwards has %d bytes", len(got.Body()))
	} else {
		got.Hold().Release()
	}
	if n, m := a.Linker.holder.Used(), b.Linker.holder.Used(); n != 0 || m != 0 {
		t.Errorf("%d and %d bytes are held at the end", n, m)
	}
}
