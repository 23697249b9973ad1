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
	"wisteriaspoke.example/mesh/crashcount"
	"wisteriaspoke.example/mesh/estimator"
	"wisteriaspoke.example/mesh/exchanger"
	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/holder"
	"wisteriaspoke.example/mesh/kernel"
	"wisteriaspoke.example/mesh/rule"
	"wisteriaspoke.example/mesh/sizer"
	"wisteriaspoke.example/mesh/target"
	"wisteriaspoke.example/mesh/view"
)

func init() {
	kernel.Register("forwarder", 60, func() kernel.Part { return &Forwarder{random: rand.IntN, estimator: estimator.New()} })
}

const (
	// slowFactor is the multiple of a rule's expected service time above which an answer of a service whose version is
	// being moved counts as slow: more than a slow host and a long request explain together.
	slowFactor = 3.5
	// minBackoff and maxBackoff bound the backoff after an endpoint refused a call. The backoff is half of the wait that
	// the endpoint announced, as a slot may become free earlier.
	minBackoff = 30 * time.Millisecond
	maxBackoff = 150 * time.Millisecond
	// reservedServiceTimeFactor is the multiple of the service time that is reserved for the upstream when a call may
	// wait for a slot: four in five calls take less.
	reservedServiceTimeFactor = 1.5
	// nestedWaitFraction is the fraction of the time until its latest start for which one send of a nested call may wait.
	nestedWaitFraction = 0.4
	// defaultRetryAfter is the Retry-After of refusals without a known wait, and its minimum if all endpoints refused.
	defaultRetryAfter = 250 * time.Millisecond
	// retryBudgetFraction is the fraction of the mesh's retry budget that is used. The rest is a margin, as the nodes'
	// shares do not add up exactly while nodes join and leave.
	retryBudgetFraction = 0.7
	// randomSteps is the resolution of random times.
	randomSteps = 1000
	// percent is the factor from a fraction to the value of a metric.
	percent = 100
)

var (
	retries  = metrics.GetOrRegisterCounter("call.repeats", nil)
	reroutes = metrics.GetOrRegisterCounter("call.reroutes", nil)
	// choices counts chosen endpoints by tier.
	choices = [...]metrics.Counter{
		target.Local:          metrics.GetOrRegisterCounter("call.choices.own", nil),
		target.SameDataCentre: metrics.GetOrRegisterCounter("call.choices.centre", nil),
		target.SameRegion:     metrics.GetOrRegisterCounter("call.choices.region", nil),
		target.RemoteRegion:   metrics.GetOrRegisterCounter("call.choices.far", nil),
	}
	utilisations    = metrics.GetOrRegisterHistogram("call.utilisation.percent", nil, metrics.NewExpDecaySample(1028, 0.015))
	budgetExhausted = metrics.GetOrRegisterCounter("call.unaffordable", nil)
)

// Reasons of refusals by the forwarder itself.
const (
	reasonNoEndpoint   = "none"  // no endpoint of the service is known, or all were tried
	reasonAllInBackoff = "crowd" // all endpoints have just refused calls
	reasonLinkBroken   = "link"  // the link with the endpoint's node broke
	reasonPanic        = "panic" // a fault of this program ended the send
)

// nodeCounter counts the nodes of the mesh.
type nodeCounter interface {
	// PeakNodeCount returns the largest number of nodes, including this one, that were known at one time. They share
	// the mesh-wide limits.
	PeakNodeCount() int
}

// peerCaller sends calls to other nodes.
type peerCaller interface {
	// Call sends c to the node at address peer and waits for its answer; errors have the kind NotRun or MayHaveRun.
	Call(ctx context.Context, peer string, c call.Call) (answer.Answer, error)
}

// runner runs calls on the upstream beside this node.
type runner interface {
	// Serve runs one call and returns its answer.
	Serve(ctx context.Context, c call.Call) answer.Answer
}

// crashCounter counts how often requests have crashed upstreams.
type crashCounter interface {
	// Assess returns the call's count, and for how long the call must be refused or zero.
	Assess(c call.Call) (crashcount.Count, time.Duration)
}

// observer collects the results of calls to judge moves to new versions.
type observer interface {
	// Observe records the result of one call to an endpoint.
	Observe(service, version, rule, instance string, failed, slow, shed bool)
	// IsMoveTarget reports whether the version is the target of a running move.
	IsMoveTarget(service, version string) bool
}

// memoryLimiter bounds the memory that answers take.
type memoryLimiter interface {
	// Holder returns the holder of large bodies.
	Holder() *holder.Holder
}

