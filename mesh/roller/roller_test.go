package roller_test

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"wisteriaspoke.example/mesh/effect"
	"wisteriaspoke.example/mesh/event"
	"wisteriaspoke.example/mesh/machine"
	"wisteriaspoke.example/mesh/roller/trial"
)

// trialSlots limits the number of trials that run at the same time, since the machine is shared.
var trialSlots = make(chan struct{}, 4)

// seeds is the number of fixed seeds for each scenario.
var seeds = flag.Uint64("seeds", defaultSeeds, "fixed seeds for each scenario")

const (
	ampleDeadline = 120 * time.Second
	tightDeadline = 60 * time.Second
)

func newTrial(seed uint64) *trial.Trial {
	return &trial.Trial{
		Seed: seed, Nodes: 3, Rate: 600, Routes: map[string]float64{"read": 8, "confirm": 3, "upload": 1},
		Old: trial.ConstantModel(0.002, 10), New: trial.ConstantModel(0.002, 10),
		Deadline: ampleDeadline, Settle: 10 * time.Second,
	}
}

// failing returns a model that fails with the rate while the condition holds.
func failing(rate float64, while func(trial.Call) bool) trial.Model {
	m := trial.ConstantModel(0.002, 10)
	m.FailureProbability = func(c trial.Call) float64 {
		if while(c) {
			return rate
		}
		return 0.002
	}
	return m
}

func always(trial.Call) bool { return true }

func between(from, to time.Duration) func(trial.Call) bool {
	return func(c trial.Call) bool { return c.SinceRequest >= from && c.SinceRequest < to }
}

// scenario is a rollout with the outcome that is required for every seed.
type scenario struct {
	name   string
	setUp  func(*trial.Trial)
	done   bool   // otherwise the rollout must be taken back
	reason string // required part of the final reason
}

func (s scenario) run(t *testing.T, seed uint64) trial.Report {
	tr := newTrial(seed)
	s.setUp(tr)
	trialSlots <- struct{}{}
	r := tr.Run()
	<-trialSlots
	where := fmt.Sprintf("%s, seed %d (%s)", s.name, seed, strings.Join(r.StateHistory(), ", "))
	t.Logf("%s: harm %.4f reacted %s stopped %s verdict %v: %s",
		where, r.HarmedShare(), r.ReactionTime(), r.VerdictToLastCall(), r.HasVerdict(), r.Rollout().Reason())
	for _, f := range r.Violations() {
		t.Errorf("%s: %s", where, f)
	}
	switch {
	case s.done && !r.DoneInTime():
		t.Errorf("%s: got %q after %s, want done in time: %s", where, r.Rollout().State(), r.Duration(), r.Rollout().Reason())
	case !s.done && !r.TakenBack():
		t.Errorf("%s: got %q after %s, want taken back", where, r.Rollout().State(), r.Duration())
	case !strings.Contains(r.Rollout().Reason(), s.reason):
		t.Errorf("%s: got reason %q, want %q in it", where, r.Rollout().Reason(), s.reason)
	}
	return r
}

func (s scenario) runAll(t *testing.T, check func(*testing.T, trial.Report)) {
	for seed := uint64(1); seed <= *seeds; seed++ {
		t.Run(fmt.Sprintf("%s/%d", s.name, seed), func(t *testing.T) {
			t.Parallel()
			r := s.run(t, seed)
			if check != nil {
				check(t, r)
			}
		})
	}
}

