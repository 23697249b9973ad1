package retrier

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"wisteriaspoke.example/mesh/answer"
)

// TestDecisions guards against a second run of a call that must not run twice, and against retries at several hops.
func TestDecisions(t *testing.T) {
	data, err := os.ReadFile("testdata/decisions.json")
	if err != nil {
		t.Fatal(err)
	}
	var cases []struct {
		Name                           string
		Attempt, Status                int
		Ran                            answer.Ran
		Retried, Idempotent, Exhausted bool
		Left                           *int64 // milliseconds
	}
	if err := json.Unmarshal(data, &cases); err != nil {
		t.Fatal(err)
	}
	largest := func(n int) int { return n - 1 }
	var out strings.Builder
	for i, c := range cases {
		left := time.Second
		if c.Left != nil {
			left = time.Duration(*c.Left) * time.Millisecond
		}
		a := answer.New(answer.Fields{Status: c.Status, Ran: c.Ran, Retried: c.Retried})
		d := Decide(c.Attempt, a, c.Idempotent, !c.Exhausted, left, largest)
		fmt.Fprintf(&out, "%2d. %s: retry=%v wait<%v exhausted=%v\n", i+1, c.Name, d.Retry(), (d.Backoff() + 1).Round(time.Microsecond), d.BudgetExhausted())
	}
	goldie.New(t).Assert(t, "decisions", []byte(out.String()))
}

// hop is one node of a chain of services, each of which calls the next.
type hop struct {
	service, node Budget
	next          *hop
	runs          *int
}

// call runs one call of the hop as the admitter does, and returns the answer.
func (h *hop) call(fail bool, random func(int) int) answer.Answer {
	h.service.Deposit()
	h.node.Deposit()
	retried := false
	for attempt := 1; ; attempt++ {
		f := h.run(fail, random).Fields()
		d := Decide(attempt, answer.New(f), true, h.service.CanWithdraw() && h.node.CanWithdraw(), time.Minute, random)
		retried = retried || d.BudgetExhausted()
		if !d.Retry() || !h.service.TryWithdraw() || !h.node.TryWithdraw() {
			f.Retried = f.Retried || retried
			return answer.New(f)
		}
		retried = true
	}
}

// run is the upstream behind the hop; it forwards the answer of the next service.
func (h *hop) run(fail bool, random func(int) int) answer.Answer {
	if h.next != nil {
		f := h.next.call(fail, random).Fields()
		f.Ran = answer.Yes
		return answer.New(f)
	}
	*h.runs++
	if fail {
		return answer.New(answer.Fields{Status: 500, Ran: answer.Yes})
	}
	return answer.New(answer.Fields{Status: 200, Ran: answer.Yes})
}

// TestAmplification guards against retries that multiply with the depth of a call while a service fails.
func TestAmplification(t *testing.T) {
	const calls = 10_000
	for _, depth := range []int{1, 11} {
		for _, failing := range []int{100, 500, 1000} {
			runs := 0
			var first *hop
			for range depth {
				first = &hop{next: first, runs: &runs}
			}
			random := rand.New(rand.NewPCG(1, uint64(depth))).IntN
			for range calls {
				first.call(random(1000) < failing, random)
			}
			t.Logf("depth %d, %d of 1000 fail: %.3f runs for each call", depth, failing, float64(runs)/calls)
			if runs > calls*12/10 {
				t.Errorf("depth %d: %d runs of %d calls", depth, runs, calls)
			}
		}
	}
}

// TestBudget guards against withdrawals that are lost or counted twice under concurrency.
func TestBudget(t *testing.T) {
	var b Budget
	var withdrawn atomic.Int64
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for range 1000 {
				b.Deposit()
				if b.TryWithdraw() {
					withdrawn.Add(1)
				}
			}
		})
	}
	group.Wait()
	// 8,000 calls earn 800 retries, and the reserve has 20.
	if n := withdrawn.Load(); n > 820 || n < 800 {
		t.Errorf("%d retries are withdrawn", n)
	}
	for b.TryWithdraw() {
	}
	b.Refund()
	if !b.CanWithdraw() || !b.TryWithdraw() || b.CanWithdraw() {
		t.Error("a refund does not restore one retry")
	}
}
