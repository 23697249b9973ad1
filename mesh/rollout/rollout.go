package rollout

import (
	"encoding/json"
	"time"

	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/object"
)

// Plural is the kind of rollout objects in the store; there is one object for each service.
const Plural = "rollouts"

// State is the stage that a rollout has reached.
type State string

// The states of a rollout, in the order of a successful one. TakenBack may follow any of the others except Done.
const (
	Requested State = "asked"      // the new version has no calls yet
	Canary    State = "canary"     // the first small share
	Widening  State = "widening"   // the share grows step by step
	Settling  State = "settling"   // the new version has all calls, but the rollout can still be taken back
	Done      State = "done"       // final
	TakenBack State = "taken back" // final; the old version has all calls
)

// Rollout is one immutable version of a rollout.
type Rollout struct {
	w wire
}

type wire struct {
	ID              string     `json:"id"`
	Service         string     `json:"service"`
	From            string     `json:"from"`
	To              string     `json:"to"`
	State           State      `json:"state"`
	Share           int        `json:"share"`
	Deadline        time.Time  `json:"deadline"`
	RequestedAt     time.Time  `json:"asked"`
	ChangedAt       time.Time  `json:"changed"`
	Settle          int64      `json:"settle"` // milliseconds
	CancelRequested bool       `json:"cancel,omitempty"`
	Reason          string     `json:"reason,omitempty"`
	NextStep        string     `json:"next,omitempty"`
	Epoch           uint64     `json:"epoch,omitempty"`
	Evidence        []Evidence `json:"evidence,omitempty"`
	Token           string     `json:"token"`
	Writer          string     `json:"writer,omitempty"`
}

// Evidence holds the counts of both versions on one route and the finding from them.
type Evidence struct {
	Route       string `json:"route"`
	NewCalls    uint64 `json:"newcalls"`
	NewFailures uint64 `json:"newfailures"`
	OldCalls    uint64 `json:"oldcalls"`
	OldFailures uint64 `json:"oldfailures"`
	Verdict     string `json:"verdict"`
}

// Fields are the values of a new Rollout.
type Fields struct {
	ID, Service, From, To string
	Deadline, RequestedAt time.Time
	Settle                time.Duration
	Token, Writer         string
}

// New returns a rollout in state Requested with a share of zero.
func New(f Fields) Rollout {
	return Rollout{w: wire{
		ID: f.ID, Service: f.Service, From: f.From, To: f.To, State: Requested, Deadline: f.Deadline,
		RequestedAt: f.RequestedAt, ChangedAt: f.RequestedAt, Settle: f.Settle.Milliseconds(), Token: f.Token, Writer: f.Writer,
	}}
}

// Decode returns the rollout in a stored object, or the zero Rollout for an object without content.
func Decode(o object.Object) (Rollout, error) {
	var r Rollout
	if len(o.Spec()) == 0 {
		return r, nil
	}
	if err := json.Unmarshal(o.Spec(), &r.w); err != nil {
		return r, fault.Wrap(fault.Invalid, err, "the object rollouts/"+o.Name()+" is malformed", "start the move again")
	}
	return r, nil
}

// Encode returns the rollout's content as JSON.
func (r Rollout) Encode() ([]byte, error) { return json.Marshal(r.w) }

// MarshalJSON encodes the rollout as it is stored.
func (r Rollout) MarshalJSON() ([]byte, error) { return json.Marshal(r.w) }

// UnmarshalJSON decodes the rollout as it is stored.
func (r *Rollout) UnmarshalJSON(data []byte) error { return json.Unmarshal(data, &r.w) }

// ID returns the random identifier, which tells successive rollouts of one service apart.
func (r Rollout) ID() string { return r.w.ID }

// Service returns the service's name.
func (r Rollout) Service() string { return r.w.Service }

// From returns the old version.
func (r Rollout) From() string { return r.w.From }

// To returns the new version.
func (r Rollout) To() string { return r.w.To }

// State returns the stage that the rollout has reached.
func (r Rollout) State() State { return r.w.State }

// Finished reports whether the state is final; it is true of the zero Rollout.
func (r Rollout) Finished() bool {
	return r.w.State == "" || r.w.State == Done || r.w.State == TakenBack
}

// Share returns the new version's share in thousandths.
func (r Rollout) Share() int { return r.w.Share }

// Deadline returns the time by which the rollout must be done.
func (r Rollout) Deadline() time.Time { return r.w.Deadline }

// RequestedAt returns when an operator asked for the rollout.
func (r Rollout) RequestedAt() time.Time { return r.w.RequestedAt }

// ChangedAt returns when the state or the share last changed.
func (r Rollout) ChangedAt() time.Time { return r.w.ChangedAt }

// Settle returns how long the old version must stay ready for a rollback after the new version got all calls.
func (r Rollout) Settle() time.Duration { return time.Duration(r.w.Settle) * time.Millisecond }

// CancelRequested reports whether an operator asked to take the rollout back.
func (r Rollout) CancelRequested() bool { return r.w.CancelRequested }

// Reason returns one sentence that says why the rollout is in its state.
func (r Rollout) Reason() string { return r.w.Reason }

// NextStep returns the step that follows and the condition for it.
func (r Rollout) NextStep() string { return r.w.NextStep }

// Epoch returns the lease epoch of the holder's last write, or zero before the first one.
func (r Rollout) Epoch() uint64 { return r.w.Epoch }

// Evidence returns the evidence on each route, which must not be modified.
func (r Rollout) Evidence() []Evidence { return r.w.Evidence }

// Token returns the token of the last write.
func (r Rollout) Token() string { return r.w.Token }

// Writer returns the name of the operator or node that wrote last.
func (r Rollout) Writer() string { return r.w.Writer }

// WithState returns a copy with another state and share since the given time, the reason, and the next step.
func (r Rollout) WithState(s State, permille int, at time.Time, reason, nextStep string) Rollout {
	r.w.State = s
	r.w.Share = permille
	r.w.ChangedAt = at
	r.w.Reason = reason
	r.w.NextStep = nextStep
	return r
}

// WithNextStep returns a copy with another next step.
func (r Rollout) WithNextStep(nextStep string) Rollout {
	r.w.NextStep = nextStep
	return r
}

// WithEvidence returns a copy with other evidence, which must not be modified afterwards.
func (r Rollout) WithEvidence(evidence []Evidence) Rollout {
	r.w.Evidence = evidence
	return r
}

// WithCancel returns a copy that requests a rollback on behalf of an operator.
func (r Rollout) WithCancel() Rollout {
	r.w.CancelRequested = true
	return r
}

// WithWrite returns a copy with the token and the writer of this write.
func (r Rollout) WithWrite(token, writer string) Rollout {
	r.w.Token = token
	r.w.Writer = writer
	return r
}

// WithEpoch returns a copy with the holder's lease epoch.
func (r Rollout) WithEpoch(epoch uint64) Rollout {
	r.w.Epoch = epoch
	return r
}