// Forwarder sends requests to endpoints.
type Forwarder struct {
	RepeatRatio   float64       `help:"Repeats that the whole mesh may send to a service for each request." default:"0.2" env:"WISTERIASPOKE_REPEAT_RATIO"`
	RepeatReserve float64       `help:"Repeats that the whole mesh may send to a service beyond the ratio, in each window." default:"50" env:"WISTERIASPOKE_REPEAT_RESERVE"`
	RepeatWindow  time.Duration `help:"Window of the bound on repeats." default:"10s" env:"WISTERIASPOKE_REPEAT_WINDOW"`

	Even bool `help:"Spread calls evenly over the endpoints, as load reports are old." env:"WISTERIASPOKE_EVEN"`

	log         *slog.Logger
	nodes       nodeCounter
	peers       peerCaller
	runner      runner
	observer    observer
	crashes     crashCounter
	holder      *holder.Holder
	sizes       sizer.Sizer // of the answers to callers of this node
	random      func(int) int
	estimator   *estimator.Estimator
	budgets     sync.Map // service -> *allowance.Budget
	maxTimeLeft sync.Map // rule -> *atomic.Int64, the longest time left of any request, in milliseconds
}

// Check returns an error for invalid settings, with its remedy.
func (f *Forwarder) Check() error {
	if f.RepeatRatio < 0 || f.RepeatReserve < 0 || f.RepeatWindow <= 0 {
		return fault.New(fault.Invalid, "--repeat-ratio or --repeat-reserve is negative, or --repeat-window is not above 0", "set them to 0 or more, and the window above 0")
	}
	return nil
}

// Start looks up the parts that the forwarder depends on.
func (f *Forwarder) Start(_ context.Context, k *kernel.Kernel) (<-chan error, error) {
	var err error
	if f.nodes, err = kernel.Need[nodeCounter](k); err != nil {
		return nil, err
	}
	if f.peers, err = kernel.Need[peerCaller](k); err != nil {
		return nil, err
	}
	if f.runner, err = kernel.Need[runner](k); err != nil {
		return nil, err
	}
	if f.observer, err = kernel.Need[observer](k); err != nil {
		return nil, err
	}
	if f.crashes, err = kernel.Need[crashCounter](k); err != nil {
		return nil, err
	}
	memory, err := kernel.Need[memoryLimiter](k)
	if err != nil {
		return nil, err
	}
	f.holder, f.sizes.From = memory.Holder(), holder.CountedFrom
	f.log = k.Log
	return nil, nil
}

// request is the state of one request while it is forwarded.
type request struct {
	rule                *rule.Rule
	service             string
	view                *view.View
	fields              call.Fields
	tried               []*target.Target
	lastTarget          *target.Target   // the target of the last answer
	crashCount          crashcount.Count // of the request, as known so far
	upstreamSends       int              // sends that reached an upstream
	mayHaveRun          bool             // an earlier send ran or may have run
	upstreamFailure     *answer.Answer   // the last response of an upstream with a 5xx status
	expectedServiceTime time.Duration
	started             time.Time
	elapsed             time.Duration // of the caller's earlier attempts
	answerBy            time.Time     // end of the latency objective, counted from the caller's first attempt; the deadline of a nested call
}

