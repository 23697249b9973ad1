package roller_test

import (
	"testing"
	"time"

	"wisteriaspoke.example/mesh/roller/trial"
)

func TestTrial(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		for name, n := range map[string]trial.Model{"good": trial.Steady(0.002, 10), "bad": trial.Steady(0.2, 10), "slow": trial.Steady(0.002, 30)} {
			tr := &trial.Trial{Seed: seed, Nodes: 3, Rate: 600, Routes: map[string]float64{"a": 8, "b": 3, "c": 1},
				Old: trial.Steady(0.002, 10), New: n, Deadline: 10 * time.Minute, Settle: 20 * time.Second}
			start := time.Now()
			r := tr.Run()
			t.Log(name, seed, r.Rollout().State(), r.Took(), r.InTime(), r.Harm(), r.Reacted(), r.Stopped(), r.Faults(), r.States(), r.Rollout().Reason(), time.Since(start))
		}
	}
}