// Guards against good versions that miss their deadline because of slow evidence or a verdict caused by noise.
func TestGoodVersionsAreDone(t *testing.T) {
	for _, s := range []scenario{
		{name: "comfortable deadline", done: true, setUp: func(*trial.Trial) {}},
		{name: "tight deadline", done: true, setUp: func(t *trial.Trial) { t.Deadline = tightDeadline }},
		{name: "another preset", done: true, setUp: func(t *trial.Trial) {
			t.InjectFaults = func(t *trial.Trial) {
				t.At(15*time.Second, func() { t.SwitchPreset("peak") })
				t.At(40*time.Second, func() { t.SwitchPreset("everyday") })
			}
		}},
		{name: "upstreams appear late", done: true, setUp: func(t *trial.Trial) { t.AnnounceAfter = 25 * time.Second }},
		{name: "trouble on both sides", done: true, setUp: func(t *trial.Trial) {
			t.Old = failing(0.3, between(15*time.Second, 30*time.Second))
			t.New = t.Old
		}},
		{name: "trouble on both sides while settling", done: true, setUp: func(t *trial.Trial) {
			t.Deadline = 200 * time.Second
			t.Old = failing(0.3, between(124*time.Second, 132*time.Second))
			t.New = t.Old
			t.Settle = 20 * time.Second
		}},
		{name: "both sides slow", done: true, setUp: func(t *trial.Trial) {
			m := trial.ConstantModel(0.002, 10)
			m.MedianLatency = func(c trial.Call) float64 {
				if between(15*time.Second, 30*time.Second)(c) {
					return 40
				}
				return 10
			}
			t.Old, t.New = m, m
		}},
	} {
		s.runAll(t, func(t *testing.T, r trial.Report) {
			if r.HasVerdict() {
				t.Errorf("a verdict was reached on a good version")
			}
		})
	}
}

// Guards against bad versions that stay in force, or harm more than 1% of the service's calls up to the deadline.
func TestBadVersionsAreTakenBack(t *testing.T) {
	for _, s := range []scenario{
		{name: "fails at once", setUp: func(t *trial.Trial) { t.New = failing(0.2, always) }},
		{name: "fails all calls", setUp: func(t *trial.Trial) { t.New = failing(1, always) }},
		{name: "slow at once", reason: "slower", setUp: func(t *trial.Trial) { t.New = trial.ConstantModel(0.002, 30) }},
		{name: "fails later", setUp: func(t *trial.Trial) {
			t.New = failing(0.2, func(c trial.Call) bool { return c.SinceFirstCall > 30*time.Second })
		}},
		{name: "fails at the whole share", setUp: func(t *trial.Trial) {
			t.New = failing(0.2, func(c trial.Call) bool { return c.Permille == 1000 })
		}},
		{name: "fails while settling", setUp: func(t *trial.Trial) {
			t.Settle = 20 * time.Second
			t.New = failing(0.2, between(72*time.Second, time.Hour))
		}},
		{name: "fails while settling with the store out", setUp: func(t *trial.Trial) {
			t.Settle = 20 * time.Second
			t.New = failing(0.2, between(72*time.Second, time.Hour))
			t.InjectFaults = func(t *trial.Trial) {
				t.At(71*time.Second, func() { t.Simulator().Store().SetUnavailable(true) })
				t.At(90*time.Second, func() { t.Simulator().Store().SetUnavailable(false) })
			}
		}},
		{name: "fails one route", reason: "route upload", setUp: func(t *trial.Trial) {
			t.New = failing(0.3, func(c trial.Call) bool { return c.Route == "upload" })
		}},
		{name: "fails under load", setUp: func(t *trial.Trial) {
			t.New = failing(0.2, func(c trial.Call) bool { return c.Permille >= 250 })
		}},
	} {
		s.runAll(t, func(t *testing.T, r trial.Report) {
			if r.ReactionTime() > 3*time.Second {
				t.Errorf("the last call came %s after the evidence", r.ReactionTime())
			}
		})
	}
}

// pauseHolder pauses the node that holds the lease.
func pauseHolder(t *trial.Trial, at, pause time.Duration) {
	t.At(at, func() {
		h := t.LeaseHolder()
		if h == "" {
			return
		}
		t.Pause(h)
		t.Simulator().After(pause, func() { t.Resume(h) })
	})
}