// Forward sends the request to an endpoint of the rule's service and returns the final answer. ctx ends at the deadline
// or when the caller disconnects. Refusals and failures of the mesh itself have a status and a reason, and a Retry-After
// if the request has not run.
func (f *Forwarder) Forward(ctx context.Context, v *view.View, r *rule.Rule, c call.Fields) answer.Answer {
	q := &request{rule: r, service: r.PickService(f.random), view: v, fields: c, started: time.Now()}
	q.expectedServiceTime = f.ExpectedServiceTime(r)
	q.elapsed = f.elapsedBefore(r.Name(), c.TimeLeft)
	q.answerBy = q.started.Add(r.Objective() - q.elapsed)
	if c.Nested {
		// A late answer is of use, as the request that waits for it holds a slot and has its own objective.
		q.answerBy = q.started.Add(remaining(ctx))
	}
	var refusedFor time.Duration
	if q.crashCount, refusedFor = f.crashes.Assess(call.New(c)); refusedFor > 0 {
		return f.fail(q, refusal(crashcount.Refused, refusedFor))
	}
	if !f.holder.Fits(f.sizes.Expected(r.Name())) {
		return f.fail(q, refusal(holder.Reason, holder.RetryAfter))
	}
	budget := f.budget(q.service)
	budget.Deposit()
	targets := v.Pool(q.service).PickVersion(f.random)
	for {
		choice := f.choose(q, targets)
		if reason, wait := f.Refuses(q.rule, choice); reason != "" {
			return f.fail(q, refusal(reason, wait))
		}
		t := choice.Target()
		maxWait := f.maxWait(q, choice)
		a, t := f.sendWithHedge(ctx, q, t, maxWait, targets, budget)
		q.lastTarget = t
		timeLeft := remaining(ctx)
		s := decisionInput{
			answer: a, idempotent: r.Idempotent(), upstreamSends: q.upstreamSends, maxUpstreamSends: r.Attempts(), sends: len(q.tried),
			timeLeft: timeLeft, expectedServiceTime: q.expectedServiceTime, budgetAvailable: true, hasUntried: len(targets) > len(q.tried),
			crashCount: q.crashCount,
		}
		act := nextAction(s)
		if act == retry && !f.withdrawRetry(q, budget) {
			budgetExhausted.Inc(1)
			s.budgetAvailable = false
			act = nextAction(s)
		}
		if ctx.Err() != nil && a.Ran() != answer.Yes {
			act = giveUp
		}
		q.recordOutcome(a)
		switch act {
		case deliver:
			f.sizes.Observe(r.Name(), int64(len(a.Body())))
			f.logAnswered(q, a, timeLeft)
			return a
		case giveUp:
			return f.fail(q, a)
		case retry:
			retries.Inc(1)
		default: // reroute
			reroutes.Inc(1)
		}
		f.log.Info("request sent again", "id", c.RequestID, "rule", r.Name(), "action", act, "reason", a.Reason(), "ran", a.Ran(),
			"status", a.Status(), "peer", t.Endpoint().Address(), "instance", t.Endpoint().Instance(), "tier", t.Tier().String(),
			"left", timeLeft.Milliseconds(), "budget", budget.Balance())
	}
}

func remaining(ctx context.Context) time.Duration {
	if d, ok := ctx.Deadline(); ok {
		return time.Until(d)
	}
	return time.Minute
}

func (f *Forwarder) choose(q *request, targets []*target.Target) chooser.Choice {
	c := chooser.Choose(f.input(q.rule, targets, q.tried, q.expectedServiceTime))
	if t := c.Target(); t != nil {
		choices[t.Tier()].Inc(1)
		utilisations.Update(int64(percent * c.Utilisation()))
	}
	return c
}

// input returns the input of a choice.
func (f *Forwarder) input(r *rule.Rule, targets, exclude []*target.Target, expected time.Duration) chooser.Input {
	return chooser.Input{
		Targets: targets, Exclude: exclude, ExpectedServiceTime: expected, Objective: r.Objective(), Bulk: r.Bulk(), Even: f.Even,
		Now: time.Now(), Random: f.random,
	}
}

// Refuses returns the reason why a request is refused after the choice and when it may be sent again, or no reason.
func (f *Forwarder) Refuses(r *rule.Rule, c chooser.Choice) (reason string, retryAfter time.Duration) {
	t := c.Target()
	switch {
	case t == nil:
		return reasonNoEndpoint, defaultRetryAfter
	case t.Gauge().InBackoff(r.Bulk(), time.Now()):
		// Endpoints in backoff are penalised, so one is chosen only when no better endpoint is left.
		if f.Even {
			return reasonAllInBackoff, c.ExpectedWait()
		}
		return reasonAllInBackoff, max(defaultRetryAfter, c.ExpectedWait())
	}
	return "", 0
}

// ExplainChoice returns the choice among the targets that the first send of a request would make now.
func (f *Forwarder) ExplainChoice(r *rule.Rule, targets []*target.Target) chooser.Explanation {
	return chooser.Explain(f.input(r, targets, nil, f.ExpectedServiceTime(r)))
}

// ExpectedServiceTime returns the expected service time of the rule's calls.
func (f *Forwarder) ExpectedServiceTime(r *rule.Rule) time.Duration {
	return f.estimator.ServiceTime(r.Name(), r.Objective())
}

// RetryBalance returns how many retries of calls to the service this node may send now.
func (f *Forwarder) RetryBalance(service string) int { return f.budget(service).Balance() }

func refusal(reason string, wait time.Duration) answer.Answer {
	return answer.New(answer.Fields{Status: http.StatusServiceUnavailable, Ran: answer.No, Reason: reason, RetryAfter: wait.Milliseconds()})
}

// Elapsed returns how long the caller's earlier attempts at a request of the rule took, given how long it still waits.
func (f *Forwarder) Elapsed(r *rule.Rule, timeLeft time.Duration) time.Duration {
	return f.elapsedBefore(r.Name(), timeLeft.Milliseconds())
}

