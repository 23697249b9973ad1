package trial

import (
	"fmt"
	"time"

	"wisteriaspoke.example/mesh/head"
	"wisteriaspoke.example/mesh/rollout"
	"wisteriaspoke.example/mesh/share"
)

const (
	// verdictLimit is when no node may give a bad version calls any more.
	verdictLimit = 3 * time.Second
	// wakeLimit is the time that a thawed node has to hear of a verdict again; verdicts are repeated each second.
	wakeLimit = 1500 * time.Millisecond
	firstMost = 50
)

// oracle looks at the store after every event and keeps what breaks a promise.
type oracle struct {
	trial    *Trial
	faults   []string
	headAt   string
	objectAt string
	share    share.Share
	whole    time.Time // when the new version got all calls
	grown    int       // highest share that stood in the head
	state    rollout.State
	finished bool
	ended    time.Time
	verdict  time.Time
	states   []string
}

func newOracle(t *Trial) *oracle { return &oracle{trial: t} }

func (o *oracle) fail(format string, args ...any) {
	if len(o.faults) < 10 {
		at := o.trial.sim.Now().Sub(o.trial.asked).Round(time.Millisecond)
		o.faults = append(o.faults, fmt.Sprintf("%s: %s", at, fmt.Sprintf(format, args...)))
	}
}

// look checks the head and the rollout if they changed.
func (o *oracle) look() {
	store := o.trial.sim.Store()
	if h := store.Object(head.Plural, head.Name); h.Revision() != o.headAt {
		o.headAt = h.Revision()
		decoded, err := head.Decode(h)
		if err != nil {
			o.fail("the head is malformed: %v", err)
			return
		}
		o.checkHead(decoded)
	}
	if r := store.Object(rollout.Plural, Service); r.Revision() != o.objectAt {
		o.objectAt = r.Revision()
		o.checkRollout(o.trial.Rollout())
	}
}

func (o *oracle) checkHead(h head.Head) {
	old, s := o.share, h.Shares()[Service]
	if s == old {
		return
	}
	o.share = s
	o.checkSettle(old, s)
	lease := o.trial.lease()
	if s.Epoch() < old.Epoch() {
		o.fail("the share of epoch %d was replaced by one of epoch %d", old.Epoch(), s.Epoch())
	}
	if old.Rollout() == s.Rollout() && old.Rollout() != "" && old.Candidate() == "" {
		o.fail("the rollout ended in the head and was changed by %s", h.Writer())
	}
	if reach(s) <= reach(old) {
		return
	}
	if lease.Holder != h.Writer() || lease.Epoch != s.Epoch() {
		o.fail("%s grew the share to %d under epoch %d; the lease is held by %s under %d",
			h.Writer(), reach(s), s.Epoch(), lease.Holder, lease.Epoch)
	}
	if old.Candidate() == "" && reach(s) > firstMost {
		o.fail("the first share is %d", reach(s))
	}
	if !o.verdict.IsZero() && o.trial.sim.Now().Sub(o.verdict) > time.Second {
		o.fail("the share grew to %d after a verdict", reach(s))
	}
	o.grown = max(o.grown, reach(s))
}

// checkSettle checks that the old version could take all calls back for the whole settle time.
func (o *oracle) checkSettle(old, s share.Share) {
	now := o.trial.sim.Now()
	if reach(old) < share.FullPermille && reach(s) == share.FullPermille {
		o.whole = now
	}
	if s.Stable() == To && old.Stable() != To && now.Sub(o.whole) < o.trial.Settle {
		o.fail("the settle time was %s, not %s", now.Sub(o.whole), o.trial.Settle)
	}
}

// reach returns the part of all calls that the new version gets by a share.
func reach(s share.Share) int {
	if s.Stable() == To {
		return share.FullPermille
	}
	return s.Permille()
}

func (o *oracle) checkRollout(r rollout.Rollout) {
	if o.state == rollout.Done || o.state == rollout.TakenBack && r.State() != rollout.TakenBack {
		o.fail("the rollout went on from %q to %q", o.state, r.State())
	}
	if r.State() != o.state {
		at := o.trial.sim.Now().Sub(o.trial.asked).Seconds()
		o.states = append(o.states, fmt.Sprintf("%.1fs %s %d", at, r.State(), r.Share()))
	}
	o.state = r.State()
	if r.State() == rollout.Done && (o.share.Stable() != To || o.share.Candidate() != "") {
		o.fail("the rollout is done and the head shows %q beside %q", o.share.Stable(), o.share.Candidate())
	}
	if r.Finished() && !o.finished && r.State() != "" {
		o.finished = true
		o.ended = o.trial.sim.Now()
	}
}

// inForce checks a share that a node put in force.
func (o *oracle) inForce(node string, s share.Share) {
	if reach(s) > o.grown {
		o.fail("%s has share %d in force, which never stood", node, reach(s))
	}
}

func (o *oracle) judged(now time.Time) {
	if o.verdict.IsZero() {
		o.verdict = now
	}
}

// called checks a call that a node gave to the new version.
func (o *oracle) called(now time.Time, node string) {
	if o.verdict.IsZero() || now.Sub(o.verdict) <= verdictLimit || o.share.Stable() == To {
		return
	}
	if now.Sub(o.trial.fleet.woke[node]) <= wakeLimit {
		return
	}
	o.fail("%s gave the new version a call %s after the verdict", node, now.Sub(o.verdict))
}
