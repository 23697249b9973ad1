package trial

import (
	"fmt"
	"time"

	"wisteriaspoke.example/mesh/head"
	"wisteriaspoke.example/mesh/rollout"
	"wisteriaspoke.example/mesh/share"
)

const (
	// verdictLimit is the time after a verdict by which no node may send calls to the bad version.
	verdictLimit = 3 * time.Second
	// resumeLimit is the time that a resumed node has to receive the verdict, which is resent each second.
	resumeLimit      = 1500 * time.Millisecond
	maxFirstPermille = 50
)

// oracle checks the store after every event and records violations of the rollout's guarantees.
type oracle struct {
	trial           *Trial
	violations      []string
	headRevision    string
	rolloutRevision string
	share           share.Share
	fullShareAt     time.Time // when the new version got all calls
	maxPermille     int       // highest share that the head has contained
	state           rollout.State
	finished        bool
	finishedAt      time.Time
	verdictAt       time.Time
	stateHistory    []string
}

func newOracle(t *Trial) *oracle { return &oracle{trial: t} }

func (o *oracle) fail(format string, args ...any) {
	if len(o.violations) < 10 {
		at := o.trial.sim.Now().Sub(o.trial.requestedAt).Round(time.Millisecond)
		o.violations = append(o.violations, fmt.Sprintf("%s: %s", at, fmt.Sprintf(format, args...)))
	}
}

// check checks the head and the rollout object if they have changed.
func (o *oracle) check() {
	store := o.trial.sim.Store()
	if h := store.Object(head.Plural, head.Name); h.Revision() != o.headRevision {
		o.headRevision = h.Revision()
		decoded, err := head.Decode(h)
		if err != nil {
			o.fail("the head is malformed: %v", err)
			return
		}
		o.checkHead(decoded)
	}
	if r := store.Object(rollout.Plural, Service); r.Revision() != o.rolloutRevision {
		o.rolloutRevision = r.Revision()
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
	if newVersionPermille(s) <= newVersionPermille(old) {
		return
	}
	if lease.Holder != h.Writer() || lease.Epoch != s.Epoch() {
		o.fail("%s grew the share to %d under epoch %d; the lease is held by %s under %d",
			h.Writer(), newVersionPermille(s), s.Epoch(), lease.Holder, lease.Epoch)
	}
	if old.Candidate() == "" && newVersionPermille(s) > maxFirstPermille {
		o.fail("the first share is %d", newVersionPermille(s))
	}
	if !o.verdictAt.IsZero() && o.trial.sim.Now().Sub(o.verdictAt) > time.Second {
		o.fail("the share grew to %d after a verdict", newVersionPermille(s))
	}
	o.maxPermille = max(o.maxPermille, newVersionPermille(s))
}

// checkSettle checks that a rollback was possible during the whole settle time.
func (o *oracle) checkSettle(old, s share.Share) {
	now := o.trial.sim.Now()
	if newVersionPermille(old) < share.FullPermille && newVersionPermille(s) == share.FullPermille {
		o.fullShareAt = now
	}
	if s.Stable() == To && old.Stable() != To && now.Sub(o.fullShareAt) < o.trial.Settle {
		o.fail("the settle time was %s, not %s", now.Sub(o.fullShareAt), o.trial.Settle)
	}
}

// newVersionPermille returns the new version's part of all calls at a share, in thousandths.
func newVersionPermille(s share.Share) int {
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
		at := o.trial.sim.Now().Sub(o.trial.requestedAt).Seconds()
		o.stateHistory = append(o.stateHistory, fmt.Sprintf("%.1fs %s %d", at, r.State(), r.Share()))
	}
	o.state = r.State()
	if r.State() == rollout.Done && (o.share.Stable() != To || o.share.Candidate() != "") {
		o.fail("the rollout is done and the head shows %q beside %q", o.share.Stable(), o.share.Candidate())
	}
	if r.Finished() && !o.finished && r.State() != "" {
		o.finished = true
		o.finishedAt = o.trial.sim.Now()
	}
}

// checkPublished checks a share that a node has published to its data path.
func (o *oracle) checkPublished(node string, s share.Share) {
	if newVersionPermille(s) > o.maxPermille {
		o.fail("%s published share %d, above every share in the head so far", node, newVersionPermille(s))
	}
}

func (o *oracle) verdictReached(now time.Time) {
	if o.verdictAt.IsZero() {
		o.verdictAt = now
	}
}

// checkCall checks a call that a node has sent to the new version.
func (o *oracle) checkCall(now time.Time, node string) {
	if o.verdictAt.IsZero() || now.Sub(o.verdictAt) <= verdictLimit || o.share.Stable() == To {
		return
	}
	if now.Sub(o.trial.fleet.resumedAt[node]) <= resumeLimit {
		return
	}
	o.fail("%s sent a call to the new version %s after the verdict", node, now.Sub(o.verdictAt))
}
