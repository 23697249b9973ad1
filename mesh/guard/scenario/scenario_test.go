package scenario

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// check returns what is wrong with the result of an attack by one bad call.
func check(r Result) error {
	switch {
	case r.MaxCrashes > 2:
		return fmt.Errorf("one bad call crashed %d upstreams", r.MaxCrashes)
	case r.Completed != r.Innocents:
		return fmt.Errorf("%d of %d innocent calls have run", r.Completed, r.Innocents)
	case r.MarksLeft > 0:
		return fmt.Errorf("%d marks of innocent calls are left", r.MarksLeft)
	}
	return nil
}

func drawShape(t *rapid.T) Config {
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

// TestAttack guards against a bad call that crashes a third upstream while marks are late or repeated, and against
// innocent calls that do not run in the end or stay marked.
func TestAttack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New(rapid.Uint64().Draw(t, "seed"), drawShape(t))
		r := drawAttack(t).Run(m, 30*time.Second)
		if err := check(r); err != nil {
			t.Fatalf("%v: %+v", err, r)
		}
	})
}

// TestCulprits guards against a bad call that crashes a third upstream because others crash upstreams beside it. An
// innocent call may be refused if its only run is beside a bad call that has no mark yet.
func TestCulprits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New(rapid.Uint64().Draw(t, "seed"), drawShape(t))
		a := drawAttack(t)
		a.Culprits = rapid.IntRange(2, 5).Draw(t, "culprits")
		a.Resends = min(a.Resends, 20)
		// Callers of refused innocent calls try again for the rest of the time.
		a.Innocents = min(a.Innocents, 100)
		if r := a.Run(m, 5*time.Second); r.MaxCrashes > 2 {
			t.Fatalf("one bad call crashed %d upstreams: %+v", r.MaxCrashes, r)
		}
	})
}

// TestPlanted guards against a check that passes whatever the guard does: each planted fault must be found.
func TestPlanted(t *testing.T) {
	const seeds = 3
	attack := Attack{Culprits: 1, Resends: 100, Callers: 1, Innocents: 8000, DistinctInnocents: 400, Duration: 2 * time.Second}
	base := Config{Regions: 3, DataCentres: 2, Nodes: 3, MaxDelay: 300 * time.Millisecond}
	cases := map[string]func(*Config){
		"unguarded": func(s *Config) { s.Unguarded = true },
		"hasty":     func(s *Config) { s.AnswerAtOnce = true },
		"twice":     func(s *Config) { s.CountTwice = true },
		"keep":      func(s *Config) { s.NeverClear = true },
	}
	for name, plant := range cases {
		t.Run(name, func(t *testing.T) {
			found := 0
			for seed := range uint64(seeds) {
				s := base
				plant(&s)
				if r := attack.Run(New(seed, s), 10*time.Second); check(r) != nil {
					found++
				}
			}
			if found < seeds {
				t.Errorf("the fault was found with %d of %d seeds", found, seeds)
			}
		})
	}
	if r := attack.Run(New(1, base), 10*time.Second); check(r) != nil {
		t.Errorf("without a fault: %v: %+v", check(r), r)
	}
}
