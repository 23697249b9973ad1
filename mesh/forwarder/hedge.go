package forwarder

import (
	"context"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"wisteriaspoke.example/mesh/allowance"
	"wisteriaspoke.example/mesh/answer"
	"wisteriaspoke.example/mesh/target"
)

const (
	// hedgeDelayFactor is the multiple of the endpoint's expected service time after which an answer is presumed lost or
	// stuck. With the typical spread of service times, about 3% of healthy calls take longer.
	hedgeDelayFactor = 3.5
	// minHedgeDelay keeps fast calls from being hedged because of a short process pause.
	minHedgeDelay = 60 * time.Millisecond
)

var hedges = metrics.GetOrRegisterCounter("call.hedges", nil)

// pendingSend is a send in progress.
type pendingSend struct {
	target *target.Target
	cancel context.CancelFunc
	done   chan answer.Answer // capacity 1
}

// startSend begins a send, whose answer arrives on done.
func (f *Forwarder) startSend(ctx context.Context, q *request, t *target.Target, maxWait time.Duration) pendingSend {
	c := f.prepare(ctx, q, t, maxWait)
	inner, cancel := context.WithCancel(ctx)
	a := pendingSend{target: t, cancel: cancel, done: make(chan answer.Answer, 1)}
	go func() { a.done <- f.send(inner, q, t, c) }()
	return a
}

// sendWithHedge sends the request to the endpoint and returns the answer and its endpoint. If the answer is overdue and
// the request may run twice, it is also sent to another endpoint, and the first success counts: an endpoint that is
// stuck, or whose answer is lost, cannot be detected otherwise before the deadline.
func (f *Forwarder) sendWithHedge(ctx context.Context, q *request, t *target.Target, maxWait time.Duration, targets []*target.Target, budget *allowance.Budget) (answer.Answer, *target.Target) {
	if !q.rule.Idempotent() || q.crashCount.Crashes() > 0 || q.upstreamSends+2 > q.rule.Attempts() || len(targets) < len(q.tried)+2 {
		a := f.send(ctx, q, t, f.prepare(ctx, q, t, maxWait))
		q.countSend(a)
		return a, t
	}
	first := f.startSend(ctx, q, t, maxWait)
	defer first.cancel()
	timer := time.NewTimer(f.hedgeDelay(q, t))
	defer timer.Stop()
	select {
	case a := <-first.done:
		q.countSend(a)
		return a, t
	case <-timer.C:
	}
	other, otherMaxWait := f.hedgeTarget(ctx, q, targets, budget)
	if other == nil {
		a := <-first.done
		q.countSend(a)
		return a, t
	}
	hedges.Inc(1)
	f.log.Info("request sent again", "id", q.fields.RequestID, "rule", q.rule.Name(), "action", "hedge", "reason", "overdue",
		"expected", q.expectedServiceTime.Milliseconds(), "took", time.Since(q.started).Milliseconds(), "peer", t.Endpoint().Address(),
		"instance", t.Endpoint().Instance(), "tier", t.Tier().String(), "left", remaining(ctx).Milliseconds(), "budget", budget.Balance())
	second := f.startSend(ctx, q, other, otherMaxWait)
	defer second.cancel()
	return q.race(first, second)
}

// hedgeDelay returns how long to wait for the endpoint's answer before a second send.
func (f *Forwarder) hedgeDelay(q *request, t *target.Target) time.Duration {
	return max(minHedgeDelay, time.Duration(hedgeDelayFactor*float64(q.expectedServiceTime)*max(1, t.Gauge().ServiceTimeRatio())))
}

// hedgeTarget returns an endpoint for a second send and its wait limit, or nil if none has a free slot and can answer
// before the deadline, or if the retry budget is exhausted.
func (f *Forwarder) hedgeTarget(ctx context.Context, q *request, targets []*target.Target, budget *allowance.Budget) (*target.Target, time.Duration) {
	c := f.choose(q, targets)
	t := c.Target()
	now := time.Now()
	if t == nil || c.ExpectedWait() > 0 || t.Gauge().InBackoff(q.rule.Bulk(), now) || t.Gauge().Ejected(now) || remaining(ctx) < q.expectedServiceTime || !budget.TryWithdraw(now) {
		return nil, 0
	}
	return t, c.MaxWait()
}

// race returns the first success of two sends, or the last answer if both fail. It cancels the loser and returns when
// both have ended.
func (q *request) race(first, second pendingSend) (answer.Answer, *target.Target) {
	var a answer.Answer
	winner, loser := first, second
	select {
	case a = <-first.done:
	case a = <-second.done:
		winner, loser = second, first
	}
	q.countSend(a)
	if a.Ran() == answer.Yes && a.Status() < http.StatusInternalServerError {
		loser.cancel()
		b := <-loser.done
		q.countSend(b)
		b.Hold().Release()
		return a, winner.target
	}
	q.recordOutcome(a)
	b := <-loser.done
	q.countSend(b)
	return b, loser.target
}

// countSend counts the send if it reached an upstream, and a crash that it met there.
func (q *request) countSend(a answer.Answer) {
	q.crashCount = max(q.crashCount, a.CrashCount())
	if reachedUpstream(a) {
		q.upstreamSends++
	}
}
