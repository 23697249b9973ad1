package roller

import (
	"fmt"
	"strconv"
	"time"

	"wisteriaspoke.example/mesh/effect"
	"wisteriaspoke.example/mesh/event"
	"wisteriaspoke.example/mesh/judge"
	"wisteriaspoke.example/mesh/object"
	"wisteriaspoke.example/mesh/rollout"
	"wisteriaspoke.example/mesh/scheduler"
	"wisteriaspoke.example/mesh/share"
)

// minStatusInterval is the minimum time between two writes that only update the next step shown to operators.
const minStatusInterval = 5 * time.Second

// requestIDs generates the identifiers of one component's store requests.
type requestIDs struct {
	name string
	n    uint64
}

func (r *requestIDs) next() string {
	r.n++
	return requestIDPrefix + r.name + ":" + strconv.FormatUint(r.n, 10)
}

// resultSource provides the judge's results.
type resultSource interface {
	// result returns the result for the rollout at the share, undecided if there is none, and the call rate.
	result(service, rollout string, permille int) (judge.Result, float64)
}

// verdictSource provides the verdicts on rollouts.
type verdictSource interface {
	// badReason returns the reason of the verdict on the rollout's new version, if there is one.
	badReason(service, rollout string) (string, bool)
}

// job drives one service's rollout at a node that holds its lease or tries to acquire it.
type job struct {
	view     *view
	results  resultSource
	verdicts verdictSource
	lease    *lease

	service string
	object  object.Object
	rollout rollout.Rollout
	deleted bool // an operator deleted the rollout object

	claimedEpoch   uint64 // lease epoch that this node has written into the head
	permille       int    // share in the head
	shareChangedAt time.Time
	writtenAt      time.Time // last write of the rollout object
	change         *change
	pendingID      string
	sentAt         time.Time
	nextTryAt      time.Time
	failures       int // consecutive failed requests
	requestIDs     requestIDs
}

func newJob(v *view, results resultSource, verdicts verdictSource, service string, now time.Time) *job {
	return &job{
		view: v, results: results, verdicts: verdicts, service: service, lease: newLease(v, service, now),
		requestIDs: requestIDs{name: service + ":write"},
	}
}

// update sets the rollout as last seen in the store.
func (j *job) update(s storedRollout) {
	j.deleted = false
	if s.object.Revision() == j.object.Revision() {
		return
	}
	if s.rollout.ID() != j.rollout.ID() {
		j.change = nil
		j.claimedEpoch = 0
		j.shareChangedAt = time.Time{}
	}
	if s.rollout.ChangedAt().After(j.shareChangedAt) {
		j.shareChangedAt = s.rollout.ChangedAt()
	}
	j.object, j.rollout = s.object, s.rollout
}

// active reports whether the rollout has not finished.
func (j *job) active() bool { return !j.rollout.Finished() }

// handleReply passes the reply to a store request to the lease or to the current change.
func (j *job) handleReply(now time.Time, e event.Event, wanted bool) []effect.Effect {
	switch e.ID() {
	case j.lease.pendingID:
		return j.lease.handleReply(now, e, wanted)
	case j.pendingID:
		j.pendingID = ""
		return j.handleChangeReply(now, e)
	}
	return nil
}

// tick renews or acquires the lease and, while it is held, drives the rollout.
func (j *job) tick(now time.Time, wanted bool) []effect.Effect {
	fs := j.lease.tick(now, wanted)
	if !j.lease.valid(now) {
		j.change, j.claimedEpoch = nil, 0
		return fs
	}
	if !j.active() || j.pendingID != "" && now.Sub(j.sentAt) < replyTimeout || now.Before(j.nextTryAt) {
		return fs
	}
	if j.mustRollBack() {
		j.change = nil
	}
	if j.change == nil {
		j.change = j.plan(now)
	}
	if j.change != nil {
		fs = append(fs, j.proceed(now)...)
	}
	return fs
}

// mustRollBack reports whether a rollback must replace the current change.
func (j *job) mustRollBack() bool {
	if j.change == nil || j.change.state == rollout.TakenBack || j.change.state == rollout.Done && j.change.inHead {
		return false
	}
	_, bad := j.verdicts.badReason(j.service, j.rollout.ID())
	return bad || j.rollout.CancelRequested() || j.deleted
}

// plan returns the next change, or nil if there is nothing to write now.
func (j *job) plan(now time.Time) *change {
	r := j.rollout
	if reason, bad := j.verdicts.badReason(j.service, r.ID()); bad {
		return j.rollback(reason)
	}
	if r.CancelRequested() {
		return j.rollback("an operator cancelled the move")
	}
	if j.deleted {
		return j.rollback("an operator deleted the move")
	}
	if j.claimedEpoch != j.lease.epoch() {
		return &change{claim: true, state: r.State()}
	}
	if r.Share() != j.permille || r.State() != stateAt(j.permille) {
		return &change{inHead: true, state: stateAt(j.permille), permille: j.permille, nextStep: "evidence at this share"}
	}
	return j.schedule(now)
}

func (j *job) schedule(now time.Time) *change {
	r := j.rollout
	result, rate := j.results.result(j.service, r.ID(), j.permille)
	d := scheduler.Plan(scheduler.Input{
		Version: r.To(), Now: now, Deadline: r.Deadline(), Settle: r.Settle(),
		Share: j.permille, ShareSetAt: j.shareChangedAt,
		Finding: result.Finding(), CallsNeeded: result.CallsNeeded(), CallRate: rate,
		HasReadyEndpoint: j.view.hasReadyEndpoint(j.service, r.To()),
	})
	switch d.Action() {
	case scheduler.Widen, scheduler.Narrow:
		return &change{state: stateAt(d.Share()), permille: d.Share(), reason: d.Reason(), nextStep: d.NextStep()}
	case scheduler.Finish:
		return &change{state: rollout.Done, permille: share.FullPermille, reason: d.Reason()}
	case scheduler.TakeBack:
		return j.rollback(d.Reason())
	}
	if d.NextStep() == r.NextStep() || now.Sub(j.writtenAt) < minStatusInterval {
		return nil
	}
	return &change{inHead: true, state: r.State(), permille: j.permille, reason: d.Reason(), nextStep: d.NextStep()}
}

func (j *job) rollback(reason string) *change {
	return &change{
		state: rollout.TakenBack, reason: reason,
		nextStep: fmt.Sprintf("all calls are on version %s; ask again after a correction", j.rollout.From()),
	}
}

// stateAt returns the state of an unfinished rollout at the share.
func stateAt(permille int) rollout.State {
	switch {
	case permille == 0:
		return rollout.Requested
	case permille <= 50:
		return rollout.Canary
	case permille < share.FullPermille:
		return rollout.Widening
	}
	return rollout.Settling
}
