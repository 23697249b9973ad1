package forwarder

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"wisteriaspoke.example/mesh/allowance"
	"wisteriaspoke.example/mesh/answer"
	"wisteriaspoke.example/mesh/call"
	"wisteriaspoke.example/mesh/chooser"
	"wisteriaspoke.example/mesh/estimator"
	"wisteriaspoke.example/mesh/exchanger"
	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/kernel"
	"wisteriaspoke.example/mesh/rule"
	"wisteriaspoke.example/mesh/target"
	"wisteriaspoke.example/mesh/view"
)

func init() {
	kernel.Register("forwarder", 60, func() kernel.Part { return &Forwarder{random: rand.IntN, estimator: estimator.New()} })
}

const (
	// slowFactor is the multiple of a rule's usual time from which an answer of a moving service counts as slow: above
	// what a slow host and a long request explain together.
	slowFactor = 3.5
	// leastHeld and mostHeld bound how long calls are kept from an endpoint that refused one, half of the wait that it
	// expects: others may find room earlier.
	leastHeld = 30 * time.Millisecond
	mostHeld  = 150 * time.Millisecond
	// startQuantile is the multiple of the usual time that is kept for the upstream when a call may wait for a slot:
	// four in five calls take less.
	startQuantile = 1.5
	// soon is the time to return that callers are told when no endpoint is known.
	soon = 250 * time.Millisecond
	// spare is the part of the mesh's bound on repeats that is used; nodes come and go, and their parts do not add up
	// exactly.
	spare = 0.7
)

var (
	repeats  = metrics.GetOrRegisterCounter("call.repeats", nil)
	reroutes = metrics.GetOrRegisterCounter("call.reroutes", nil)
	unspent  = metrics.GetOrRegisterCounter("call.unaffordable", nil)
)

// Reasons of refusals that are this part's own.
const (
	reasonNone  = "none"  // no endpoint of the service is known, or all were tried
	reasonCrowd = "crowd" // all endpoints have just refused calls
	reasonLink  = "link"  // the link with the endpoint's node broke
)

// viewer has the state that calls read.
type viewer interface {
	// PeakNodeCount returns the number of nodes that share the mesh's bounds, this one included.
	PeakNodeCount() int
}

// carrier takes calls to other nodes.
type carrier interface {
	// Call sends c to the node at address peer and waits for its answer; errors are of kind NotRun or MayHaveRun.
	Call(ctx context.Context, peer string, c call.Call) (answer.Answer, error)
}

// runner runs calls on the upstream beside this node.
type runner interface {
	// Serve runs one call and returns its end.
	Serve(ctx context.Context, c call.Call) answer.Answer
}

// observer learns how calls end, for moves to new versions.
type observer interface {
	// Observe takes the answer of one call to an endpoint.
	Observe(service, version, rule, instance string, failed, slow bool)
	// IsMoveTarget reports whether the version is the target of a running move.
	IsMoveTarget(service, version string) bool
}

// Forwarder takes requests to endpoints.
type Forwarder struct {
	RepeatRatio   float64       `help:"Repeats that the whole mesh may send to a service for each request." default:"0.2" env:"WISTERIASPOKE_REPEAT_RATIO"`
	RepeatReserve float64       `help:"Repeats that the whole mesh may send to a service beyond the ratio, in each window." default:"50" env:"WISTERIASPOKE_REPEAT_RESERVE"`
	RepeatWindow  time.Duration `help:"Window of the bound on repeats." default:"10s" env:"WISTERIASPOKE_REPEAT_WINDOW"`

	log        *slog.Logger
	viewer     viewer
	carrier    carrier
	runner     runner
	observer   observer
	random     func(int) int
	estimator  *estimator.Estimator
	allowances sync.Map // service -> *allowance.Budget
	longest    sync.Map // rule -> *atomic.Int64, the longest time that a caller had left, in milliseconds
}

// Check returns every bad setting with its remedy.
func (f *Forwarder) Check() error {
	if f.RepeatRatio < 0 || f.RepeatReserve < 0 || f.RepeatWindow <= 0 {
		return fault.New(fault.Invalid, "--repeat-ratio, --repeat-reserve or --repeat-window is negative", "set them to 0 or more, and the window above 0")
	}
	return nil
}

