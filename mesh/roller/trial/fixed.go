package trial

import (
	"time"

	"wisteriaspoke.example/mesh/rollout"
	"wisteriaspoke.example/mesh/share"
)

const (
	maxFailureRate         = 0.05
	thresholdWindowSeconds = 10 // period over which the failure rate is measured
	minThresholdCalls      = 20 // calls in the window for the threshold to apply
)

// fixedSteps is the baseline: three shares for equal times, then the full share until the deadline, and a rollback when
// the failures of the last 10 s exceed 5%. It sees all calls without delay and its changes are in force within a
// second, but each change needs the store.
type fixedSteps struct {
	trial  *Trial
	totals []callTotals // at each second
	share  int
	ended  bool
}

func (f *fixedSteps) step() {
	t := f.trial
	if t.requestedAt.IsZero() || f.ended || t.sim.Store().Unavailable {
		return
	}
	f.totals = append(f.totals, t.traffic.newTotals)
	if f.exceedsThreshold() {
		f.end(rollout.TakenBack, share.New(From, "", 0, t.Rollout().ID(), 1))
		return
	}
	elapsed := t.sim.Now().Sub(t.requestedAt)
	third := (t.Deadline - t.Settle) / 3
	switch {
	case elapsed >= t.Deadline-2*time.Second:
		f.end(rollout.Done, share.New(To, "", 0, t.Rollout().ID(), 1))
	case elapsed >= 3*third:
		f.widen(share.FullPermille)
	case elapsed >= 2*third:
		f.widen(500)
	case elapsed >= third:
		f.widen(250)
	default:
		f.widen(50)
	}
}

func (f *fixedSteps) exceedsThreshold() bool {
	last := f.totals[len(f.totals)-1]
	start := f.totals[max(0, len(f.totals)-1-thresholdWindowSeconds)]
	calls, failures := last.calls-start.calls, last.failures-start.failures
	return calls >= minThresholdCalls && float64(failures) > maxFailureRate*float64(calls)
}

func (f *fixedSteps) widen(permille int) {
	if f.share != permille {
		f.share = permille
		f.setShare(share.New(From, To, permille, f.trial.Rollout().ID(), 1))
	}
}

func (f *fixedSteps) setShare(s share.Share) {
	f.trial.oracle.share = s
	for _, n := range f.trial.sim.Nodes() {
		f.trial.traffic.shares[n] = s
	}
}

func (f *fixedSteps) end(state rollout.State, s share.Share) {
	f.ended = true
	if state == rollout.TakenBack {
		f.trial.oracle.verdictReached(f.trial.sim.Now())
	}
	f.trial.sim.After(time.Second, func() {
		f.setShare(s)
		r := f.trial.Rollout().WithState(state, 0, f.trial.sim.Now(), "", "")
		f.trial.sim.Store().Put(rollout.Plural, Service, must(r.Encode()))
	})
}
