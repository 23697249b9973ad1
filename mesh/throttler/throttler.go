package throttler

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"wisteriaspoke.example/mesh/answer"
	"wisteriaspoke.example/mesh/call"
	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/holder"
	"wisteriaspoke.example/mesh/kernel"
	"wisteriaspoke.example/mesh/pauser"
	"wisteriaspoke.example/mesh/sizer"
)

func init() {
	kernel.Register("throttler", 25, func() kernel.Part { return &Throttler{} })
}

const (
	// largeBytes is the size from which an answer waits for its turn. Smaller ones are counted but do not wait.
	largeBytes = 16 << 10
	// linkShare is the part of the link's rate that answers may use.
	linkShare = 0.85
	// serviceTimeFactor is the multiple of the service time by which a call's latest start lies before its objective's end.
	serviceTimeFactor = 1.5
)

// reason is the reason of refusals.
const reason = "outflow"

var (
	refused = metrics.GetOrRegisterCounter("outflow.refused", nil)
	delayed = metrics.GetOrRegisterCounter("outflow.delayed", nil)
)

// refuser makes the answers to calls that are not run.
type refuser interface {
	// Refuse returns the answer to a call that was not run, with the expected wait.
	Refuse(c call.Call, reason string, wait time.Duration) answer.Answer
}

// memoryLimiter bounds the memory that answers take.
type memoryLimiter interface {
	// Holder returns the holder of large bodies.
	Holder() *holder.Holder
}

// Throttler limits the large answers that leave this host. It is safe for concurrent use after Start.
type Throttler struct {
	LinkRate float64 `help:"Millions of bits a second that the host's network link carries; 0 for no limit on answers." default:"0" env:"WISTERIASPOKE_LINK_RATE"`

	refuser refuser
	holder  *holder.Holder
	sizes   sizer.Sizer

	mutex    sync.Mutex // guards the following
	freeAt   time.Time  // when the answers sent so far have left
	reserved int64      // bytes of the answers of running calls, as expected
}

// Check returns an error with a remedy if the setting is invalid.
func (t *Throttler) Check() error {
	if !(t.LinkRate >= 0) {
		return fault.New(fault.Invalid, fmt.Sprintf("--link-rate is %g", t.LinkRate), "set it to 0 or more")
	}
	return nil
}

// Start looks up the part that the throttler needs.
func (t *Throttler) Start(_ context.Context, k *kernel.Kernel) (<-chan error, error) {
	var err error
	if t.refuser, err = kernel.Need[refuser](k); err != nil {
		return nil, err
	}
	memory, err := kernel.Need[memoryLimiter](k)
	if err != nil {
		return nil, err
	}
	t.holder = memory.Holder()
	if t.LinkRate <= 0 {
		t.sizes.From = holder.CountedFrom
	}
	return nil, nil
}

// Rate returns the millions of bits a second that the host's network link carries, or 0 if that is not known.
func (t *Throttler) Rate() float64 { return t.LinkRate }

// Reserve decides whether a call may run, by the expected size of its answer. If ok is true, Send must be called with
// the returned reservation, otherwise the call has not run and the answer is its refusal.
func (t *Throttler) Reserve(ctx context.Context, c call.Call) (reservation int64, refusal answer.Answer, ok bool) {
	expected := t.sizes.Expected(c.Route())
	if !t.holder.Fits(expected) {
		return 0, t.refuser.Refuse(c, holder.Reason, holder.RetryAfter), false
	}
	if t.LinkRate <= 0 || expected < largeBytes {
		return 0, answer.Answer{}, true
	}
	now := time.Now()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	backlog := max(0, t.freeAt.Sub(now)) + t.duration(t.reserved)
	if end := now.Add(max(backlog, serviceTime(c)) + t.duration(expected)); end.After(t.latestEnd(ctx, c, now, backlog)) {
		refused.Inc(1)
		return 0, t.refuser.Refuse(c, reason, backlog), false
	}
	t.reserved += expected
	return expected, answer.Answer{}, true
}

func serviceTime(c call.Call) time.Duration {
	return time.Duration(c.ExpectedServiceTime()) * time.Microsecond
}

// latestEnd returns when the answer must have left: at the end of the latency objective, so that the link is not used up
// by answers that are late anyway. An answer that is late already may leave until its deadline if the link is idle.
func (t *Throttler) latestEnd(ctx context.Context, c call.Call, now time.Time, backlog time.Duration) time.Time {
	objectiveEnd := now.Add(time.Duration(c.LatestStart())*time.Millisecond + time.Duration(serviceTimeFactor*float64(serviceTime(c))))
	deadline, ok := ctx.Deadline()
	switch {
	case !ok:
		deadline = now.Add(time.Minute)
	case c.LatestStart() > 0 && objectiveEnd.Before(deadline):
		return objectiveEnd
	}
	if c.LatestStart() <= 0 && backlog > serviceTime(c) {
		return now
	}
	return deadline
}

// Send ends a reservation and waits until an answer of the size may leave. It returns an error if ctx ends first.
func (t *Throttler) Send(ctx context.Context, c call.Call, reservation int64, size int) error {
	t.sizes.Observe(c.Route(), int64(size))
	if t.LinkRate <= 0 {
		return nil
	}
	now := time.Now()
	t.mutex.Lock()
	t.reserved -= reservation
	start := now
	if t.freeAt.After(now) {
		start = t.freeAt
	}
	t.freeAt = start.Add(t.duration(int64(size)))
	t.mutex.Unlock()
	if size < largeBytes || start == now {
		return nil
	}
	delayed.Inc(1)
	return pauser.Pause(ctx, start.Sub(now))
}

// duration returns how long the link takes for the bytes.
func (t *Throttler) duration(bytes int64) time.Duration {
	const bitsPerByte, million = 8, 1e6
	return time.Duration(float64(bytes) * bitsPerByte / (t.LinkRate * million * linkShare) * float64(time.Second))
}
