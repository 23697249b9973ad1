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
	taken   = metrics.GetOrRegisterCounter("intake.bodies", nil)
	refused = metrics.GetOrRegisterCounter("intake.refused", nil)
	waited  = metrics.GetOrRegisterHistogram("intake.waited.ms", nil, metrics.NewExpDecaySample(1028, 0.015))
	took    = metrics.GetOrRegisterHistogram("intake.took.ms", nil, metrics.NewExpDecaySample(1028, 0.015))
)

// reasonPrefix tells refusals for want of room for the body from those for want of a slot.
const reasonPrefix = "body-"

// checker knows whether the local upstream may run a call.
type checker interface {
	// Check returns why the call may not run here now, or the empty string.
	Check(ctx context.Context, c call.Call) string
	// Refuse returns the end of a call that was not run, with the expected wait for room.
	Refuse(c call.Call, reason string, wait time.Duration) answer.Answer
}

// Intaker admits bodies; it may be used by many goroutines after Start.
type Intaker struct {
	Bodies int `help:"Large bodies of other nodes that are received at a time." default:"2" env:"WISTERIASPOKE_BODIES"`

	checker checker
	room    *slotter.Slotter
}

// Check returns every bad setting with its remedy.
func (i *Intaker) Check() error {
	if i.Bodies < 1 {
		return fault.New(fault.Invalid, fmt.Sprintf("--bodies is %d", i.Bodies), "set it to 1 or more")
	}
	return nil
}

// Start finds the parts that the intaker needs.
func (i *Intaker) Start(_ context.Context, k *kernel.Kernel) (<-chan error, error) {
	var err error
	if i.checker, err = kernel.Need[checker](k); err != nil {
		return nil, err
	}
	i.room = slotter.New(i.Bodies)
	return nil, nil
}

// Acquire waits until there is room for the body of the call. Without ok, the answer is the end of the call, which has not
// run. Leave must follow an admission.
func (i *Intaker) Acquire(ctx context.Context, c call.Call) (refusal answer.Answer, ok bool) {
	if reason := i.checker.Check(ctx, c); reason != "" {
		refused.Inc(1)
		return i.checker.Refuse(c, reason, 0), false
	}
	begun := time.Now()
	// The body must be here by the latest start.
	start := time.Duration(c.LatestStart())*time.Millisecond - i.room.MeanServiceTime()
	r := slotter.Request{
		Priority: c.Priority(), LatestStart: begun.Add(start), MaxWait: time.Duration(c.MaxWait()) * time.Millisecond,
	}
	var limited bool
	if r.Deadline, limited = ctx.Deadline(); !limited {
		r.Deadline = begun.Add(time.Minute)
	}
	reason, wait := i.room.Acquire(ctx, r)
	if reason != "" {
		refused.Inc(1)
		return i.checker.Refuse(c, reasonPrefix+string(reason), wait), false
	}
	taken.Inc(1)
	waited.Update(time.Since(begun).Milliseconds())
	return answer.Answer{}, true
}

// Release gives the room back; spent is how long the body was on its way, or zero if it did not come.
func (i *Intaker) Release(spent time.Duration) {
	if spent > 0 {
		took.Update(spent.Milliseconds())
	}
	i.room.Release(spent)
}
