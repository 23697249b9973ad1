package rollouts

import (
	"time"

	"wisteriaspoke.example/mesh/roller/trial"
)

const (
	nodesPerDataCentre = 3
	dataCentres        = 6
	callsPerSecond     = 600 // of the service
	settleTime         = 10 * time.Second
	deadline           = 120 * time.Second
	tightDeadline      = 60 * time.Second
	oldFailureRate     = 0.002
	oldMedianMillis    = 10
)

// scenario describes a new version and the faults during its rollout.
type scenario struct {
	name      string
	good      bool
	runs      int
	configure func(*trial.Trial)
}

func newTrial(k scenario, seed uint64, baseline bool) *trial.Trial {
	t := &trial.Trial{
		Seed: seed, Nodes: nodesPerDataCentre, Rate: callsPerSecond, Routes: map[string]float64{"read": 8, "confirm": 3, "upload": 1},
		Old: trial.ConstantModel(oldFailureRate, oldMedianMillis), New: trial.ConstantModel(oldFailureRate, oldMedianMillis),
		Deadline: deadline, Settle: settleTime, Baseline: baseline,
	}
	k.configure(t)
	return t
}

// failing returns a model that fails at the given rate for calls that satisfy the condition.
func failing(rate float64, while func(trial.Call) bool) trial.Model {
	m := trial.ConstantModel(oldFailureRate, oldMedianMillis)
	m.FailureProbability = func(c trial.Call) float64 {
		if while(c) {
			return rate
		}
		return oldFailureRate
	}
	return m
}

func storeOutage(from, to time.Duration) func(*trial.Trial) {
	return func(t *trial.Trial) {
		t.At(from, func() { t.Simulator().Store().SetUnavailable(true) })
		t.At(to, func() { t.Simulator().Store().SetUnavailable(false) })
	}
}

var failsLater = failing(0.2, func(c trial.Call) bool { return c.SinceFirstCall > 30*time.Second })

// scenarios lists all scenarios; their numbers of runs limit the duration of the whole measurement.
var scenarios = []scenario{
	{name: "good.comfortable", good: true, runs: 12, configure: func(*trial.Trial) {}},
	{name: "good.tight", good: true, runs: 24, configure: func(t *trial.Trial) { t.Deadline = tightDeadline }},
	{name: "good.holderkilled", good: true, runs: 8, configure: func(t *trial.Trial) {
		t.InjectFaults = func(t *trial.Trial) { t.At(20*time.Second, func() { t.KillHolder() }) }
	}},
	{name: "good.storeout", good: true, runs: 8, configure: func(t *trial.Trial) {
		t.InjectFaults = storeOutage(20*time.Second, 60*time.Second)
	}},
	{name: "good.sharedtrouble", good: true, runs: 8, configure: func(t *trial.Trial) {
		t.Old = failing(0.3, func(c trial.Call) bool { return c.SinceRequest > 15*time.Second && c.SinceRequest < 30*time.Second })
		t.New = t.Old
	}},
	{name: "good.troublesettling", good: true, runs: 8, configure: func(t *trial.Trial) {
		t.Settle = 25 * time.Second
		t.Old = failing(0.3, func(c trial.Call) bool { return c.SinceRequest > 70*time.Second && c.SinceRequest < 78*time.Second })
		t.New = t.Old
	}},
	{name: "bad.atonce", runs: 30, configure: func(t *trial.Trial) {
		t.New = failing(0.2, func(trial.Call) bool { return true })
	}},
	{name: "bad.slight", runs: 8, configure: func(t *trial.Trial) {
		t.New = failing(0.03, func(trial.Call) bool { return true })
	}},
	{name: "bad.slow", runs: 30, configure: func(t *trial.Trial) { t.New = trial.ConstantModel(oldFailureRate, 3*oldMedianMillis) }},
	{name: "bad.later", runs: 16, configure: func(t *trial.Trial) { t.New = failsLater }},
	{name: "bad.oneroute", runs: 16, configure: func(t *trial.Trial) {
		t.New = failing(0.3, func(c trial.Call) bool { return c.Route == "upload" })
	}},
	{name: "bad.load", runs: 16, configure: func(t *trial.Trial) {
		t.New = failing(0.2, func(c trial.Call) bool { return c.Permille >= 250 })
	}},
	{name: "bad.wholeshare", runs: 8, configure: func(t *trial.Trial) {
		t.New = failing(0.2, func(c trial.Call) bool { return c.Permille == 1000 })
	}},
	{name: "bad.settling", runs: 8, configure: func(t *trial.Trial) {
		t.Settle = 25 * time.Second
		t.New = failing(0.2, func(c trial.Call) bool { return c.SinceRequest > 72*time.Second })
	}},
	{name: "bad.settlingstoreout", runs: 8, configure: func(t *trial.Trial) {
		t.Settle = 25 * time.Second
		t.InjectFaults = storeOutage(70*time.Second, 100*time.Second)
		t.New = failing(0.2, func(c trial.Call) bool { return c.SinceRequest > 72*time.Second })
	}},
	{name: "bad.storeout", runs: 12, configure: func(t *trial.Trial) {
		t.InjectFaults = storeOutage(25*time.Second, 65*time.Second)
		t.New = failsLater
	}},
	{name: "bad.holderkilled", runs: 12, configure: func(t *trial.Trial) {
		t.InjectFaults = func(t *trial.Trial) { t.At(30*time.Second, func() { t.KillHolder() }) }
		t.New = failsLater
	}},
}
