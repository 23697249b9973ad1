package roller_test

import (
	"strings"
	"testing"
	"time"

	"wisteriaspoke.example/mesh/roller/trial"
)

// Guards against a status that does not show operators what a rollout waits for, or shows too late that it may miss its
// deadline.
func TestStatusSaysWhatComesNext(t *testing.T) {
	for _, c := range []struct {
		name string
		set  func(*trial.Trial)
		at   time.Duration
		next string
	}{
		{
			"no upstreams", func(t *trial.Trial) { t.AnnounceAfter = time.Hour }, 10 * time.Second,
			"waiting for upstreams of version v2",
		},
		{"evidence", func(*trial.Trial) {}, 8 * time.Second, "more calls of the new version"},
		{"too few calls", func(t *trial.Trial) { t.Rate = 10 }, 15 * time.Second, "is not safe"},
		{"settling", func(*trial.Trial) {}, 78 * time.Second, "done in"},
	} {
		t.Run(c.name, func(t *testing.T) {
			tr := newTrial(1)
			c.set(tr)
			var next string
			tr.InjectFaults = func(tr *trial.Trial) {
				tr.At(c.at, func() { next = tr.Rollout().NextStep() })
			}
			tr.Run()
			if !strings.Contains(next, c.next) {
				t.Errorf("got %q, want %q in it", next, c.next)
			}
		})
	}
}

// Guards against control traffic of a rollout above the limits of 1 KB/s for a node and 12 KB/s for a relay. Relays are
// measured separately, since they forward sums five times a second at the full share.
func TestControlBytes(t *testing.T) {
	tr := newTrial(1)
	start := time.Duration(0)
	tr.InjectFaults = func(tr *trial.Trial) { tr.At(start, tr.Simulator().ResetCounts) }
	r := tr.Run()
	seconds := (r.Duration() + 5*time.Second).Seconds()
	worst := map[bool]float64{}
	for _, n := range tr.Simulator().Nodes() {
		relay := !strings.HasSuffix(n, "02")
		worst[relay] = max(worst[relay], float64(tr.Simulator().Bytes(n))/seconds)
	}
	t.Logf("bytes a second: node %.0f, relay %.0f", worst[false], worst[true])
	if worst[false] > 1000 || worst[true] > 12000 {
		t.Errorf("bytes a second: node %.0f, relay %.0f", worst[false], worst[true])
	}
}
