package allowance

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestBound guards against repeats beyond the bound in any window, whatever the pattern of requests: a second's load may
// come at once, and the number of nodes that share the bound may change.
func TestBound(t *testing.T) {
	const ratio, reserve, window = 0.14, 40.0, 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		begun := time.Unix(0, 0)
		nodes := float64(rapid.IntRange(1, 20).Draw(t, "nodes"))
		a := New(ratio, reserve/nodes, window, begun)
		type second struct{ requests, repeats float64 }
		var seconds []second
		for i := range 40 {
			requests := rapid.IntRange(0, 200).Draw(t, "requests")
			at := begun.Add(time.Duration(i) * time.Second)
			var s second
			for range requests {
				a.Deposit()
				s.requests++
				if a.TryWithdraw(at) {
					s.repeats++
				}
			}
			seconds = append(seconds, s)
			if rapid.Bool().Draw(t, "resize") {
				nodes = min(20, nodes+1)
				a.SetReserve(reserve / nodes)
			}
			var last second
			for _, s := range seconds[max(0, len(seconds)-10):] {
				last.requests += s.requests
				last.repeats += s.repeats
			}
			// The users' bound is 0.2 of the requests and the whole reserve of 62, of which one node has its part.
			if most := 0.2*last.requests + 62; last.repeats > most {
				t.Fatalf("%v repeats for %v requests in a window, at most %v", last.repeats, last.requests, most)
			}
		}
	})
}
