package registrar_test

import (
	"testing"
	"time"

	"wisteriaspoke.example/mesh/registrar/scenario"
)

// seeds are fixed, so that a failure can be repeated.
var seeds = []uint64{1, 2, 3, 5, 8, 13, 21, 34}

// today is the size of the two deployments.
var today = scenario.Config{Regions: 3, Nodes: 18, Services: 3}

// settle is enough for the first sets to reach every node.
const settle = 6 * time.Second

// started returns a fleet in which every node has its sets.
func started(t *testing.T, seed uint64, s scenario.Config) *scenario.Fleet {
	t.Helper()
	f := scenario.New(seed, s, nil)
	f.Simulator().Run(settle)
	return f
}

// check fails the test for what must not have happened in the fleet.
func check(t *testing.T, seed uint64, f *scenario.Fleet) {
	t.Helper()
	for _, w := range f.Violations() {
		t.Errorf("seed %d: %s", seed, w)
	}
}

// Guards against an announcement that does not reach every node.
func TestAnnouncedEverywhere(t *testing.T) {
	t.Parallel()
	for _, seed := range seeds {
		f := started(t, seed, today)
		for _, n := range f.Simulator().Nodes() {
			if got := len(f.ReadyEndpoints(n)); got != today.Nodes {
				t.Errorf("seed %d: %s sees %d ready endpoints, want %d", seed, n, got, today.Nodes)
			}
		}
		check(t, seed, f)
	}
}