// Guards against rollouts that stop, end wrongly or have two writers when the holder fails.
func TestHolderFails(t *testing.T) {
	fails := func(at time.Duration) func(*trial.Trial) {
		return func(t *trial.Trial) {
			t.InjectFaults = func(t *trial.Trial) { t.At(at, t.KillHolder) }
		}
	}
	for _, s := range []scenario{
		{name: "killed at the canary share", done: true, setUp: fails(8 * time.Second)},
		{name: "killed while widening", done: true, setUp: fails(35 * time.Second)},
		{name: "killed while settling", done: true, setUp: fails(74 * time.Second)},
		{name: "killed with a bad version", setUp: func(t *trial.Trial) {
			fails(2 * time.Second)(t)
			t.New = failing(0.2, always)
		}},
		{name: "frozen past its lease", done: true, setUp: func(t *trial.Trial) {
			t.InjectFaults = func(t *trial.Trial) { pauseHolder(t, 14*time.Second, 9*time.Second) }
		}},
		{name: "frozen again and again", done: true, setUp: func(t *trial.Trial) {
			t.Deadline = 200 * time.Second
			t.InjectFaults = func(t *trial.Trial) {
				for i := range 5 {
					pauseHolder(t, time.Duration(10+15*i)*time.Second, 5*time.Second)
				}
			}
		}},
	} {
		s.runAll(t, nil)
	}
}

// Guards against two holders, and against a rollout that stops, when gateways race repeatedly for the lease while
// replies are lost, and while operators keep writing the head.
func TestHoldersRace(t *testing.T) {
	for _, s := range []scenario{
		{name: "racing with lost answers", done: true, setUp: func(t *trial.Trial) {
			t.Deadline = 200 * time.Second
			t.InjectFaults = func(t *trial.Trial) {
				t.Simulator().Store().AnswerLossRate = 0.5
				for i := range 6 {
					pauseHolder(t, time.Duration(3+12*i)*time.Second, 4*time.Second)
				}
			}
		}},
		{name: "racing for a bad version", setUp: func(t *trial.Trial) {
			t.InjectFaults = func(t *trial.Trial) {
				t.Simulator().Store().AnswerLossRate = 0.5
				for i := range 6 {
					pauseHolder(t, time.Duration(1+4*i)*time.Second, 3500*time.Millisecond)
				}
			}
			t.New = failing(0.2, always)
		}},
		{name: "presets all the time", done: true, setUp: func(t *trial.Trial) {
			t.InjectFaults = func(t *trial.Trial) {
				for i := range 300 {
					t.At(time.Duration(i)*300*time.Millisecond, func() { t.SwitchPreset(fmt.Sprintf("p%d", i)) })
				}
			}
		}},
		{name: "region cut off", done: true, setUp: func(t *trial.Trial) {
			t.InjectFaults = func(t *trial.Trial) {
				cut := ""
				t.Simulator().Partitioned = func(a, b string) bool { return a != b && (a == cut || b == cut) }
				t.At(10*time.Second, func() { cut = "swb" })
				t.At(30*time.Second, func() { cut = "mfr" })
				t.At(50*time.Second, func() { cut = "" })
			}
		}},
	} {
		s.runAll(t, nil)
	}
}

// Guards against a number of store calls that grows with the number of nodes.
func TestStoreCallsDoNotGrowWithNodes(t *testing.T) {
	calls := func(nodes int) int64 {
		tr := newTrial(1)
		tr.Nodes, tr.Deadline = nodes, tightDeadline
		if r := tr.Run(); !r.DoneInTime() {
			t.Fatalf("%d nodes for each data centre: %s", nodes, r.Rollout().Reason())
		}
		return tr.Simulator().Store().Reads + tr.Simulator().Store().Writes
	}
	few, many := calls(3), calls(12)
	t.Logf("%d calls with 18 nodes, %d with 72", few, many)
	if many > few+few/10 {
		t.Errorf("%d calls with 18 nodes, %d with 72", few, many)
	}
}

