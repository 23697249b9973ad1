package crashes

import "testing"

// TestMeasure guards against figures beyond their bounds, and against a comparison in which nothing crashes.
func TestMeasure(t *testing.T) {
	count := 0
	Measure(func(name string, value float64, _ string, baseline float64, _ string, size int, seed uint64, bound float64, _ string) {
		count++
		t.Logf("%s at %d nodes, seed %d: %g, without the guard %g", name, size, seed, value, baseline)
		if bound > 0 && (value > bound || baseline <= bound) {
			t.Errorf("%s at %d nodes, seed %d: %g, without the guard %g, bound %g", name, size, seed, value, baseline, bound)
		}
		if name == "crashes_refused" && value > 0 {
			t.Errorf("%s at %d nodes: %g %% of innocent calls", name, size, value)
		}
	})
	if count != 18 {
		t.Errorf("%d figures", count)
	}
}
