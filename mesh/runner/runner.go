package runner

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"wisteriaspoke.example/mesh/answer"
	"wisteriaspoke.example/mesh/call"
	"wisteriaspoke.example/mesh/crashcount"
	"wisteriaspoke.example/mesh/endpoint"
	"wisteriaspoke.example/mesh/enroller"
	"wisteriaspoke.example/mesh/exchanger"
	"wisteriaspoke.example/mesh/holder"
	"wisteriaspoke.example/mesh/kernel"
	"wisteriaspoke.example/mesh/slotter"
)

func init() {
	kernel.Register("runner", 45, func() kernel.Part { return &Runner{} })
}

// Reasons of refusals that are neither the slotter's nor the exchanger's.
const (
	reasonAbsent    = "absent"    // no upstream has announced itself
	reasonSuspect   = "suspect"   // the upstream refused a connection, or another one answered in its place
	reasonMisrouted = "misrouted" // the call is for another instance, service or version
)

var (
	runs    = metrics.GetOrRegisterCounter("run.calls", nil)
	refused = metrics.GetOrRegisterCounter("run.refused", nil)
	took    = metrics.GetOrRegisterHistogram("run.took.ms", nil, metrics.NewExpDecaySample(1028, 0.015))
	waited  = metrics.GetOrRegisterHistogram("run.waited.ms", nil, metrics.NewExpDecaySample(1028, 0.015))
)

// upstreamTracker provides the current upstream and records whether it can be reached.
type upstreamTracker interface {
	// Current returns the upstream, or nil.
	Current() *enroller.Upstream
	// MarkSuspect records that the instance cannot be reached.
	MarkSuspect(instance, reason string)
	// ClearSuspect records that the instance has answered.
	ClearSuspect(instance string)
	// Withdraw records that the process leaves, which is final.
	Withdraw(instance string, startMillis int64)
	// SetLimit records the calls a second that the process takes, or 0 if it names no limit.
	SetLimit(instance string, startMillis int64, perSecond float64)
}

// crashCounter counts how often requests have crashed upstreams.
type crashCounter interface {
	// Assess returns the call's count, and for how long the call must be refused or zero.
	Assess(c call.Call) (crashcount.Count, time.Duration)
	// RecordCrash counts a crash during the call and returns the new count.
	RecordCrash(c call.Call, before crashcount.Count) crashcount.Count
	// RecordCompletion clears the count after a complete response and returns the new one.
	RecordCompletion(c call.Call, before crashcount.Count) crashcount.Count
}

// memoryLimiter bounds the memory that responses take.
type memoryLimiter interface {
	// Holder returns the holder of large bodies.
	Holder() *holder.Holder
}

// backend holds the connections and slots for one start of the upstream.
type backend struct {
	tracker       upstreamTracker
	log           *slog.Logger
	instance      string
	startMillis   int64
	exchanger     *exchanger.Exchanger
	slotter       *slotter.Slotter
	slots         atomic.Int32 // announced by the upstream
	limit         limit
	leaving       atomic.Bool  // the upstream has said in a response that it leaves
	ratioPerMille atomic.Int64 // smoothed service time, in thousandths of the expected one
}

const (
	// averagePerMille is the ratio of an upstream as fast as the others of its service.
	averagePerMille = 1000
	// initialPerMille is the ratio before the first calls: that of a fast upstream. With an average one, a new upstream
	// would get no calls while faster ones have free slots, and so would never be measured.
	initialPerMille = 700
	// callWeight is the weight of one call in the smoothed ratio, which some ten calls bring near the true value.
	callWeight = 0.1
	// averagePull is the weight of the average in each update. Expected service times are derived from calls whose times
	// are divided by the ratios, so without it all ratios could drift together.
	averagePull = 0.01
	// maxPerMille bounds the ratio of one call, as a few outliers must not exclude an endpoint.
	maxPerMille = 10 * averagePerMille
)

// observe updates the ratio with the service time of a call.
func (b *backend) observe(spent, expected time.Duration) {
	if expected <= 0 {
		return
	}
	ratio := min(maxPerMille, float64(spent)/float64(expected)*averagePerMille)
	old := b.ratioPerMille.Load()
	b.ratioPerMille.Store(old + int64(callWeight*(ratio-float64(old))+averagePull*(averagePerMille-float64(old))))
}

// Runner runs calls on the local upstream.
type Runner struct {
	log     *slog.Logger
	tracker upstreamTracker
	dialect exchanger.Dialect
	crashes crashCounter
	views   viewSource
	proofs  freshness
	holder  *holder.Holder
	backend atomic.Pointer[backend]
}

