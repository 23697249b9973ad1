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

// statusPeriod is the least time between two writes that only tell operators what comes next.
const statusPeriod = 5 * time.Second

// serial numbers the store requests of one concern.
type serial struct {
	name string
	n    uint64
}

func (s *serial) id() string {
	s.n++
	return prefix + s.name + ":" + strconv.FormatUint(s.n, 10)
}

// evidence is what a job needs to know of the judgement.
type evidence interface {
	// result returns the judgement on the rollout at the share, undecided when there is none, and the rate of calls.
	result(service, rollout string, permille int) (judge.Result, float64)
}

// rulings is what a job needs to know of verdicts.
type rulings interface {
	// reason returns why the rollout's version was found bad, if it was.
	reason(service, rollout string) (string, bool)
}

// job is one rollout at a node that holds or reaches for its lease.
type job struct {
	view     *view
	evidence evidence
	rulings  rulings
	lease    *lease

	service string
	object  object.Object
	rollout rollout.Rollout
	deleted bool // an operator deleted the rollout object

	claimed  uint64 // epoch for which the head carries this node's claim
	permille int    // share in the head
	changed  time.Time
	written  time.Time // last write of the rollout object
	change   *change
	pending  string
	sent     time.Time
	next     time.Time
	failed   int // requests in a row
	serial   serial
}

func newJob(v *view, e evidence, r rulings, service string, now time.Time) *job {
	return &job{
		view: v, evidence: e, rulings: r, service: service, lease: newLease(v, service, now),
		serial: serial{name: service + ":write"},
	}
}

// see takes the rollout as it stands in the store.
func (j *job) see(s standing) {
	j.deleted = false
	if s.object.Revision() == j.object.Revision() {
		return
	}
	if s.rollout.ID() != j.rollout.ID() {
		j.change = nil
		j.claimed = 0
		j.changed = time.Time{}
	}
	if s.rollout.ChangedAt().After(j.changed) {
		j.changed = s.rollout.ChangedAt()
	}
	j.object, j.rollout = s.object, s.rollout
}

// active reports whether there is something left to do.
func (j *job) active() bool { return !j.rollout.Finished() }

// answered hands the end of a store request to the lease or to the change under way.
func (j *job) answered(now time.Time, e event.Event, wanted bool) []effect.Effect {
	switch e.ID() {
	case j.lease.pending:
		return j.lease.answered(now, e, wanted)
	case j.pending:
		j.pending = ""
		return j.resume(now, e)
	}
	return nil
}

// tick keeps the lease and, while it is held, drives the rollout.
func (j *job) tick(now time.Time, wanted bool) []effect.Effect {
	fs := j.lease.tick(now, wanted)
	if !j.lease.valid(now) {
		j.change, j.claimed = nil, 0
		return fs
	}
	if !j.active() || j.pending != "" && now.Sub(j.sent) < answerLimit || now.Before(j.next) {
		return fs
	}
	if j.urgent() {
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

// urgent reports whether the change under way must give way to a rollback.
func (j *job) urgent() bool {
	if j.change == nil || j.change.state == rollout.TakenBack || j.change.state == rollout.Done && j.change.settled {
		return false
	}
	_, bad := j.rulings.reason(j.service, j.rollout.ID())
	return bad || j.rollout.CancelRequested() || j.deleted
}

// plan returns the next change, or nil when there is nothing to write now.
func (j *job) plan(now time.Time) *change {
	r := j.rollout
	if reason, bad := j.rulings.reason(j.service, r.ID()); bad {
		return j.back(reason)
	}
	if r.CancelRequested() {
		return j.back("an operator cancelled the move")
	}
	if j.deleted {
		return j.back("an operator deleted the move")
	}
	if j.claimed != j.lease.epoch() {
		return &change{claim: true, state: r.State()}
	}
	if r.Share() != j.permille || r.State() != stateAt(j.permille) {
		return &change{settled: true, state: stateAt(j.permille), permille: j.permille, next: "evidence at this share"}
	}
	return j.schedule(now)
}

func (j *job) schedule(now time.Time) *change {
	r := j.rollout
	result, rate := j.evidence.result(j.service, r.ID(), j.permille)
	d := scheduler.Plan(scheduler.Input{
		Version: r.To(), Now: now, Deadline: r.Deadline(), Settle: r.Settle(), Share: j.permille, ShareSetAt: j.changed,
		Finding: result.Finding(), CallsNeeded: result.CallsNeeded(), CallRate: rate, HasReadyEndpoint: j.view.ready(j.service, r.To()),
	})
	switch d.Action() {
	case scheduler.Widen, scheduler.Narrow:
		return &change{state: stateAt(d.Share()), permille: d.Share(), reason: d.Reason(), next: d.NextStep()}
	case scheduler.Finish:
		return &change{state: rollout.Done, permille: share.FullPermille, reason: d.Reason()}
	case scheduler.TakeBack:
		return j.back(d.Reason())
	}
	if d.NextStep() == r.NextStep() || now.Sub(j.written) < statusPeriod {
		return nil
	}
	return &change{settled: true, state: r.State(), permille: j.permille, reason: d.Reason(), next: d.NextStep()}
}

func (j *job) back(reason string) *change {
	return &change{
		state: rollout.TakenBack, reason: reason,
		next: fmt.Sprintf("all calls are on version %s; ask again after a correction", j.rollout.From()),
	}
}

// stateAt returns the state of a rollout under way with the share.
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
