package accepter

import (
	"context"
	"fmt"
	"time"

	"wisteriaspoke.example/mesh/checker"
	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/object"
	"wisteriaspoke.example/mesh/preset"
	"wisteriaspoke.example/mesh/rollout"
)

// minRolloutTime is the shortest time to the deadline in which enough evidence can be gathered.
const minRolloutTime = 30 * time.Second

// The range of the default settle time, which is a tenth of the time to the deadline.
const (
	minSettle = 3 * time.Second
	maxSettle = 5 * time.Minute
)

// Rollouts writes requests for rollouts; its fields are set before use.
type Rollouts struct {
	Accepter *Accepter
	Now      func() time.Time
}

// Request is an operator's request for a rollout.
type Request struct {
	Service  string
	Version  string
	Deadline time.Time
	Settle   time.Duration // zero for a tenth of the time to the deadline
	Writer   string
}

// Create stores a request for a rollout and returns it once the write is known to have taken effect.
func (r *Rollouts) Create(ctx context.Context, q Request) (rollout.Rollout, error) {
	now := r.Now()
	if err := q.check(now); err != nil {
		return rollout.Rollout{}, err
	}
	from, err := r.current(ctx, q.Service)
	if err != nil {
		return rollout.Rollout{}, err
	}
	if from == q.Version {
		return rollout.Rollout{}, fault.New(fault.Invalid, fmt.Sprintf("service %s already has version %s", q.Service, q.Version), "name another version")
	}
	base, err := r.Accepter.Read(ctx, rollout.Plural, q.Service)
	if err != nil {
		return rollout.Rollout{}, err
	}
	token := r.Accepter.NewToken()
	c := &rolloutRequest{requested: rollout.New(rollout.Fields{
		ID: r.Accepter.NewToken(), Service: q.Service, From: from, To: q.Version, Deadline: q.Deadline.UTC(), RequestedAt: now.UTC(),
		Settle: q.settleTime(now), Token: token, Writer: q.Writer,
	})}
	if err := r.Accepter.commit(ctx, base, c); err != nil {
		return rollout.Rollout{}, err
	}
	return c.requested, nil
}

func (q Request) check(now time.Time) error {
	left := q.Deadline.Sub(now)
	switch {
	case !checker.IsDNSLabel(q.Service):
		return fault.New(fault.Invalid, fmt.Sprintf("%q is not the name of a service", q.Service), "use a service of the preset in force")
	case !checker.IsVersion(q.Version):
		return fault.New(fault.Invalid, fmt.Sprintf("%q is not a version", q.Version),
			"use 1 to 63 letters, digits and . - _ +, with a letter or digit first")
	case left <= 0:
		return fault.New(fault.Invalid, "the deadline has passed", "name a deadline at least 30 s ahead")
	case left < minRolloutTime:
		return fault.New(fault.Invalid, "the deadline is "+left.Round(time.Second).String()+" ahead, too near to gather evidence",
			"name a deadline at least 30 s ahead")
	case q.Settle < 0 || q.Settle > left/2:
		return fault.New(fault.Invalid, "the settle time "+q.Settle.String()+" is not between 0 and half of the time to the deadline",
			"shorten it, or leave it out for a tenth of that time")
	}
	return nil
}

func (q Request) settleTime(now time.Time) time.Duration {
	if q.Settle > 0 {
		return q.Settle
	}
	return min(max(q.Deadline.Sub(now)/10, minSettle), maxSettle).Round(time.Second)
}

// current returns the version of a service that currently receives the calls.
func (r *Rollouts) current(ctx context.Context, name string) (string, error) {
	h, err := r.Accepter.ReadHead(ctx)
	if err != nil {
		return "", err
	}
	if h.Version() == 0 {
		return "", fault.New(fault.NotFound, "no preset is in force", "run wisteriaspoke presets use NAME first")
	}
	digest, ok := h.DefinitionDigests()[name]
	if !ok {
		return "", fault.New(fault.NotFound, fmt.Sprintf("the preset in force (%q) has no service %q", h.Preset(), name),
			"run wisteriaspoke presets list, then presets show NAME for the services")
	}
	if s, ok := h.Shares()[name]; ok && s.Stable() != "" {
		return s.Stable(), nil
	}
	o, err := r.Accepter.Read(ctx, preset.DefinitionPlural, digest)
	if err != nil {
		return "", err
	}
	s, err := DecodeDefinition(o)
	return s.Version(), err
}