// Start finds the parts that the forwarder needs.
func (f *Forwarder) Start(_ context.Context, k *kernel.Kernel) (<-chan error, error) {
	var err error
	if f.viewer, err = kernel.Need[viewer](k); err != nil {
		return nil, err
	}
	if f.carrier, err = kernel.Need[carrier](k); err != nil {
		return nil, err
	}
	if f.runner, err = kernel.Need[runner](k); err != nil {
		return nil, err
	}
	if f.observer, err = kernel.Need[observer](k); err != nil {
		return nil, err
	}
	f.log = k.Log
	return nil, nil
}

// journey is one request on its way.
type journey struct {
	rule     *rule.Rule
	service  string
	view     *view.View
	fields   call.Fields
	tried    []*target.Target
	last     *target.Target // gave the last answer
	arrivals int
	ran      bool           // an earlier send has run or may have
	failure  *answer.Answer // the last failure that an upstream answered with
	expected time.Duration
	begun    time.Time
	due      time.Time // end of the latency objective, counted from the caller's first attempt
}

// Forward sends the request of the rule to an endpoint and returns the end of it. ctx ends with the deadline or when the
// caller hangs up. Refusals and failures of the mesh's own have a status and a reason, and a wait before the caller
// should return.
func (f *Forwarder) Forward(ctx context.Context, v *view.View, r *rule.Rule, c call.Fields) answer.Answer {
	j := &journey{rule: r, service: r.PickService(f.random), view: v, fields: c, begun: time.Now()}
	j.expected = f.estimator.ServiceTime(r.Name(), r.Objective())
	j.due = j.begun.Add(r.Objective() - f.waited(r.Name(), c.TimeLeft))
	allowance := f.allowance(j.service)
	allowance.Deposit()
	targets := v.Pool(j.service).PickVersion(f.random)
	for {
		choice := f.choose(j, targets)
		t := choice.Target()
		if t == nil {
			return f.lost(j, refusal(reasonNone, soon))
		}
		if t.Gauge().InBackoff(time.Now()) {
			// The choice costs more than any other, so all endpoints have just refused a call.
			return f.lost(j, refusal(reasonCrowd, max(soon, choice.ExpectedWait())))
		}
		patience := choice.MaxWait()
		if choice.NoAlternative() {
			patience = 0
		}
		a, t := f.exchange(ctx, j, t, patience, targets, allowance)
		j.last = t
		left := remaining(ctx)
		s := situation{
			answer: a, idempotent: r.Idempotent(), arrivals: j.arrivals, attempts: r.Attempts(), sends: len(j.tried),
			left: left, expected: j.expected, allowed: true, others: len(targets) > len(j.tried),
		}
		act := next(s)
		if act == repeat && !allowance.TryWithdraw(time.Now()) {
			unspent.Inc(1)
			s.allowed = false
			act = next(s)
		}
		if ctx.Err() != nil && a.Ran() != answer.Yes {
			act = giveUp
		}
		j.keep(a)
		switch act {
		case deliver:
			f.delivered(j, a, left)
			return a
		case giveUp:
			return f.lost(j, a)
		case repeat:
			repeats.Inc(1)
		default:
			reroutes.Inc(1)
		}
		f.log.Info("request sent again", "id", c.RequestID, "rule", r.Name(), "action", act, "reason", a.Reason(), "ran", a.Ran(),
			"status", a.Status(), "peer", t.Endpoint().Address(), "instance", t.Endpoint().Instance(), "tier", t.Tier().String(),
			"left", left.Milliseconds(), "budget", allowance.Balance())
	}
}

func remaining(ctx context.Context) time.Duration {
	if d, ok := ctx.Deadline(); ok {
		return time.Until(d)
	}
	return time.Minute
}

func (f *Forwarder) choose(j *journey, targets []*target.Target) chooser.Choice {
	return chooser.Choose(chooser.Input{
		Targets: targets, Exclude: j.tried, ExpectedServiceTime: j.expected, Objective: j.rule.Objective(), Bulk: j.rule.Bulk(), Now: time.Now(),
		Random: f.random,
	})
}

