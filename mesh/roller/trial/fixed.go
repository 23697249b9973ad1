package trial

import (
	"time"

	"wisteriaspoke.example/mesh/rollout"
	"wisteriaspoke.example/mesh/share"
)

const (
	fixedThreshold = 0.05
	fixedWindow    = 10 // seconds of calls that the threshold looks at
	fixedLeast     = 20 // calls in the window from which it applies
)

// fixed is the baseline: the first three shares for equal times, then the whole until the deadline; back when the
// failures of the last 10 s exceed 5%. It sees all calls at once and its changes are in force within a second, but it
// needs the store for each.
type fixed struct {
	trial *Trial
	past  []tally // totals at each second
	share int
	ended bool
}

func (f *fixed) step() {
	t := f.trial
	if t.asked.IsZero() || f.ended || t.sim.Store().Unavailable {
		return
	}
	f.past = append(f.past, t.traffic.fresh)
	if f.bad() {
		f.end(rollout.TakenBack, share.New(From, "", 0, t.Rollout().ID(), 1))
		return
	}
	elapsed := t.sim.Now().Sub(t.asked)
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

func (f *fixed) bad() bool {
	last := f.past[len(f.past)-1]
	start := f.past[max(0, len(f.past)-1-fixedWindow)]
	calls, failures := last.calls-start.calls, last.failures-start.failures
	return calls >= fixedLeast && float64(failures) > fixedThreshold*float64(calls)
}

func (f *fixed) widen(permille int) {
	if f.share != permille {
		f.share = permille
		f.put(share.New(From, To, permille, f.trial.Rollout().ID(), 1))
	}
}

func (f *fixed) put(s share.Share) {
	f.trial.oracle.share = s
	for _, n := range f.trial.sim.Nodes() {
		f.trial.traffic.shares[n] = s
	}
}

func (f *fixed) end(state rollout.State, s share.Share) {
	f.ended = true
	if state == rollout.TakenBack {
		f.trial.oracle.judged(f.trial.sim.Now())
	}
	f.trial.sim.After(time.Second, func() {
		f.put(s)
		r := f.trial.Rollout().WithState(state, 0, f.trial.sim.Now(), "", "")
		f.trial.sim.Store().Put(rollout.Plural, Service, must(r.Encode()))
	})
}