// TakeBack requests that a rollout is taken back and returns the rollout as written; its holder then takes it back.
func (r *Rollouts) TakeBack(ctx context.Context, service, writer string) (rollout.Rollout, error) {
	base, err := r.Accepter.Read(ctx, rollout.Plural, service)
	if err != nil {
		return rollout.Rollout{}, err
	}
	old, err := rollout.Decode(base)
	if err != nil {
		return rollout.Rollout{}, err
	}
	if old.ID() == "" {
		return old, fault.New(fault.NotFound, fmt.Sprintf("service %q has no move", service), "run wisteriaspoke moves list")
	}
	if old.CancelRequested() && !old.Finished() {
		return old, nil
	}
	c := &rolloutCancellation{service: service, token: r.Accepter.NewToken(), writer: writer}
	if err := r.Accepter.commit(ctx, base, c); err != nil {
		return rollout.Rollout{}, err
	}
	return c.cancelled, nil
}

// rolloutRequest is the write of a new rollout.
type rolloutRequest struct {
	requested rollout.Rollout
}

func (c *rolloutRequest) description() string {
	return fmt.Sprintf("starting the move of %s to %s", c.requested.Service(), c.requested.To())
}

func (c *rolloutRequest) verification() string {
	return "wisteriaspoke moves show " + c.requested.Service() + ", which names the move " + c.requested.ID() + " if it was done"
}

func (c *rolloutRequest) build(base object.Object) (object.Object, error) {
	old, err := rollout.Decode(base)
	if err != nil {
		return base, err
	}
	if !old.Finished() {
		return base, c.conflict(old)
	}
	spec, err := c.requested.Encode()
	return base.WithSpec(spec), err
}

func (c *rolloutRequest) evaluate(base, now object.Object) (result, error) {
	old, err := rollout.Decode(base)
	if err != nil {
		return indeterminate, err
	}
	r, err := rollout.Decode(now)
	if err != nil {
		return indeterminate, err
	}
	switch r.ID() {
	case c.requested.ID():
		return accepted, nil
	case old.ID():
		return rebase, nil
	}
	// The requested rollout may have ended and been replaced by another one.
	return indeterminate, c.conflict(r)
}

func (c *rolloutRequest) conflict(r rollout.Rollout) error {
	return fault.New(fault.Conflict, fmt.Sprintf("a move of %s to %s by %s is under way (%s)", r.Service(), r.To(), r.Writer(), r.State()),
		fmt.Sprintf("run wisteriaspoke moves watch %s, or moves takeback %s first", r.Service(), r.Service()))
}

// rolloutCancellation is the write that asks a rollout's holder to take it back.
type rolloutCancellation struct {
	service   string
	token     string
	writer    string
	cancelled rollout.Rollout
}

func (c *rolloutCancellation) description() string { return "taking back the move of " + c.service }

func (c *rolloutCancellation) verification() string {
	return "wisteriaspoke moves show " + c.service + ", which says so if it was done"
}

func (c *rolloutCancellation) build(base object.Object) (object.Object, error) {
	old, err := rollout.Decode(base)
	if err != nil {
		return base, err
	}
	if old.Finished() {
		return base, c.ended(old)
	}
	c.cancelled = old.WithCancel().WithWrite(c.token, c.writer)
	spec, err := c.cancelled.Encode()
	return base.WithSpec(spec), err
}

func (c *rolloutCancellation) evaluate(base, now object.Object) (result, error) {
	old, err := rollout.Decode(base)
	if err != nil {
		return indeterminate, err
	}
	r, err := rollout.Decode(now)
	if err != nil {
		return indeterminate, err
	}
	switch {
	case r.ID() != old.ID():
		return rejected, c.ended(old)
	case r.CancelRequested():
		return accepted, nil
	case r.Finished():
		return rejected, c.ended(r)
	}
	return rebase, nil
}

func (c *rolloutCancellation) ended(r rollout.Rollout) error {
	if r.State() == rollout.TakenBack {
		return fault.New(fault.Conflict, fmt.Sprintf("the move of %s to %s is already taken back", c.service, r.To()), "nothing is left to do")
	}
	return fault.New(fault.Conflict, fmt.Sprintf("the move of %s to %s is already over", c.service, r.To()),
		fmt.Sprintf("start a move to %s to return", r.From()))
}
