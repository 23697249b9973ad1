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

// Reasons of refusals and failures that arise here.
const (
	reasonStarting    = "starting"    // no configuration yet
	reasonUnrouted    = "unrouted"    // no route matches
	reasonNone        = "none"        // the service has no usable endpoint
	reasonUnreachable = "unreachable" // the endpoint's node was not reached
	reasonLost        = "lost"        // the link broke before the answer came
	reasonTimeout     = "timeout"     // the deadline passed before the answer came
	reasonLeaving     = "leaving"     // the node takes no new calls
	reasonWaiting     = "waiting"     // too many calls in flight
	reasonMemory      = "memory"      // too many bytes in flight
	reasonHeaders     = "headers"     // headers over the limit
	reasonLarge       = "large"       // body over the limit
	reasonDepth       = "depth"       // too many calls above this one
	reasonBad         = "bad"         // not a valid request
	reasonSlow        = "slow"        // the request did not come in time
)

// Reasons of an endpoint's refusals that are told apart here.
const (
	refusedFull      = "full"
	refusedLate      = "late"
	refusedDown      = "down"
	refusedMisrouted = "misrouted"
	refusedPoison    = "poison"
)

// How long an endpoint that refused is avoided if there are others; one that is leaving gets no call at all.
const (
	fullHold = 50 * time.Millisecond
	downHold = time.Second
	// leavingHold is the bound on the time until all nodes know that an endpoint is leaving.
	leavingHold = 3 * time.Second
)

// Do routes the call and brings it to its end: a whole response, or a refusal or failure that says whether it may have
// run. The fields' route and what follows from it are set here; TimeLeft is the caller's limit in milliseconds, or zero.
func (a *Admitter) Do(ctx context.Context, f call.Fields, header func(name string) string) answer.Answer {
	s := a.source.Snapshot()
	if s == nil {
		return a.refuse(http.StatusServiceUnavailable, reasonStarting)
	}
	r, v, ok := s.Routes().Match(f.Host, f.Path, f.Method, header)
	if !ok {
		a.demand(f.Host)
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
	hurried := f.TimeLeft > 0 && limit < timeout(r, v, 0)
	run := func(ctx context.Context) answer.Answer { return a.attempts(ctx, s, f, start.Add(limit), hurried) }
	n := a.once(ctx, f, limit, run)
	a.meter.ended(population{tenant: f.Tenant, class: f.Class}, time.Since(start))
	if n.Ran() == answer.No {
		a.meter.refused(n.Reason())
	}
	return n
}

// once runs the call; one that is not idempotent and has a key runs only if no attempt with the key has run.
func (a *Admitter) once(ctx context.Context, f call.Fields, limit time.Duration, run func(context.Context) answer.Answer) answer.Answer {
	if f.IdempotencyKey == "" || f.Idempotent || a.reserver == nil {
		return run(ctx)
	}
	f.TimeLeft = limit.Milliseconds()
	return a.reserver.RunOnce(ctx, call.New(f), run)
}

// refuse returns a refusal that comes before the route is known.
func (a *Admitter) refuse(status int, reason string) answer.Answer {
	a.meter.refused(reason)
	return answer.New(answer.Fields{Status: status, Ran: answer.No, Reason: reason})
}

func (a *Admitter) demand(host string) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	if host != "" && a.demands.due(host, time.Now()) {
		a.injector.Inject(event.NewLocal(event.SubscriptionNeeded, host))
	}
}

// timeout returns the limit for a call: the route's, else the service's, or the caller's if it is shorter.
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

// attempts runs the call until an attempt stands. A later refusal does not replace the answer of an attempt that may
// have run, as Ran "no" would then be false for the call as a whole. A hurried call has a shorter deadline than its
// route.
func (a *Admitter) attempts(ctx context.Context, s *snapshot.Snapshot, f call.Fields, deadline time.Time, hurried bool) answer.Answer {
	own := a.budgets.get(f.Service, newBudget)
	own.Deposit()
	a.budget.Deposit()
	var failed []*snapshot.Member
	var retried bool
	last := answer.New(answer.Fields{Status: http.StatusServiceUnavailable, Ran: answer.No, Reason: reasonNone})
	m := balancer.Pick(s, f.Service, a.random, time.Now(), nil)
	for attempt := 1; m != nil; attempt++ {
		f.Version = m.Endpoint().Version()
		f.TimeLeft = max(1, time.Until(deadline).Milliseconds())
		n := a.attempt(ctx, m, call.New(f), hurried)
		if n.Ran() != answer.No || last.Ran() == answer.No {
			last = n
		}
		if n.Reason() == refusedPoison && n.Ran() == answer.No {
			break // All endpoints refuse it, and its caller must not use up the retry budget.
		}
		d := retrier.Decide(attempt, n, f.Idempotent, own.CanWithdraw() && a.budget.CanWithdraw(), time.Until(deadline), a.random)
		retried = retried || d.BudgetExhausted()
		if !d.Retry() {
			break
		}
		failed = append(failed, m)
		// A retry is paid for only if there is an endpoint for it.
		m = balancer.Pick(s, f.Service, a.random, time.Now(), failed)
		if m == nil {
			break
		}
		// Marked also if another call has just used the budget up.
		retried = true
		if !a.spend(own) || pauser.Pause(ctx, d.Backoff()) != nil {
			break
		}
	}
	return marked(last, retried)
}

func newBudget() *retrier.Budget { return new(retrier.Budget) }

// marked adds that a retry was used or was not affordable, so that the hop above does not retry.
func marked(n answer.Answer, retried bool) answer.Answer {
	if !retried || n.Retried() {
		return n
	}
	f := n.Fields()
	f.Retried = true
	return answer.New(f)
}

// spend pays for a retry from the budgets of the service and of the node.
func (a *Admitter) spend(own *retrier.Budget) bool {
	if !own.TryWithdraw() {
		return false
	}
	if !a.budget.TryWithdraw() {
		own.Refund()
		return false
	}
	return true
}

// attempt runs the call once at the endpoint and keeps what was seen.
func (a *Admitter) attempt(ctx context.Context, m *snapshot.Member, c call.Call, hurried bool) answer.Answer {
	m.Counters().Begin()
	defer m.Counters().End()
	start := time.Now()
	n := a.send(ctx, m.Address(), c)
	if errors.Is(ctx.Err(), context.Canceled) && n.Ran() != answer.Yes {
		// The caller left, which says nothing about the endpoint.
		return n
	}
	// Callers with very short deadlines must not be able to eject endpoints.
	if !hurried || n.Reason() != reasonTimeout {
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
		c.BackOff(now.Add(fullHold))
		return
	case reasonLeaving:
		c.MarkLeaving(now.Add(leavingHold))
		return
	case refusedDown, refusedMisrouted, reasonUnreachable:
		c.BackOff(now.Add(downHold))
	}
	if n.Ran() == answer.No && n.Reason() != refusedDown && n.Reason() != reasonUnreachable {
		return
	}
	if balancer.RecordFailure(m, now) {
		a.log.Warn("endpoint ejected", "service", m.Endpoint().Service(), "endpoint", m.Address())
	}
}