// elapsedBefore returns how long the caller's earlier attempts at the request took. A first attempt has the most time
// left, so this is the difference from the maximum seen for the rule.
func (f *Forwarder) elapsedBefore(rule string, timeLeft int64) time.Duration {
	if timeLeft <= 0 {
		return 0
	}
	found, ok := f.maxTimeLeft.Load(rule)
	if !ok {
		found, _ = f.maxTimeLeft.LoadOrStore(rule, &atomic.Int64{})
	}
	maxTimeLeft := found.(*atomic.Int64)
	for {
		old := maxTimeLeft.Load()
		if timeLeft <= old {
			return time.Duration(old-timeLeft) * time.Millisecond
		}
		if maxTimeLeft.CompareAndSwap(old, timeLeft) {
			return 0
		}
	}
}

// prepare records the endpoint as tried and returns the call to send to it.
func (f *Forwarder) prepare(ctx context.Context, q *request, t *target.Target, maxWait time.Duration) call.Call {
	e := t.Endpoint()
	q.tried = append(q.tried, t)
	c := q.fields
	c.Service, c.Version, c.Instance = e.Service(), e.Version(), e.Instance()
	c.Route, c.Idempotent, c.MaxWait = q.rule.Name(), q.rule.Idempotent(), maxWait.Milliseconds()
	c.TimeLeft = max(1, remaining(ctx).Milliseconds())
	c.CrashCount = q.crashCount
	c.ExpectedServiceTime = q.expectedServiceTime.Microseconds()
	c.LatestStart = time.Until(q.latestStart(t)).Milliseconds()
	return call.New(c)
}

// send sends the call to the endpoint and records the answer for the endpoint. It does not change q, so that two sends
// of a request can run concurrently.
func (f *Forwarder) send(ctx context.Context, q *request, t *target.Target, c call.Call) answer.Answer {
	g := t.Gauge()
	mark := g.Begin(time.Now())
	a := f.roundTrip(ctx, t, c)
	g.End(mark)
	// LatestStart is in milliseconds from the call's preparation, so the call could wait only if it is above 0.
	f.recordAnswer(q, t, a, c.LatestStart() > 0)
	return a
}

// roundTrip sends the call and waits for its answer. A panic ends only this send, which may have run: sends have
// goroutines of their own while a request is hedged.
func (f *Forwarder) roundTrip(ctx context.Context, t *target.Target, c call.Call) (a answer.Answer) {
	defer func() {
		if cause := recover(); cause != nil {
			f.log.Error("send ended by a panic", "id", c.RequestID(), "peer", t.Endpoint().Address(), "panic", cause)
			a = answer.New(answer.Fields{Status: http.StatusBadGateway, Ran: answer.Maybe, Reason: reasonPanic})
		}
	}()
	if t.Tier() == target.Local {
		return f.runner.Serve(ctx, c)
	}
	a, err := f.peers.Call(ctx, t.Endpoint().Address(), c)
	if err == nil {
		return a
	}
	fields := answer.Fields{Status: http.StatusBadGateway, Ran: answer.Maybe, Reason: reasonLinkBroken}
	if fault.KindOf(err) == fault.NotRun {
		fields = answer.Fields{Status: http.StatusServiceUnavailable, Ran: answer.No, Reason: reasonLinkBroken}
	}
	if ctx.Err() != nil {
		fields.Reason = exchanger.EndReason(ctx)
	}
	return answer.New(fields)
}

