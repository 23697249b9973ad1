package distribution

import "testing"

// TestMeasure guards against a measurement that does not finish or exceeds its bound in the smallest fleet.
func TestMeasure(t *testing.T) {
	check := func(name string, value float64, _ string, baseline float64, _ string, size int, seed uint64, bound float64, _ string) {
		t.Logf("%s: %.1f against %.1f, size %d, seed %d", name, value, baseline, size, seed)
		if bound > 0 && value > bound {
			t.Errorf("%s: %.1f exceeds %.1f, size %d, seed %d", name, value, bound, size, seed)
		}
	}
	for _, s := range scenarios {
		measureTimes(check, s, 18)
	}
	measureLoad(check, 18)
}