func refusal(reason string, wait time.Duration) answer.Answer {
	return answer.New(answer.Fields{Status: http.StatusServiceUnavailable, Ran: answer.No, Reason: reason, RetryAfter: wait.Milliseconds()})
}

// waited returns how long the caller has waited before this attempt. A first attempt leaves the longest time, so the
// difference from the longest one seen for the rule is what earlier attempts took.
func (f *Forwarder) waited(rule string, left int64) time.Duration {
	if left <= 0 {
		return 0
	}
	found, ok := f.longest.Load(rule)
	if !ok {
		found, _ = f.longest.LoadOrStore(rule, &atomic.Int64{})
	}
	longest := found.(*atomic.Int64)
	for {
		old := longest.Load()
		if left <= old {
			return time.Duration(old-left) * time.Millisecond
		}
		if longest.CompareAndSwap(old, left) {
			return 0
		}
	}
}

// prepare notes that the endpoint is tried and returns the call for it.
func (f *Forwarder) prepare(ctx context.Context, j *journey, t *target.Target, patience time.Duration) call.Call {
	e, g := t.Endpoint(), t.Gauge()
	j.tried = append(j.tried, t)
	c := j.fields
	c.Service, c.Version, c.Instance = e.Service(), e.Version(), e.Instance()
	c.Route, c.Priority, c.Idempotent, c.MaxWait = j.rule.Name(), j.rule.Priority(), j.rule.Idempotent(), patience.Milliseconds()
	c.TimeLeft = max(1, remaining(ctx).Milliseconds())
	c.ExpectedServiceTime = j.expected.Microseconds()
	usual := time.Duration(float64(j.expected) * g.ServiceTimeRatio())
	c.LatestStart = time.Until(j.due.Add(-time.Duration(startQuantile * float64(usual)))).Milliseconds()
	return call.New(c)
}

// send does one attempt and keeps what it says of the endpoint. It changes nothing in the journey, so that two attempts of
// one can be under way.
func (f *Forwarder) send(ctx context.Context, j *journey, t *target.Target, c call.Call) answer.Answer {
	g := t.Gauge()
	mark := g.Begin(time.Now())
	a := f.carry(ctx, t, c)
	g.End(mark)
	f.learn(j, t, a, c.LatestStart() > 0)
	return a
}

func (f *Forwarder) carry(ctx context.Context, t *target.Target, c call.Call) answer.Answer {
	if t.Tier() == target.Local {
		return f.runner.Serve(ctx, c)
	}
	a, err := f.carrier.Call(ctx, t.Endpoint().Address(), c)
	if err == nil {
		return a
	}
	w := answer.Fields{Status: http.StatusBadGateway, Ran: answer.Maybe, Reason: reasonLink}
	if fault.KindOf(err) == fault.NotRun {
		w = answer.Fields{Status: http.StatusServiceUnavailable, Ran: answer.No, Reason: reasonLink}
	}
	if ctx.Err() != nil {
		w.Reason = exchanger.EndReason(ctx)
	}
	return answer.New(w)
}

