package relayer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// mixSeeds is the number of fixed seeds of the random mix.
const mixSeeds = 60

// failures are pairs of a step that causes a failure and one that ends it.
var failures = [][2]string{
	{"kill relay obb-a 0", "restart"},
	{"kill relay mfr-b 1", "restart"},
	{"kill relays swb-a", "restart"},
	{"kill half", "restart"},
	{"kill centre obb-a", "restart"},
	{"freeze gateway mfr", "thaw"},
	{"freeze gateway obb", "thaw"},
	{"cut swb", "heal"},
	{"cut obb", "heal"},
	{"store out", "store in"},
	{"lose 0.3", "lose 0"},
	{"kill all", "restart"},
}

// mixSteps returns a scenario with two overlapping failures among accepted versions.
func mixSteps(seed uint64) []string {
	rand := rand.New(rand.NewPCG(seed, 7))
	first, second := failures[rand.IntN(len(failures))], failures[rand.IntN(len(failures))]
	pause := func(most time.Duration) string { return fmt.Sprint("run ", time.Duration(rand.Int64N(int64(most)))) }
	return []string{
		"accept", pause(600 * time.Millisecond), first[0], pause(8 * time.Second), "accept", pause(400 * time.Millisecond),
		second[0], pause(12 * time.Second), first[1], pause(5 * time.Second), second[1], "restart", "thaw", "heal",
		"store in", "lose 0", "run 5s", "accept", "converge 20s", "run 12s", "leases", "accept", "converge 2s",
	}
}

// TestMix guards against two failures that are survived alone but not together.
func TestMix(t *testing.T) {
	for seed := uint64(1); seed <= mixSeeds; seed++ {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, seed, nil)
			f.converge(15 * time.Second)
			f.sim.Run(5 * time.Second)
			steps := mixSteps(seed)
			for _, s := range steps {
				f.perform(s)
			}
			f.finish()
			if t.Failed() {
				t.Log(steps)
			}
		})
	}
}
