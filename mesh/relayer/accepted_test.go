package relayer

import (
	"testing"
	"time"
)

// TestAccepted guards against a version that does not reach every node in time.
func TestAccepted(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		f := newFleet(t, seed, nil)
		first := f.converge(15 * time.Second)
		f.sim.Run(5 * time.Second)
		f.accept(nil)
		t.Log(seed, first, f.converge(2*time.Second))
		f.finish()
	}
}
