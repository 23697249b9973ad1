package roller

import (
	"fmt"
	"time"

	"wisteriaspoke.example/mesh/effect"
	"wisteriaspoke.example/mesh/event"
	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/head"
	"wisteriaspoke.example/mesh/object"
	"wisteriaspoke.example/mesh/rollout"
	"wisteriaspoke.example/mesh/share"
)

// Pauses before a failed write is looked at again; they double with each failure.
const (
	writePause    = 200 * time.Millisecond
	maxWritePause = 2 * time.Second
)

// change is one change of a rollout on its way into the store: first the share in the head, then the rollout object.
// Each write is preceded by a read, which also shows whether an earlier write with a lost answer took effect.
type change struct {
	claim    bool // only puts the epoch of this node's lease into the head
	state    rollout.State
	permille int
	reason   string
	next     string
	settled  bool   // the head shows it
	token    string // of the write to the head
	noted    string // of the write to the rollout object
}

// proceed sends the request that the change needs next.
func (j *job) proceed(now time.Time) []effect.Effect {
	if !j.change.settled {
		return j.request(now, effect.Get, object.New(head.Plural, head.Name, "", nil))
	}
	if j.change.noted != "" {
		return j.request(now, effect.Get, object.New(rollout.Plural, j.service, "", nil))
	}
	return j.note(now)
}

func (j *job) request(now time.Time, k effect.Kind, o object.Object) []effect.Effect {
	j.pending = j.serial.id()
	j.sent = now
	return []effect.Effect{effect.NewStoreRequest(k, j.pending, o)}
}

func (j *job) token() string { return fmt.Sprintf("%016x", j.view.node.Rand.Uint64()) }

// resume takes the answer to the change's last request. An answer that arrives after the lease has ended is dropped;
// the next holder finds the write, or its absence, in the head.
func (j *job) resume(now time.Time, e event.Event) []effect.Effect {
	if j.change == nil || !j.lease.valid(now) {
		return nil
	}
	if e.Err() != nil {
		if fault.KindOf(e.Err()) != fault.Conflict {
			j.failed++
			j.next = now.Add(backOff(writePause, maxWritePause, j.failed))
		}
		return nil
	}
	j.failed = 0
	if j.urgent() {
		j.change = nil
		return nil
	}
	o := e.Object()
	switch o.Plural() {
	case head.Plural:
		return j.atHead(now, o)
	case rollout.Plural:
		return j.atRollout(now, o)
	}
	return nil
}

// atHead compares the head with the change and writes it if it does not stand yet.
func (j *job) atHead(now time.Time, o object.Object) []effect.Effect {
	h, err := head.Decode(o)
	if err != nil {
		j.next = now.Add(statusPeriod)
		return nil
	}
	s := h.Shares()[j.service]
	own := s.Rollout() == j.rollout.ID()
	switch {
	case s.Epoch() > j.lease.epoch():
		j.lease.yield(now)
		return nil
	case own && s.Candidate() == "":
		return j.ended(now, s)
	case !own && s.Stable() != "" && s.Stable() != j.rollout.From():
		return j.refuse(now, s)
	case own && s.Epoch() == j.lease.epoch() && (j.change.claim || j.change.token != "" && h.HasToken(j.change.token)):
		return j.stands(now, s)
	}
	// A rollback needs no claim: it may follow any write of an earlier holder.
	if j.change.state != rollout.TakenBack && (!own || s.Epoch() < j.lease.epoch()) {
		return j.claim(now, o, h, s)
	}
	return j.write(now, o, h, j.target())
}

// claim writes the share as it is under this lease's epoch, so that no write of an earlier holder can follow.
func (j *job) claim(now time.Time, o object.Object, h head.Head, s share.Share) []effect.Effect {
	permille := 0
	if s.Rollout() == j.rollout.ID() {
		permille = s.Permille()
	}
	j.change = &change{claim: true, state: j.rollout.State()}
	return j.write(now, o, h, share.New(j.rollout.From(), j.rollout.To(), permille, j.rollout.ID(), j.lease.epoch()))
}

