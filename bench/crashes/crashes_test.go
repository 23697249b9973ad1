package crashes

import "testing"

// TestMeasure guards against figures beyond their bounds, and against a baseline without crashes. Only the bench
// measures the largest mesh, which takes minutes with the race detector.
func TestMeasure(t *testing.T) {
	count := 0
	measure(func(name string, value float64, _ string, baseline float64, _ string, size int, seed uint64, bound float64, _ string) {
		count++
		t.Logf("%s at %d nodes, seed %d: %g, without the guard %g", name, size, seed, value, baseline)
		if bound > 0 && (value > bound || baseline <= bound) {
			t.Errorf("%s at %d nodes, seed %d: %g, without the guard %g, bound %g", name, size, seed, value, baseline, bound)
		}
		if name == "crashes_refused" && value > 0 {
			t.Errorf("%s at %d nodes: %g %% of innocent calls", name, size, value)
		}
	}, meshSizes[:2], 2)
	if count != 12 {
		t.Errorf("%d figures", count)
	}
}
