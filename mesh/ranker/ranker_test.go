package ranker_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wisteriaspoke.example/mesh/ranker"
)

func init() { _ = flag.Set("rapid.seed", "1") }

// TestOwnerSince compares OwnerSince with a replay of all views: the node must have owned the key at all times
// since the returned one, or a key could run twice.
func TestOwnerSince(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		joined := map[string]time.Time{}
		view := ranker.New(joined)
		type snapshot struct {
			at     time.Time
			owners []string
		}
		var past []snapshot
		const key = "k"
		for range rapid.IntRange(1, 30).Draw(t, "changes") {
			now = now.Add(time.Second)
			n := fmt.Sprintf("n%d", rapid.IntRange(0, 6).Draw(t, "node"))
			if _, in := joined[n]; in && rapid.Bool().Draw(t, "leaves") {
				delete(joined, n)
			} else {
				joined[n] = now
			}
			view = view.WithMembers(joined, now, time.Hour)
			past = append(past, snapshot{at: now, owners: view.Owners(key)})
		}
		for n := range joined {
			since, owns := view.OwnerSince(key, n)
			if owns != slices.Contains(view.Owners(key), n) {
				t.Fatalf("%s: OwnerSince returns owner %v, Owners returns %v", n, owns, view.Owners(key))
			}
			if !owns {
				continue
			}
			for _, m := range past {
				if !m.at.Before(since) && !slices.Contains(m.owners, n) {
					t.Fatalf("%s: OwnerSince returns %v, but the node did not own the key at %v", n, since, m.at)
				}
			}
		}
	})
}

func BenchmarkRank(b *testing.B) {
	for _, size := range []int{6, 18, 100} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			joined := map[string]time.Time{}
			for i := range size {
				joined[fmt.Sprintf("10.0.0.%d:7400", i)] = time.Unix(0, 0)
			}
			r := ranker.New(joined)
			b.ReportAllocs()
			for b.Loop() {
				r.Owners("meldung/018f2f5e-7a52-7cc0-9d1c-3f1f2d6c1a55")
			}
		})
	}
}