// Start looks up the parts that the runner needs.
func (r *Runner) Start(_ context.Context, k *kernel.Kernel) (<-chan error, error) {
	var err error
	if r.tracker, err = kernel.Need[upstreamTracker](k); err != nil {
		return nil, err
	}
	if r.dialect, err = kernel.Need[exchanger.Dialect](k); err != nil {
		return nil, err
	}
	if r.crashes, err = kernel.Need[crashCounter](k); err != nil {
		return nil, err
	}
	if r.views, err = kernel.Need[viewSource](k); err != nil {
		return nil, err
	}
	if r.proofs, err = kernel.Need[freshness](k); err != nil {
		return nil, err
	}
	memory, err := kernel.Need[memoryLimiter](k)
	if err != nil {
		return nil, err
	}
	r.holder = memory.Holder()
	r.log = k.Log
	return nil, nil
}

// UpstreamChanged gives a new start of the upstream its own connections and slots, and refuses calls for a leaving one.
func (r *Runner) UpstreamChanged(u *enroller.Upstream) {
	a := u.Announcement()
	b := r.backend.Load()
	leaving := u.State() == endpoint.Leaving
	if b == nil || b.instance != a.Instance || b.startMillis != a.StartMillis || b.exchanger.Address != a.Address || b.slotter.Closed() && !leaving {
		next := &backend{
			tracker: r.tracker, log: r.log, instance: a.Instance, startMillis: a.StartMillis,
			slotter: slotter.New(min(a.Slots, unprovenSlots)), limit: limit{base: time.Now()},
		}
		next.exchanger = &exchanger.Exchanger{Address: a.Address, Dialect: r.dialect, Observer: next, Refuse: r.checkKey, Holder: r.holder}
		next.slots.Store(int32(a.Slots))
		next.ratioPerMille.Store(initialPerMille)
		r.backend.Store(next)
		if b != nil {
			b.slotter.Close()
			b.exchanger.CloseIdleConnections()
		}
		b = next
	}
	if b.slots.Load() != int32(a.Slots) {
		b.resize(a.Slots)
	}
	if leaving {
		b.slotter.Close()
	}
}

// Serve runs one call and returns its answer; ctx ends at the call's deadline, or when its caller or link is gone.
func (r *Runner) Serve(ctx context.Context, c call.Call) answer.Answer {
	b := r.backend.Load()
	if reason := r.check(ctx, c, b); reason != "" {
		return r.refuse(c, b, reason, waitAfter(reason))
	}
	begin := time.Now()
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = begin.Add(time.Minute)
	}
	request := slotter.Request{
		Priority: c.Priority(), Tenant: c.Tenant(), Deadline: deadline, LatestStart: begin.Add(time.Duration(c.LatestStart()) * time.Millisecond),
		MaxWait: time.Duration(c.MaxWait()) * time.Millisecond,
	}
	if refusal, wait := b.slotter.Acquire(ctx, request); refusal != "" {
		return r.refuse(c, b, string(refusal), wait)
	}
	wait := time.Since(begin)
	waited.Update(wait.Milliseconds())
	// The upstream or the caller may be gone after the wait.
	if reason := r.check(ctx, c, b); reason != "" {
		b.slotter.Release(0)
		return r.refuse(c, b, reason, waitAfter(reason))
	}
	count, refusedFor := r.crashes.Assess(c)
	if refusedFor > 0 {
		b.slotter.Release(0)
		return r.refuse(c, b, crashcount.Refused, refusedFor)
	}
	runs.Inc(1)
	a := b.exchanger.Exchange(ctx, c)
	r.finish(c, b, a, wait)
	f := a.Fields()
	f.Outstanding, f.Slots, f.ServiceTimeRatio = b.slotter.Outstanding(), b.slotter.Slots(), b.ratioPerMille.Load()
	f.Leaving = b.leaving.Load()
	f.CrashCount = r.countAfter(ctx, c, b, a, count)
	return answer.New(f)
}

// countAfter returns the call's crash count after the answer. before is the count before the call ran.
func (r *Runner) countAfter(ctx context.Context, c call.Call, b *backend, a answer.Answer, before crashcount.Count) crashcount.Count {
	switch {
	case a.Ran() == answer.Yes:
		return r.crashes.RecordCompletion(c, before)
	case a.Reason() == exchanger.ReasonConnectionLost && !r.hasLeft(b) && !b.exchanger.Listening(ctx):
		return r.crashes.RecordCrash(c, before)
	}
	return before
}

