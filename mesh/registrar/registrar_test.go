package registrar_test

import (
	"testing"
	"time"

	"wisteriaspoke.example/mesh/registrar/scenario"
)

// seeds are fixed, so that a failure can be reproduced.
var seeds = []uint64{1, 2, 3, 5, 8, 13, 21, 34}

// deployed is the size of the two deployments.
var deployed = scenario.Config{Regions: 3, Nodes: 18, Services: 3}

// settle is enough for the first sets to reach every node.
const settle = 6 * time.Second

// startFleet returns a fleet in which every node has its sets.
func startFleet(t *testing.T, seed uint64, s scenario.Config) *scenario.Fleet {
	t.Helper()
	f := scenario.New(seed, s, nil)
	f.Simulator().Run(settle)
	return f
}

// checkViolations fails the test for each violation in the fleet.
func checkViolations(t *testing.T, seed uint64, f *scenario.Fleet) {
	t.Helper()
	for _, w := range f.Violations() {
		t.Errorf("seed %d: %s", seed, w)
	}
}

// Guards against an announcement that does not reach every node.
func TestAnnouncedEverywhere(t *testing.T) {
	t.Parallel()
	for _, seed := range seeds {
		f := startFleet(t, seed, deployed)
		for _, n := range f.Simulator().Nodes() {
			if got := len(f.ReadyEndpoints(n)); got != deployed.Nodes {
				t.Errorf("seed %d: %s sees %d ready endpoints, want %d", seed, n, got, deployed.Nodes)
			}
		}
		checkViolations(t, seed, f)
	}
}
