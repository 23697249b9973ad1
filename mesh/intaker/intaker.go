package intaker

import (
	"context"
	"fmt"
	"time"

	"github.com/rcrowley/go-metrics"

	"wisteriaspoke.example/mesh/answer"
	"wisteriaspoke.example/mesh/call"
	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/kernel"
	"wisteriaspoke.example/mesh/slotter"
)

func init() {
	kernel.Register("intaker", 25, func() kernel.Part { return &Intaker{} })
}

var (
	admitted = metrics.GetOrRegisterCounter("intake.bodies", nil)
	refused  = metrics.GetOrRegisterCounter("intake.refused", nil)
	waited   = metrics.GetOrRegisterHistogram("intake.waited.ms", nil, metrics.NewExpDecaySample(1028, 0.015))
	took     = metrics.GetOrRegisterHistogram("intake.took.ms", nil, metrics.NewExpDecaySample(1028, 0.015))
)

// bodyReasonPrefix distinguishes refusals of the intaker from those of the upstream's slotter.
const bodyReasonPrefix = "body-"

// checker checks whether the local upstream may run a call.
type checker interface {
	// Check returns why the call may not run here now, or the empty string.
	Check(ctx context.Context, c call.Call) string
	// Refuse returns the answer to a call that was not run, with the expected wait for a slot.
	Refuse(c call.Call, reason string, wait time.Duration) answer.Answer
}

// Intaker limits how many large bodies are received at once. It is safe for concurrent use after Start.
type Intaker struct {
	Bodies int `help:"Large bodies of other nodes that are received at a time." default:"2" env:"WISTERIASPOKE_BODIES"`

	checker checker
	slots   *slotter.Slotter
}

// Check returns an error with a remedy if the setting is invalid.
func (i *Intaker) Check() error {
	if i.Bodies < 1 {
		return fault.New(fault.Invalid, fmt.Sprintf("--bodies is %d", i.Bodies), "set it to 1 or more")
	}
	return nil
}

// Start looks up the parts that the intaker needs.
func (i *Intaker) Start(_ context.Context, k *kernel.Kernel) (<-chan error, error) {
	var err error
	if i.checker, err = kernel.Need[checker](k); err != nil {
		return nil, err
	}
	i.slots = slotter.New(i.Bodies)
	return nil, nil
}

// Acquire waits until the body of the call may be sent. Release must be called if ok is true; otherwise the call has
// not run and the answer is its refusal.
func (i *Intaker) Acquire(ctx context.Context, c call.Call) (refusal answer.Answer, ok bool) {
	if reason := i.checker.Check(ctx, c); reason != "" {
		refused.Inc(1)
		return i.checker.Refuse(c, reason, 0), false
	}
	began := time.Now()
	// The body must have arrived by the call's latest start.
	timeToStart := time.Duration(c.LatestStart())*time.Millisecond - i.slots.MeanServiceTime()
	r := slotter.Request{
		Priority: c.Priority(), LatestStart: began.Add(timeToStart), MaxWait: time.Duration(c.MaxWait()) * time.Millisecond,
	}
	var hasDeadline bool
	if r.Deadline, hasDeadline = ctx.Deadline(); !hasDeadline {
		r.Deadline = began.Add(time.Minute)
	}
	reason, wait := i.slots.Acquire(ctx, r)
	if reason != "" {
		refused.Inc(1)
		return i.checker.Refuse(c, bodyReasonPrefix+string(reason), wait), false
	}
	admitted.Inc(1)
	waited.Update(time.Since(began).Milliseconds())
	return answer.Answer{}, true
}

// Release ends the receipt of a body; spent is how long the transfer took, or zero if the body did not arrive.
func (i *Intaker) Release(spent time.Duration) {
	if spent > 0 {
		took.Update(spent.Milliseconds())
	}
	i.slots.Release(spent)
}
