package admitter

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"wisteriaspoke.example/mesh/answer"
	"wisteriaspoke.example/mesh/balancer"
	"wisteriaspoke.example/mesh/call"
	"wisteriaspoke.example/mesh/event"
	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/pauser"
	"wisteriaspoke.example/mesh/retrier"
	"wisteriaspoke.example/mesh/route"
	"wisteriaspoke.example/mesh/service"
	"wisteriaspoke.example/mesh/snapshot"
)

// Reasons of refusals and failures that the admitter sets.
const (
	reasonStarting    = "starting"    // no configuration yet
	reasonUnrouted    = "unrouted"    // no route matches
	reasonNone        = "none"        // the service has no usable endpoint
	reasonUnreachable = "unreachable" // the endpoint's node could not be reached
	reasonLost        = "lost"        // the link broke before the answer came
	reasonTimeout     = "timeout"     // the deadline passed before the answer came
	reasonLeaving     = "leaving"     // the node accepts no new calls
	reasonWaiting     = "waiting"     // too many calls in flight
	reasonMemory      = "memory"      // too many bytes in flight
	reasonHeaders     = "headers"     // headers over the limit
	reasonLarge       = "large"       // body over the limit
	reasonDepth       = "depth"       // too many calls above this one
	reasonBad         = "bad"         // not a valid request
	reasonSlow        = "slow"        // the request did not come in time
)

// Reasons of an endpoint's refusals that the admitter distinguishes.
const (
	refusedFull      = "full"
	refusedLate      = "late"
	refusedDown      = "down"
	refusedMisrouted = "misrouted"
	refusedPoison    = "poison"
)

// How long an endpoint that refused a call is avoided if there are other endpoints; one that is leaving receives no
// calls at all.
const (
	fullBackoff = 50 * time.Millisecond
	downBackoff = time.Second
	// leavingAvoidance is the longest time until all nodes have received the state of an endpoint that is leaving.
	leavingAvoidance = 3 * time.Second
)

// Do routes and runs the call and returns its complete response, or a refusal or failure that says whether it may have
// run. It sets the fields that depend on the route; TimeLeft is the caller's deadline in milliseconds, or zero.
func (a *Admitter) Do(ctx context.Context, f call.Fields, header func(name string) string) answer.Answer {
	s := a.source.Snapshot()
	if s == nil {
		return a.refuse(http.StatusServiceUnavailable, reasonStarting)
	}
	r, v, ok := s.Routes().Match(f.Host, f.Path, f.Method, header)
	if !ok {
		a.requestSubscription(f.Host)
		return a.refuse(http.StatusNotFound, reasonUnrouted)
	}
	start := time.Now()
	limit := timeout(r, v, f.TimeLeft)
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	f.Service = v.Name()
	f.Route = r.Name()
	f.Tenant = r.Tenant()
	f.Class = r.Class()
	f.Idempotent = r.Idempotent(f.Method)
	shortDeadline := f.TimeLeft > 0 && limit < timeout(r, v, 0)
	run := func(ctx context.Context) answer.Answer { return a.attempts(ctx, s, f, start.Add(limit), shortDeadline) }
	n := a.runOnce(ctx, f, limit, run)
	a.meter.recordLatency(histogramKey{tenant: f.Tenant, class: f.Class}, time.Since(start))
	if n.Ran() == answer.No {
		a.meter.countRefusal(n.Reason())
	}
	return n
}

// runOnce runs the call; one that is not idempotent and has a key runs only if no attempt with the key has run.
func (a *Admitter) runOnce(ctx context.Context, f call.Fields, limit time.Duration, run func(context.Context) answer.Answer) answer.Answer {
	if f.IdempotencyKey == "" || f.Idempotent || a.reserver == nil {
		return run(ctx)
	}
	f.TimeLeft = limit.Milliseconds()
	return a.reserver.RunOnce(ctx, call.New(f), run)
}

// refuse counts and returns a refusal of a call that has no route yet.
func (a *Admitter) refuse(status int, reason string) answer.Answer {
	a.meter.countRefusal(reason)
	return answer.New(answer.Fields{Status: status, Ran: answer.No, Reason: reason})
}

func (a *Admitter) requestSubscription(host string) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	if host != "" && a.subscriptions.due(host, time.Now()) {
		a.injector.Inject(event.NewLocal(event.SubscriptionNeeded, host))
	}
}

// timeout returns the timeout of a call: the route's if set, otherwise the service's, or the caller's if it is shorter.
func timeout(r route.Route, s service.Service, left int64) time.Duration {
	limit := r.Timeout()
	if limit == 0 {
		limit = s.Timeout()
	}
	if left > 0 && left < limit.Milliseconds() {
		limit = time.Duration(left) * time.Millisecond
	}
	return limit
}

