package allowance

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestBound guards against more retries than the bound allows in any window, whatever the pattern of requests: a
// second's load may arrive at once, and the number of nodes that share the bound may change.
func TestBound(t *testing.T) {
	const ratio, reserve, period = 0.14, 40.0, 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		began := time.Unix(0, 0)
		nodes := float64(rapid.IntRange(1, 20).Draw(t, "nodes"))
		b := New(ratio, reserve/nodes, period, began)
		type second struct{ requests, retries float64 }
		var seconds []second
		for i := range 40 {
			requests := rapid.IntRange(0, 200).Draw(t, "requests")
			at := began.Add(time.Duration(i) * time.Second)
			var s second
			for range requests {
				b.Deposit()
				s.requests++
				if b.TryWithdraw(at) {
					s.retries++
				}
			}
			seconds = append(seconds, s)
			if rapid.Bool().Draw(t, "resize") {
				nodes = min(20, nodes+1)
				b.SetReserve(reserve / nodes)
			}
			var window second
			for _, s := range seconds[max(0, len(seconds)-10):] {
				window.requests += s.requests
				window.retries += s.retries
			}
			// The bound promised to users is 0.2 retries a request plus a reserve of 62 for the mesh; one node has a part of it.
			if limit := 0.2*window.requests + 62; window.retries > limit {
				t.Fatalf("%v retries for %v requests in a window, at most %v", window.retries, window.requests, limit)
			}
		}
	})
}
