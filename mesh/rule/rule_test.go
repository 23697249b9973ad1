package rule

import (
	"math/rand/v2"
	"testing"
)

// TestDraw guards against services that get more or less than their weight.
func TestDraw(t *testing.T) {
	r := New(Fields{Services: []WeightedService{{"a", 90}, {"b", 10}, {"c", 0}}})
	random := rand.New(rand.NewPCG(1, 2)).IntN
	got := map[string]int{}
	const draws = 100_000
	for range draws {
		got[r.PickService(random)]++
	}
	if got["c"] != 0 || got["b"] < draws*9/100 || got["b"] > draws*11/100 {
		t.Errorf("%v of %d draws, want 90, 10 and 0 in 100", got, draws)
	}
	if s := New(Fields{}).PickService(random); s != "" {
		t.Errorf("a rule without services draws %q", s)
	}
}