// attempts runs the call until an attempt is final. A later refusal does not replace the answer of an attempt that may
// have run, as Ran "no" would then be false for the call as a whole. shortDeadline says that the
// caller's deadline is shorter than the route's timeout.
func (a *Admitter) attempts(ctx context.Context, s *snapshot.Snapshot, f call.Fields, deadline time.Time, shortDeadline bool) answer.Answer {
	serviceBudget := a.serviceBudgets.get(f.Service, newBudget)
	serviceBudget.Deposit()
	a.nodeBudget.Deposit()
	var failed []*snapshot.Member
	var retried bool
	last := answer.New(answer.Fields{Status: http.StatusServiceUnavailable, Ran: answer.No, Reason: reasonNone})
	m := balancer.Pick(s, f.Service, a.random, time.Now(), nil)
	for attempt := 1; m != nil; attempt++ {
		f.Version = m.Endpoint().Version()
		f.TimeLeft = max(1, time.Until(deadline).Milliseconds())
		n := a.attempt(ctx, m, call.New(f), shortDeadline)
		if n.Ran() != answer.No || last.Ran() == answer.No {
			last = n
		}
		if n.Reason() == refusedPoison && n.Ran() == answer.No {
			break // All endpoints refuse such a call, and its retries must not use up the retry budget.
		}
		d := retrier.Decide(attempt, n, f.Idempotent, serviceBudget.CanWithdraw() && a.nodeBudget.CanWithdraw(), time.Until(deadline), a.random)
		retried = retried || d.BudgetExhausted()
		if !d.Retry() {
			break
		}
		failed = append(failed, m)
		// The budget is charged only if there is an endpoint for the retry.
		m = balancer.Pick(s, f.Service, a.random, time.Now(), failed)
		if m == nil {
			break
		}
		// Also set if the budget is exhausted by now, as another call may have withdrawn from it since.
		retried = true
		if !a.withdraw(serviceBudget) || pauser.Pause(ctx, d.Backoff()) != nil {
			break
		}
	}
	return withRetried(last, retried)
}

func newBudget() *retrier.Budget { return new(retrier.Budget) }

// withRetried marks the answer if a retry was made or the budget was exhausted, so that the hop above does not retry.
func withRetried(n answer.Answer, retried bool) answer.Answer {
	if !retried || n.Retried() {
		return n
	}
	f := n.Fields()
	f.Retried = true
	return answer.New(f)
}

// withdraw charges a retry to the budgets of the service and of the node.
func (a *Admitter) withdraw(serviceBudget *retrier.Budget) bool {
	if !serviceBudget.TryWithdraw() {
		return false
	}
	if !a.nodeBudget.TryWithdraw() {
		serviceBudget.Refund()
		return false
	}
	return true
}

// attempt runs the call once at the endpoint and records the result.
func (a *Admitter) attempt(ctx context.Context, m *snapshot.Member, c call.Call, shortDeadline bool) answer.Answer {
	m.Counters().Begin()
	defer m.Counters().End()
	start := time.Now()
	n := a.send(ctx, m.Address(), c)
	if errors.Is(ctx.Err(), context.Canceled) && n.Ran() != answer.Yes {
		// The caller cancelled the call, which is no evidence about the endpoint.
		return n
	}
	// Callers with very short deadlines must not be able to eject endpoints.
	if !shortDeadline || n.Reason() != reasonTimeout {
		a.observe(m, n, time.Now())
	}
	a.tally.add(m, c.Route(), n, time.Since(start))
	return n
}

func (a *Admitter) send(ctx context.Context, address string, c call.Call) answer.Answer {
	if address == a.node {
		return a.executor.Serve(ctx, c)
	}
	n, err := a.linker.Call(ctx, address, c)
	switch {
	case err == nil && valid(n):
		return n
	case fault.KindOf(err) == fault.NotRun:
		return answer.New(answer.Fields{Status: http.StatusServiceUnavailable, Ran: answer.No, Reason: reasonUnreachable})
	case ctx.Err() != nil:
		return answer.New(answer.Fields{Status: http.StatusGatewayTimeout, Ran: answer.Maybe, Reason: reasonTimeout})
	}
	return answer.New(answer.Fields{Status: http.StatusBadGateway, Ran: answer.Maybe, Reason: reasonLost})
}

// valid reports whether a peer's answer can be passed on.
func valid(n answer.Answer) bool {
	switch n.Ran() {
	case answer.No, answer.Maybe, answer.Yes:
		return n.Status() >= http.StatusOK && n.Status() < 600
	}
	return false
}

// observe updates the endpoint's counters from an answer.
func (a *Admitter) observe(m *snapshot.Member, n answer.Answer, now time.Time) {
	c := m.Counters()
	c.RecordLoad(n.Outstanding(), n.Slots(), now)
	if n.Ran() == answer.Yes && n.Status() < http.StatusInternalServerError {
		c.RecordSuccess()
		return
	}
	switch n.Reason() {
	case refusedFull:
		c.BackOff(now.Add(fullBackoff))
		return
	case reasonLeaving:
		c.MarkLeaving(now.Add(leavingAvoidance))
		return
	case refusedDown, refusedMisrouted, reasonUnreachable:
		c.BackOff(now.Add(downBackoff))
	}
	if n.Ran() == answer.No && n.Reason() != refusedDown && n.Reason() != reasonUnreachable {
		return
	}
	if balancer.RecordFailure(m, now) {
		a.log.Warn("endpoint ejected", "service", m.Endpoint().Service(), "endpoint", m.Address())
	}
}