// hasLeft reports whether the upstream has said that it leaves, so that its end is not a crash.
func (r *Runner) hasLeft(b *backend) bool {
	if b.leaving.Load() {
		return true
	}
	u := r.tracker.Current()
	return u != nil && u.Withdrawn() && u.Announcement().Instance == b.instance && u.Announcement().StartMillis == b.startMillis
}

// LeavingStated refuses all later calls for the upstream and lets other nodes know.
func (b *backend) LeavingStated() {
	if b.leaving.Swap(true) {
		return
	}
	b.log.Info("upstream says that it leaves", "instance", b.instance, "born", b.startMillis)
	b.slotter.Close()
	b.tracker.Withdraw(b.instance, b.startMillis)
}

// Load returns the number of calls at the local upstream and its smoothed ratio in thousandths, or zeros without one.
func (r *Runner) Load() (outstanding int, ratioPerMille int64) {
	b := r.backend.Load()
	if b == nil {
		return 0, 0
	}
	return b.slotter.Outstanding(), b.ratioPerMille.Load()
}

// finish records the answer to a call that waited for its slot.
func (r *Runner) finish(c call.Call, b *backend, a answer.Answer, wait time.Duration) {
	spent := time.Duration(a.ServiceTime()) * time.Microsecond
	if a.Ran() == answer.No {
		spent = 0
	}
	b.slotter.Release(spent)
	if spent > 0 {
		took.Update(spent.Milliseconds())
	}
	if a.Ran() == answer.Yes && a.Status() < http.StatusInternalServerError || a.Reason() == exchanger.ReasonTimeout && spent > 0 {
		b.observe(spent, time.Duration(c.ExpectedServiceTime())*time.Microsecond)
	}
	switch a.Reason() {
	case exchanger.ReasonUnreachable, exchanger.ReasonWrongInstance:
		r.tracker.MarkSuspect(b.instance, a.Reason())
	case "":
		if u := r.tracker.Current(); u != nil && u.State() == endpoint.Suspect {
			r.tracker.ClearSuspect(b.instance)
		}
	}
	if a.Reason() != "" {
		r.log.Warn("call failed at the upstream", "id", c.RequestID(), "instance", b.instance, "reason", a.Reason(),
			"ran", a.Ran(), "waited", wait.Milliseconds(), "took", spent.Milliseconds(), "left", c.TimeLeft())
	}
}

// Check returns why the call may not run here now, or the empty string.
func (r *Runner) Check(ctx context.Context, c call.Call) string {
	return r.check(ctx, c, r.backend.Load())
}

// Refuse returns the answer to a call that was not run, with the expected wait for a slot.
func (r *Runner) Refuse(c call.Call, reason string, wait time.Duration) answer.Answer {
	return r.refuse(c, r.backend.Load(), reason, wait)
}

// check returns why the call may not run here now, or the empty string.
func (r *Runner) check(ctx context.Context, c call.Call, b *backend) string {
	u := r.tracker.Current()
	if u == nil || b == nil {
		return reasonAbsent
	}
	a := u.Announcement()
	switch {
	case ctx.Err() != nil:
		return exchanger.ReasonCancelled
	case a.Instance != b.instance || c.Instance() != "" && c.Instance() != a.Instance,
		c.Service() != a.Service, c.Version() != "" && c.Version() != a.Version:
		return reasonMisrouted
	case u.State() == endpoint.Leaving:
		return string(slotter.Leaving)
	case u.State() == endpoint.Suspect && !u.MayRetry(time.Now()):
		return reasonSuspect
	}
	return r.checkKey(c)
}

func (r *Runner) refuse(c call.Call, b *backend, reason string, wait time.Duration) answer.Answer {
	refused.Inc(1)
	f := answer.Fields{Status: http.StatusServiceUnavailable, Ran: answer.No, Reason: reason, RetryAfter: wait.Milliseconds()}
	if b != nil {
		f.Outstanding, f.Slots, f.ServiceTimeRatio = b.slotter.Outstanding(), b.slotter.Slots(), b.ratioPerMille.Load()
	}
	r.log.Info("call refused", "id", c.RequestID(), "instance", c.Instance(), "reason", reason, "outstanding", f.Outstanding,
		"slots", f.Slots, "wait", f.RetryAfter, "patience", c.MaxWait(), "start", c.LatestStart(), "left", c.TimeLeft(), "rank", c.Priority())
	return answer.New(f)
}
