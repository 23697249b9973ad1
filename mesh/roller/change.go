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

// Delays before a failed write is retried; they double with each failure.
const (
	writeRetryDelay    = 200 * time.Millisecond
	maxWriteRetryDelay = 2 * time.Second
)

// change is a change of a rollout that is being written to the store: first the share in the head, then the rollout
// object. Each write is preceded by a read, which also shows whether an earlier write whose reply was lost took effect.
type change struct {
	claim        bool // only writes the epoch of this node's lease into the head
	state        rollout.State
	permille     int
	reason       string
	nextStep     string
	inHead       bool   // the head contains the change
	headToken    string // of the write to the head
	rolloutToken string // of the write to the rollout object
}

// proceed returns the next store request of the change.
func (j *job) proceed(now time.Time) []effect.Effect {
	if !j.change.inHead {
		return j.request(now, effect.Get, object.New(head.Plural, head.Name, "", nil))
	}
	if j.change.rolloutToken != "" {
		return j.request(now, effect.Get, object.New(rollout.Plural, j.service, "", nil))
	}
	return j.writeRollout(now)
}

func (j *job) request(now time.Time, k effect.Kind, o object.Object) []effect.Effect {
	j.pendingID = j.requestIDs.next()
	j.sentAt = now
	return []effect.Effect{effect.NewStoreRequest(k, j.pendingID, o)}
}

func (j *job) newToken() string { return fmt.Sprintf("%016x", j.view.node.Rand.Uint64()) }

// handleChangeReply handles the reply to the change's last request. A reply that arrives after the lease has ended is
// dropped; the next holder reads from the head whether the write took effect.
func (j *job) handleChangeReply(now time.Time, e event.Event) []effect.Effect {
	if j.change == nil || !j.lease.valid(now) {
		return nil
	}
	if e.Err() != nil {
		if fault.KindOf(e.Err()) != fault.Conflict {
			j.failures++
			j.nextTryAt = now.Add(backoff(writeRetryDelay, maxWriteRetryDelay, j.failures))
		}
		return nil
	}
	j.failures = 0
	if j.mustRollBack() {
		j.change = nil
		return nil
	}
	o := e.Object()
	switch o.Plural() {
	case head.Plural:
		return j.handleHead(now, o)
	case rollout.Plural:
		return j.handleRollout(now, o)
	}
	return nil
}

// handleHead writes the change to the head unless the head contains it already.
func (j *job) handleHead(now time.Time, o object.Object) []effect.Effect {
	h, err := head.Decode(o)
	if err != nil {
		j.nextTryAt = now.Add(minStatusInterval)
		return nil
	}
	s := h.Shares()[j.service]
	own := s.Rollout() == j.rollout.ID()
	switch {
	case s.Epoch() > j.lease.epoch():
		j.lease.stepDown(now)
		return nil
	case own && s.Candidate() == "":
		return j.complete(now, s)
	case !own && s.Stable() != "" && s.Stable() != j.rollout.From():
		return j.refuse(now, s)
	case own && s.Epoch() == j.lease.epoch() &&
		(j.change.claim || j.change.headToken != "" && h.HasToken(j.change.headToken)):
		return j.headWritten(now, s)
	}
	// A rollback needs no claim, since it may replace any write of an earlier holder.
	if j.change.state != rollout.TakenBack && (!own || s.Epoch() < j.lease.epoch()) {
		return j.claim(now, o, h, s)
	}
	return j.writeHead(now, o, h, j.targetShare())
}

// claim writes the present share with this lease's epoch, after which every conditional write of an earlier holder
// fails.
func (j *job) claim(now time.Time, o object.Object, h head.Head, s share.Share) []effect.Effect {
	permille := 0
	if s.Rollout() == j.rollout.ID() {
		permille = s.Permille()
	}
	j.change = &change{claim: true, state: j.rollout.State()}
	return j.writeHead(now, o, h, share.New(j.rollout.From(), j.rollout.To(), permille, j.rollout.ID(), j.lease.epoch()))
}

// targetShare returns the share that the change writes to the head.
func (j *job) targetShare() share.Share {
	r, c := j.rollout, j.change
	switch c.state {
	case rollout.TakenBack:
		return share.New(r.From(), "", 0, r.ID(), j.lease.epoch())
	case rollout.Done:
		return share.New(r.To(), "", 0, r.ID(), j.lease.epoch())
	}
	return share.New(r.From(), r.To(), c.permille, r.ID(), j.lease.epoch())
}

func (j *job) writeHead(now time.Time, o object.Object, h head.Head, s share.Share) []effect.Effect {
	j.change.headToken = j.newToken()
	data, err := h.WithShare(j.service, s, j.change.headToken, j.view.node.Node).Encode()
	if err != nil {
		return nil
	}
	return j.request(now, effect.Update, o.WithSpec(data))
}

// headWritten continues with the rollout object once the head contains the change.
func (j *job) headWritten(now time.Time, s share.Share) []effect.Effect {
	j.claimedEpoch = s.Epoch()
	if j.change.claim {
		if s.Permille() != j.rollout.Share() {
			j.shareChangedAt = now // the earlier holder set this share without recording the time
		}
		j.permille = s.Permille()
		j.change = nil
		return nil
	}
	if s.Permille() != j.permille {
		j.shareChangedAt = now
	}
	j.permille = s.Permille()
	j.change.inHead = true
	return j.writeRollout(now)
}

// complete records the end of a rollout that has already ended in the head, perhaps by an earlier holder.
func (j *job) complete(now time.Time, s share.Share) []effect.Effect {
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
	j.change.inHead = true
	return j.writeRollout(now)
}

// refuse ends a rollout whose old version is not the version that has the calls.
func (j *job) refuse(now time.Time, s share.Share) []effect.Effect {
	j.change = &change{
		state: rollout.TakenBack, inHead: true,
		reason: fmt.Sprintf("version %s does not take the calls, version %s does; ask again from that version",
			j.rollout.From(), s.Stable()),
	}
	return j.writeRollout(now)
}

// writeRollout writes the change to the rollout object.
func (j *job) writeRollout(now time.Time) []effect.Effect {
	c := j.change
	if j.deleted {
		// The object no longer exists; the zero rollout counts as finished.
		j.change, j.rollout = nil, rollout.Rollout{}
		return nil
	}
	c.rolloutToken = j.newToken()
	r := j.rollout
	at := r.ChangedAt()
	if r.State() != c.state || r.Share() != c.permille {
		at = now
	}
	if !j.shareChangedAt.IsZero() && j.shareChangedAt.After(r.ChangedAt()) {
		at = j.shareChangedAt
	}
	result, _ := j.results.result(j.service, r.ID(), j.permille)
	if es := result.Evidence(); len(es) > 0 {
		r = r.WithEvidence(es)
	}
	r = r.WithState(c.state, c.permille, at, c.reason, c.nextStep).WithEpoch(j.lease.epoch()).
		WithWrite(c.rolloutToken, j.view.node.Node)
	data, err := r.Encode()
	if err != nil {
		return nil
	}
	return j.request(now, effect.Update, j.object.WithSpec(data))
}

// handleRollout ends the change if the rollout object contains it. Otherwise an operator wrote the object in the
// meantime, and the change is written again.
func (j *job) handleRollout(now time.Time, o object.Object) []effect.Effect {
	r, err := rollout.Decode(o)
	if err != nil || r.ID() != j.rollout.ID() {
		j.change = nil
		return nil
	}
	j.object, j.rollout = o, r
	if r.Token() != j.change.rolloutToken {
		return j.writeRollout(now)
	}
	j.writtenAt = now
	j.change = nil
	return nil
}
