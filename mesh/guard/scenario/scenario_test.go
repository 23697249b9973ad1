package scenario

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// checkResult returns an error if the result of an attack with one culprit is wrong.
func checkResult(r Result) error {
	switch {
	case r.MaxCrashes > 2:
		return fmt.Errorf("one culprit crashed %d upstreams", r.MaxCrashes)
	case r.Completed != r.Innocents:
		return fmt.Errorf("%d of %d innocent calls have completed", r.Completed, r.Innocents)
	case r.MarksLeft > 0:
		return fmt.Errorf("%d marks of innocent calls are left", r.MarksLeft)
	}
	return nil
}

func drawConfig(t *rapid.T) Config {
	return Config{
		Regions: rapid.IntRange(1, 3).Draw(t, "regions"), DataCentres: rapid.IntRange(1, 2).Draw(t, "centres"),
		Nodes:            rapid.IntRange(1, 4).Draw(t, "nodes"),
		MaxDelay:         time.Duration(rapid.SampledFrom([]int{0, 30, 300, 900}).Draw(t, "late")) * time.Millisecond,
		DuplicatePercent: rapid.SampledFrom([]int{0, 20}).Draw(t, "repeated"),
	}
}

func drawAttack(t *rapid.T) Attack {
	return Attack{
		Culprits: 1,
		Resends:  rapid.IntRange(1, 100).Draw(t, "resends"), Callers: rapid.IntRange(1, 4).Draw(t, "callers"),
		Innocents: rapid.IntRange(1, 1000).Draw(t, "innocents"), DistinctInnocents: rapid.IntRange(1, 300).Draw(t, "names"),
		Duration: time.Duration(rapid.IntRange(1, 4).Draw(t, "span")) * time.Second,
	}
}

// TestAttack guards against a culprit that crashes a third upstream while messages are delayed or duplicated, and
// against innocent calls that never complete or stay marked.
func TestAttack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New(rapid.Uint64().Draw(t, "seed"), drawConfig(t))
		r := drawAttack(t).Run(m, 30*time.Second)
		if err := checkResult(r); err != nil {
			t.Fatalf("%v: %+v", err, r)
		}
	})
}

// TestCulprits guards against a culprit that crashes a third upstream because other culprits crash upstreams at the
// same time. Innocent calls are not checked, as one may be refused if it runs beside a culprit that has no mark yet.
func TestCulprits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New(rapid.Uint64().Draw(t, "seed"), drawConfig(t))
		a := drawAttack(t)
		a.Culprits = rapid.IntRange(2, 5).Draw(t, "culprits")
		a.Resends = min(a.Resends, 20)
		// Callers of refused innocent calls retry until the end of the test.
		a.Innocents = min(a.Innocents, 100)
		if r := a.Run(m, 5*time.Second); r.MaxCrashes > 2 {
			t.Fatalf("one culprit crashed %d upstreams: %+v", r.MaxCrashes, r)
		}
	})
}

// TestPlantedFaults guards against a checkResult that finds nothing: it must find each planted fault.
func TestPlantedFaults(t *testing.T) {
	const seeds = 3
	attack := Attack{Culprits: 1, Resends: 100, Callers: 1, Innocents: 8000, DistinctInnocents: 400, Duration: 2 * time.Second}
	base := Config{Regions: 3, DataCentres: 2, Nodes: 3, MaxDelay: 300 * time.Millisecond}
	cases := map[string]func(*Config){
		"unguarded":           func(c *Config) { c.Unguarded = true },
		"answers at once":     func(c *Config) { c.AnswerAtOnce = true },
		"crashes count twice": func(c *Config) { c.CountTwice = true },
		"marks never cleared": func(c *Config) { c.NeverClear = true },
	}
	for name, plant := range cases {
		t.Run(name, func(t *testing.T) {
			found := 0
			for seed := range uint64(seeds) {
				c := base
				plant(&c)
				if r := attack.Run(New(seed, c), 10*time.Second); checkResult(r) != nil {
					found++
				}
			}
			if found < seeds {
				t.Errorf("the fault was found with %d of %d seeds", found, seeds)
			}
		})
	}
	if r := attack.Run(New(1, base), 10*time.Second); checkResult(r) != nil {
		t.Errorf("without a fault: %v: %+v", checkResult(r), r)
	}
}