// recordAnswer updates the endpoint's measurements from an answer.
//
// Only the refusal of a call that could have waited for a slot shows that the endpoint is overloaded.
func (f *Forwarder) recordAnswer(q *request, t *target.Target, a answer.Answer, couldWait bool) {
	now := time.Now()
	e, g := t.Endpoint(), t.Gauge()
	if a.Slots() > 0 {
		g.RecordLoad(a.Outstanding(), now)
	}
	if a.Leaving() {
		g.MarkLeaving()
	}
	serviceTime := time.Duration(a.ServiceTime()) * time.Microsecond
	bad := endpointFailed(a)
	switch {
	case a.Ran() == answer.No:
		if couldWait && !refusedForGood(a) && a.Reason() != holder.Reason {
			wait := time.Duration(a.RetryAfter()) * time.Millisecond
			g.BackOff(q.rule.Bulk(), now.Add(min(maxBackoff, max(minBackoff, wait/2))))
		}
		if bad || a.Reason() == reasonLinkBroken {
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
		serviceTime = now.Sub(q.started)
	}
	if a.Ran() == answer.Yes && a.Status() < 300 && !f.observer.IsMoveTarget(e.Service(), e.Version()) {
		// The service time is divided by the endpoint's ratio, so that nodes that call mostly slow endpoints estimate
		// the same expected service time as the others.
		f.estimator.Observe(q.rule.Name(), q.rule.Objective(), time.Duration(float64(serviceTime)/g.ServiceTimeRatio()))
	}
	if a.ServiceTimeRatio() > 0 {
		g.SetServiceTimeRatio(float64(a.ServiceTimeRatio()) / 1000)
		g.UpdateSteadyRatio(now)
	}
	if a.Ran() == answer.No && a.Reason() != exchanger.ReasonShed || a.Reason() == exchanger.ReasonCancelled || a.Reason() == holder.Reason {
		return
	}
	shed := a.Reason() == exchanger.ReasonShed
	slow := !e.WarmupEnd().After(now) && float64(serviceTime) > slowFactor*float64(q.expectedServiceTime)
	f.observer.Observe(e.Service(), e.Version(), q.rule.Name(), e.Instance(), bad && !timedOut && !shed, slow, shed)
}

// budget returns this node's share of the mesh's retry budget for the service.
func (f *Forwarder) budget(service string) *allowance.Budget {
	reserve := f.RepeatReserve * retryBudgetFraction / float64(f.nodes.PeakNodeCount())
	found, ok := f.budgets.Load(service)
	if !ok {
		created := allowance.New(f.RepeatRatio*retryBudgetFraction, reserve, f.RepeatWindow, time.Now())
		found, _ = f.budgets.LoadOrStore(service, created)
	}
	a := found.(*allowance.Budget)
	a.SetReserve(reserve)
	return a
}

// logAttributes returns the log attributes of a finished request, the inputs of its last decision among them.
func (q *request) logAttributes(a answer.Answer) []any {
	as := []any{
		"id", q.fields.RequestID, "rule", q.rule.Name(), "rank", q.fields.Priority, "tenant", q.fields.Tenant, "service", q.service, "caller", q.fields.Caller, "status", a.Status(),
		"ran", a.Ran(), "sends", len(q.tried), "arrivals", q.upstreamSends, "took", time.Since(q.started).Milliseconds(),
		"expected", q.expectedServiceTime.Milliseconds(),
	}
	if p := q.view.Plan(); p != nil {
		as = append(as, "version", p.Version(), "age", time.Since(q.view.PlanSince()).Milliseconds())
	}
	if t := q.lastTarget; t != nil {
		e := t.Endpoint()
		as = append(as, "peer", e.Address(), "instance", e.Instance(), "tier", t.Tier().String(), "release", e.Version(),
			"outstanding", a.Outstanding(), "slots", a.Slots(), "upstream", a.ServiceTime()/1000)
	}
	return as
}

func (f *Forwarder) logAnswered(q *request, a answer.Answer, timeLeft time.Duration) {
	f.log.Info("request answered", append(q.logAttributes(a), "left", timeLeft.Milliseconds())...)
}

// recordOutcome keeps whether the request may have run, and the last failure of an upstream.
func (q *request) recordOutcome(a answer.Answer) {
	q.mayHaveRun = q.mayHaveRun || a.Ran() != answer.No
	if a.Ran() != answer.Yes {
		return
	}
	// The answer before this one is not returned any more.
	q.releaseFailure()
	q.upstreamFailure = nil
	if a.Status() >= http.StatusInternalServerError {
		q.upstreamFailure = &a
	}
}

// releaseFailure gives back the memory of the last failure of an upstream.
func (q *request) releaseFailure() {
	if q.upstreamFailure != nil {
		q.upstreamFailure.Hold().Release()
	}
}

// fail ends a request that gets no further send. It returns the last 5xx response of an upstream if there is one, else
// a refusal or failure made from a. A refusal of the last send does not prove that earlier sends did not run.
func (f *Forwarder) fail(q *request, a answer.Answer) answer.Answer {
	if q.upstreamFailure != nil {
		f.logAnswered(q, *q.upstreamFailure, 0)
		return *q.upstreamFailure
	}
	fields := a.Fields()
	if q.mayHaveRun && a.Ran() == answer.No {
		fields.Ran, fields.RetryAfter = answer.Maybe, 0
		a = answer.New(fields)
	}
	fields.Status = failureStatus(a)
	if a.Ran() == answer.No {
		fields.RetryAfter = f.retryAfter(q, a).Milliseconds()
	}
	a.Hold().Release()
	fields.Headers, fields.Body, fields.Hold = nil, nil, nil
	a = answer.New(fields)
	f.log.Warn("request failed", append(q.logAttributes(a), "reason", a.Reason(), "wait", fields.RetryAfter)...)
	return a
}
