package rule

import (
	"math/rand/v2"
	"testing"
)

// TestPickServiceFollowsWeights guards against services that get more or fewer requests than their weight implies.
func TestPickServiceFollowsWeights(t *testing.T) {
	r := New(Fields{Services: []WeightedService{{"a", 90}, {"b", 10}, {"c", 0}}})
	random := rand.New(rand.NewPCG(1, 2)).IntN
	picks := map[string]int{}
	const requests = 100_000
	for range requests {
		picks[r.PickService(random)]++
	}
	if picks["c"] != 0 || picks["b"] < requests*9/100 || picks["b"] > requests*11/100 {
		t.Errorf("%v of %d requests, want 90, 10 and 0 in 100", picks, requests)
	}
	if s := New(Fields{}).PickService(random); s != "" {
		t.Errorf("a rule without services picks %q", s)
	}
}