// Guards against shares that grow during a store outage, and against verdicts that need the store.
func TestStoreFails(t *testing.T) {
	out := func(from, to time.Duration) func(*trial.Trial) {
		return func(t *trial.Trial) {
			t.At(from, func() { t.Simulator().Store().SetUnavailable(true) })
			t.At(to, func() { t.Simulator().Store().SetUnavailable(false) })
		}
	}
	loses := func(t *trial.Trial) { t.Simulator().Store().AnswerLossRate = 0.3 }
	for _, s := range []scenario{
		{name: "out for a third of the time", done: true, setUp: func(t *trial.Trial) {
			t.InjectFaults = out(20*time.Second, 60*time.Second)
		}},
		{name: "out while a version turns bad", setUp: func(t *trial.Trial) {
			t.InjectFaults = out(20*time.Second, 60*time.Second)
			t.New = failing(0.2, func(c trial.Call) bool { return c.SinceFirstCall > 30*time.Second })
		}},
		{name: "out and holder killed while a version turns bad", setUp: func(t *trial.Trial) {
			t.InjectFaults = func(t *trial.Trial) {
				out(20*time.Second, 60*time.Second)(t)
				t.At(25*time.Second, func() { t.KillHolder() })
			}
			t.New = failing(0.2, func(c trial.Call) bool { return c.SinceFirstCall > 30*time.Second })
		}},
		{name: "loses answers", done: true, setUp: func(t *trial.Trial) { t.InjectFaults = loses }},
		{name: "loses answers for a bad version", setUp: func(t *trial.Trial) {
			t.InjectFaults = loses
			t.New = failing(0.2, always)
		}},
	} {
		s.runAll(t, nil)
	}
}

// Guards against a cancelled rollout that continues, and a rollout without upstreams or enough calls that never ends.
func TestEndsWithoutVerdict(t *testing.T) {
	for _, s := range []scenario{
		{name: "cancelled", reason: "operator", setUp: func(t *trial.Trial) {
			t.InjectFaults = func(t *trial.Trial) { t.At(30*time.Second, func() { t.CancelRollout() }) }
		}},
		{name: "no upstreams", reason: "no upstream", setUp: func(t *trial.Trial) {
			t.Deadline, t.AnnounceAfter = tightDeadline, time.Hour
		}},
		{name: "deadline too close", reason: "out of time", setUp: func(t *trial.Trial) { t.Deadline = 25 * time.Second }},
		{name: "too few calls", reason: "out of time", setUp: func(t *trial.Trial) { t.Rate = 10 }},
	} {
		s.runAll(t, nil)
	}
}

// Guards against a share that stays in force for ever when its rollout object is deleted.
func TestDeletedRolloutIsTakenBack(t *testing.T) {
	tr := newTrial(1)
	tr.InjectFaults = func(t *trial.Trial) { t.At(30*time.Second, t.DeleteRollout) }
	r := tr.Run()
	if s := r.Share(); s.Stable() != trial.From || s.Candidate() != "" || s.Rollout() == "" {
		t.Errorf("the head shows %q beside %q", s.Stable(), s.Candidate())
	}
	for _, f := range r.Violations() {
		t.Error(f)
	}
}

// pausedMachine stops a machine's clock while its node is paused, as on a suspended virtual machine. The node then does
// not notice that its lease has expired, and only the epoch in the head prevents its writes.
type pausedMachine struct {
	machine    machine.Machine
	lost       *time.Duration
	hideEpochs bool // removes epochs from the head, as if the epoch check were missing
}

func (s pausedMachine) Step(now time.Time, e event.Event) []effect.Effect {
	if s.hideEpochs {
		e = withoutEpochs(e)
	}
	return s.machine.Step(now.Add(-*s.lost), e)
}

func stopClockOfHolder(hideEpochs bool) func(*trial.Trial) {
	return func(t *trial.Trial) {
		lost := map[string]*time.Duration{}
		t.Wrap = func(c machine.Config, m machine.Machine) machine.Machine {
			lost[c.Node] = new(time.Duration)
			return pausedMachine{machine: m, lost: lost[c.Node], hideEpochs: hideEpochs}
		}
		t.InjectFaults = func(t *trial.Trial) {
			for i := range 6 {
				at, pause := time.Duration(4+9*i)*time.Second, 6*time.Second
				t.At(at, func() {
					h := t.LeaseHolder()
					if h == "" {
						return
					}
					t.Pause(h)
					t.Simulator().After(pause, func() {
						*lost[h] += pause
						t.Resume(h)
					})
				})
			}
		}
	}
}

// Guards against two holders whose writes both take effect.
func TestHolderWhoseClockStoodStill(t *testing.T) {
	s := scenario{name: "clock stood still", done: true, setUp: func(t *trial.Trial) {
		stopClockOfHolder(false)(t)
		t.Deadline = 200 * time.Second
	}}
	s.runAll(t, nil)
}
