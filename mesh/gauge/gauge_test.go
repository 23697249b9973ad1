package gauge

import (
	"testing"
	"time"
)

// TestSteadyRatio guards against a speed that follows a short slow period, and against one that is not learned.
func TestSteadyRatio(t *testing.T) {
	now := time.Unix(1000, 0)
	g := New(now)
	report := func(ratio float64, d time.Duration) float64 {
		for end := now.Add(d); now.Before(end); now = now.Add(100 * time.Millisecond) {
			g.SetServiceTimeRatio(ratio)
			g.UpdateSteadyRatio(now)
		}
		return g.SteadyRatio()
	}
	if r := g.SteadyRatio(); r != 1 {
		t.Errorf("without reports the ratio is %g, want 1", r)
	}
	normal := report(1, time.Second)
	if r := report(2.5, 600*time.Millisecond); r > 1.1*normal {
		t.Errorf("a slow period of 600 ms changes the ratio from %g to %g", normal, r)
	}
	report(1, 10*time.Second)
	slow := report(4, 10*time.Second)
	fast := report(0.25, 20*time.Second)
	if slow < 1.25*normal || fast > 0.8*normal {
		t.Errorf("the ratio is %g of a slow endpoint, %g of a normal one and %g of a fast one", slow, normal, fast)
	}
}