// learn keeps what an answer says of the endpoint.
//
// Only a refusal of a call that could have waited says that there is a crowd.
func (f *Forwarder) learn(j *journey, t *target.Target, a answer.Answer, patient bool) {
	now := time.Now()
	e, g := t.Endpoint(), t.Gauge()
	if a.Slots() > 0 {
		g.RecordLoad(a.Outstanding(), now)
	}
	took := time.Duration(a.ServiceTime()) * time.Microsecond
	bad := failed(a)
	switch {
	case a.Ran() == answer.No:
		if patient {
			wait := time.Duration(a.RetryAfter()) * time.Millisecond
			g.BackOff(now.Add(min(mostHeld, max(leastHeld, wait/2))))
		}
		if bad || a.Reason() == reasonLink {
			g.RecordFailure(now)
		}
	case bad:
		if g.RecordFailure(now) {
			f.log.Warn("endpoint ejected", "peer", e.Address(), "instance", e.Instance(), "service", e.Service(), "reason", a.Reason(), "status", a.Status())
		}
	case a.Ran() == answer.Yes:
		g.RecordSuccess(now)
	}
	timedOut := a.Reason() == exchanger.ReasonTimeout
	if timedOut {
		took = now.Sub(j.begun)
	}
	if a.Ran() == answer.Yes && a.Status() < 300 && !f.observer.IsMoveTarget(e.Service(), e.Version()) {
		// Divided by the pace, the times of slow and fast endpoints agree, so nodes near slow ones expect the same.
		f.estimator.Observe(j.rule.Name(), j.rule.Objective(), time.Duration(float64(took)/g.ServiceTimeRatio()))
	}
	if a.ServiceTimeRatio() > 0 {
		g.SetServiceTimeRatio(float64(a.ServiceTimeRatio()) / 1000)
	}
	if a.Ran() == answer.No && a.Reason() != exchanger.ReasonShed || a.Reason() == exchanger.ReasonCancelled {
		return
	}
	slow := !e.WarmupEnd().After(now) && float64(took) > slowFactor*float64(j.expected)
	f.observer.Observe(e.Service(), e.Version(), j.rule.Name(), e.Instance(), bad && !timedOut, slow)
}

// allowance returns this node's part of the bound on repeats for the service.
func (f *Forwarder) allowance(service string) *allowance.Budget {
	reserve := f.RepeatReserve * spare / float64(f.viewer.PeakNodeCount())
	found, ok := f.allowances.Load(service)
	if !ok {
		fresh := allowance.New(f.RepeatRatio*spare, reserve, f.RepeatWindow, time.Now())
		found, _ = f.allowances.LoadOrStore(service, fresh)
	}
	a := found.(*allowance.Budget)
	a.SetReserve(reserve)
	return a
}

// attributes are the inputs of the last decision on a request, for its log line.
func (j *journey) attributes(a answer.Answer) []any {
	as := []any{
		"id", j.fields.RequestID, "rule", j.rule.Name(), "rank", j.rule.Priority(), "service", j.service, "caller", j.fields.Caller, "status", a.Status(),
		"ran", a.Ran(), "sends", len(j.tried), "arrivals", j.arrivals, "took", time.Since(j.begun).Milliseconds(),
		"expected", j.expected.Milliseconds(),
	}
	if p := j.view.Plan(); p != nil {
		as = append(as, "version", p.Version(), "age", time.Since(j.view.PlanSince()).Milliseconds())
	}
	if t := j.last; t != nil {
		e := t.Endpoint()
		as = append(as, "peer", e.Address(), "instance", e.Instance(), "tier", t.Tier().String(), "release", e.Version(),
			"outstanding", a.Outstanding(), "slots", a.Slots(), "upstream", a.ServiceTime()/1000)
	}
	return as
}

func (f *Forwarder) delivered(j *journey, a answer.Answer, left time.Duration) {
	f.log.Info("request answered", append(j.attributes(a), "left", left.Milliseconds())...)
}

// keep notes what an answer says of the request as a whole.
func (j *journey) keep(a answer.Answer) {
	j.ran = j.ran || a.Ran() != answer.No
	if a.Ran() == answer.Yes && a.Status() >= http.StatusInternalServerError {
		j.failure = &a
	}
}

// lost ends a request whose last send got no answer of an upstream. The refusal of the last send does not prove that the
// earlier ones have not run.
func (f *Forwarder) lost(j *journey, a answer.Answer) answer.Answer {
	if j.failure != nil {
		f.delivered(j, *j.failure, 0)
		return *j.failure
	}
	w := a.Fields()
	if j.ran && a.Ran() == answer.No {
		w.Ran, w.RetryAfter = answer.Maybe, 0
		a = answer.New(w)
	}
	w.Status = outcome(a)
	if a.Ran() == answer.No && w.RetryAfter == 0 {
		w.RetryAfter = soon.Milliseconds()
	}
	w.Headers, w.Body = nil, nil
	a = answer.New(w)
	f.log.Warn("request failed", append(j.attributes(a), "reason", a.Reason(), "wait", w.RetryAfter)...)
	return a
}