// target returns the share that the change puts into the head.
func (j *job) target() share.Share {
	r, c := j.rollout, j.change
	switch c.state {
	case rollout.TakenBack:
		return share.New(r.From(), "", 0, r.ID(), j.lease.epoch())
	case rollout.Done:
		return share.New(r.To(), "", 0, r.ID(), j.lease.epoch())
	}
	return share.New(r.From(), r.To(), c.permille, r.ID(), j.lease.epoch())
}

func (j *job) write(now time.Time, o object.Object, h head.Head, s share.Share) []effect.Effect {
	j.change.token = j.token()
	data, err := h.WithShare(j.service, s, j.change.token, j.view.node.Node).Encode()
	if err != nil {
		return nil
	}
	return j.request(now, effect.Update, o.WithSpec(data))
}

// stands goes on after the head shows the change.
func (j *job) stands(now time.Time, s share.Share) []effect.Effect {
	j.claimed = s.Epoch()
	if j.change.claim {
		if s.Permille() != j.rollout.Share() {
			j.changed = now // the earlier holder set this share and did not note when
		}
		j.permille = s.Permille()
		j.change = nil
		return nil
	}
	if s.Permille() != j.permille {
		j.changed = now
	}
	j.permille = s.Permille()
	j.change.settled = true
	return j.note(now)
}

// ended completes a rollout whose end stands in the head, perhaps by an earlier holder.
func (j *job) ended(now time.Time, s share.Share) []effect.Effect {
	state := rollout.TakenBack
	if s.Stable() == j.rollout.To() {
		state = rollout.Done
	}
	if j.change.state != state {
		j.change = &change{state: state, reason: "the head shows the end of the move"}
	}
	if state == rollout.Done {
		j.change.permille = share.FullPermille
	}
	j.change.settled = true
	return j.note(now)
}

// refuse ends a rollout from a version that does not take the calls.
func (j *job) refuse(now time.Time, s share.Share) []effect.Effect {
	j.change = &change{
		state: rollout.TakenBack, settled: true,
		reason: fmt.Sprintf("version %s does not take the calls, version %s does; ask again from that version", j.rollout.From(), s.Stable()),
	}
	return j.note(now)
}

// note writes the change to the rollout object.
func (j *job) note(now time.Time) []effect.Effect {
	c := j.change
	if j.deleted {
		// There is nothing left to write to; the zero rollout is finished.
		j.change, j.rollout = nil, rollout.Rollout{}
		return nil
	}
	c.noted = j.token()
	r := j.rollout
	at := r.ChangedAt()
	if r.State() != c.state || r.Share() != c.permille {
		at = now
	}
	if !j.changed.IsZero() && j.changed.After(r.ChangedAt()) {
		at = j.changed
	}
	result, _ := j.evidence.result(j.service, r.ID(), j.permille)
	if es := result.Evidence(); len(es) > 0 {
		r = r.WithEvidence(es)
	}
	r = r.WithState(c.state, c.permille, at, c.reason, c.next).WithEpoch(j.lease.epoch()).WithWrite(c.noted, j.view.node.Node)
	data, err := r.Encode()
	if err != nil {
		return nil
	}
	return j.request(now, effect.Update, j.object.WithSpec(data))
}

// atRollout ends the change if the rollout object shows it, and else writes it again over what an operator wrote.
func (j *job) atRollout(now time.Time, o object.Object) []effect.Effect {
	r, err := rollout.Decode(o)
	if err != nil || r.ID() != j.rollout.ID() {
		j.change = nil
		return nil
	}
	j.object, j.rollout = o, r
	if r.Token() != j.change.noted {
		return j.note(now)
	}
	j.written = now
	j.change = nil
	return nil
}
