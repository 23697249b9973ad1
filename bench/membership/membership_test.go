package membership

import "testing"

// Guards against a departure that takes longer than guarantee P8 allows in a fleet of 256 nodes.
func TestDeparturesWithinBound(t *testing.T) {
	seen := 0
	for _, killed := range []bool{false, true} {
		measureDepartures(func(name string, value float64, _ string, _ float64, _ string, _ int, seed uint64, bound float64, _ string) {
			seen++
			if value <= 0 || value > bound {
				t.Errorf("%s with seed %d: %v, bound %v", name, seed, value, bound)
			}
		}, 256, 4, killed)
	}
	if seen != 4 {
		t.Errorf("%d figures, want 4", seen)
	}
}
