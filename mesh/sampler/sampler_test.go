package sampler

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestDraw guards against a drawn candidate that is worse than allowed, farther away than the best of the sample, or not
// healthy although its group has healthy ones, and against no candidate where one was offered.
func TestDraw(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Sampler{Best: rapid.IntRange(1, 10).Draw(t, "best"), Near: time.Duration(rapid.IntRange(0, 50).Draw(t, "near"))}
		s.Random = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)).IntN
		for i := range s.Sizes {
			s.Sizes[i] = rapid.IntRange(1, 10).Draw(t, "size")
		}
		type offered struct {
			group   int
			healthy bool
			score   time.Duration
		}
		var all []offered
		healthy := [Groups]bool{}
		for i := range rapid.IntRange(0, 30).Draw(t, "candidates") {
			o := offered{group: rapid.IntRange(0, Groups-1).Draw(t, "group"), healthy: rapid.Bool().Draw(t, "healthy")}
			o.score = time.Duration(rapid.IntRange(0, 100).Draw(t, "score"))
			all = append(all, o)
			healthy[o.group] = healthy[o.group] || o.healthy
			s.Offer(o.group, i, o.healthy, o.score)
		}
		drawn, other := s.Draw()
		if len(all) == 0 {
			if drawn != Nobody || other != Nobody {
				t.Fatal("a candidate was drawn of none")
			}
			return
		}
		if drawn == Nobody || drawn == other {
			t.Fatalf("drawn %d, other %d of %d candidates", drawn, other, len(all))
		}
		for _, i := range []int{drawn, other} {
			if i != Nobody && !all[i].healthy && healthy[all[i].group] {
				t.Fatalf("candidate %d is not healthy while others of its group are", i)
			}
		}
		if other != Nobody && all[drawn].score > all[other].score &&
			(all[drawn].score-all[other].score > s.Near || all[drawn].group > all[other].group) {
			t.Fatalf("drawn %v, other %v, near %d", all[drawn], all[other], s.Near)
		}
	})
}

// TestEvenDraw guards against a sample that prefers candidates by their place in the list: each of 40 equal ones must be
// drawn about as often as the others.
func TestEvenDraw(t *testing.T) {
	const candidates, draws = 40, 40000
	random := rand.New(rand.NewPCG(1, 1)).IntN
	counts := make([]int, candidates)
	for range draws {
		s := Sampler{Sizes: [Groups]int{0, 3}, Best: 2, Random: random}
		for i := range candidates {
			s.Offer(1, i, true, time.Second)
		}
		drawn, _ := s.Draw()
		counts[drawn]++
	}
	for i, n := range counts {
		if n < draws/candidates*8/10 || n > draws/candidates*12/10 {
			t.Errorf("candidate %d was drawn %d times, want about %d", i, n, draws/candidates)
		}
	}
}
