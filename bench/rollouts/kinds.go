package rollouts

import (
	"time"

	"wisteriaspoke.example/mesh/roller/trial"
)

const (
	nodesPerCentre = 3
	centres        = 6
	callRate       = 600 // calls a second of the service
	settle         = 10 * time.Second
	deadline       = 120 * time.Second
	tightDeadline  = 60 * time.Second
	oldFailures    = 0.002
	oldMedian      = 10 // ms
)

// kind is one kind of version with the faults around it.
type kind struct {
	name string
	good bool
	runs int
	set  func(*trial.Trial)
}

func newTrial(k kind, seed uint64, fixed bool) *trial.Trial {
	t := &trial.Trial{
		Seed: seed, Nodes: nodesPerCentre, Rate: callRate, Routes: map[string]float64{"read": 8, "confirm": 3, "upload": 1},
		Old: trial.ConstantModel(oldFailures, oldMedian), New: trial.ConstantModel(oldFailures, oldMedian),
		Deadline: deadline, Settle: settle, Baseline: fixed,
	}
	k.set(t)
	return t
}

// failing returns a model that fails with the rate while the condition holds.
func failing(rate float64, while func(trial.Call) bool) trial.Model {
	m := trial.ConstantModel(oldFailures, oldMedian)
	m.FailureProbability = func(c trial.Call) float64 {
		if while(c) {
			return rate
		}
		return oldFailures
	}
	return m
}

func storeOut(from, to time.Duration) func(*trial.Trial) {
	return func(t *trial.Trial) {
		t.At(from, func() { t.Simulator().Store().SetUnavailable(true) })
		t.At(to, func() { t.Simulator().Store().SetUnavailable(false) })
	}
}

var later = failing(0.2, func(c trial.Call) bool { return c.SinceFirstCall > 30*time.Second })

// kinds are all kinds; the numbers of runs keep the whole measurement within its time.
var kinds = []kind{
	{name: "good.comfortable", good: true, runs: 12, set: func(*trial.Trial) {}},
	{name: "good.tight", good: true, runs: 24, set: func(t *trial.Trial) { t.Deadline = tightDeadline }},
	{name: "good.holderkilled", good: true, runs: 8, set: func(t *trial.Trial) {
		t.InjectFaults = func(t *trial.Trial) { t.At(20*time.Second, func() { t.KillHolder() }) }
	}},
	{name: "good.storeout", good: true, runs: 8, set: func(t *trial.Trial) {
		t.InjectFaults = storeOut(20*time.Second, 60*time.Second)
	}},
	{name: "good.sharedtrouble", good: true, runs: 8, set: func(t *trial.Trial) {
		t.Old = failing(0.3, func(c trial.Call) bool { return c.SinceRequest > 15*time.Second && c.SinceRequest < 30*time.Second })
		t.New = t.Old
	}},
	{name: "good.troublesettling", good: true, runs: 8, set: func(t *trial.Trial) {
		t.Settle = 25 * time.Second
		t.Old = failing(0.3, func(c trial.Call) bool { return c.SinceRequest > 70*time.Second && c.SinceRequest < 78*time.Second })
		t.New = t.Old
	}},
	{name: "bad.atonce", runs: 30, set: func(t *trial.Trial) {
		t.New = failing(0.2, func(trial.Call) bool { return true })
	}},
	{name: "bad.slight", runs: 8, set: func(t *trial.Trial) {
		t.New = failing(0.03, func(trial.Call) bool { return true })
	}},
	{name: "bad.slow", runs: 30, set: func(t *trial.Trial) { t.New = trial.ConstantModel(oldFailures, 3*oldMedian) }},
	{name: "bad.later", runs: 16, set: func(t *trial.Trial) { t.New = later }},
	{name: "bad.oneroute", runs: 16, set: func(t *trial.Trial) {
		t.New = failing(0.3, func(c trial.Call) bool { return c.Route == "upload" })
	}},
	{name: "bad.load", runs: 16, set: func(t *trial.Trial) {
		t.New = failing(0.2, func(c trial.Call) bool { return c.Permille >= 250 })
	}},
	{name: "bad.wholeshare", runs: 8, set: func(t *trial.Trial) {
		t.New = failing(0.2, func(c trial.Call) bool { return c.Permille == 1000 })
	}},
	{name: "bad.settling", runs: 8, set: func(t *trial.Trial) {
		t.Settle = 25 * time.Second
		t.New = failing(0.2, func(c trial.Call) bool { return c.SinceRequest > 72*time.Second })
	}},
	{name: "bad.settlingstoreout", runs: 8, set: func(t *trial.Trial) {
		t.Settle = 25 * time.Second
		t.InjectFaults = storeOut(70*time.Second, 100*time.Second)
		t.New = failing(0.2, func(c trial.Call) bool { return c.SinceRequest > 72*time.Second })
	}},
	{name: "bad.storeout", runs: 12, set: func(t *trial.Trial) {
		t.InjectFaults = storeOut(25*time.Second, 65*time.Second)
		t.New = later
	}},
	{name: "bad.holderkilled", runs: 12, set: func(t *trial.Trial) {
		t.InjectFaults = func(t *trial.Trial) { t.At(30*time.Second, func() { t.KillHolder() }) }
		t.New = later
	}},
}
