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
	// overdueFactor is the multiple of the usual time at the endpoint after which an answer is taken for lost or stuck. With the
	// usual spread of times, some three in a hundred sound calls take longer.
	overdueFactor = 3.5
	// leastOverdue keeps quick calls from being sent twice because of a pause of a process.
	leastOverdue = 60 * time.Millisecond
)

var hedges = metrics.GetOrRegisterCounter("call.hedges", nil)

// attempt is one send that is under way.
type attempt struct {
	target *target.Target
	cancel context.CancelFunc
	done   chan answer.Answer // capacity 1
}

// launch begins a send; its end comes on done.
func (f *Forwarder) launch(ctx context.Context, j *journey, t *target.Target, patience time.Duration) attempt {
	c := f.prepare(ctx, j, t, patience)
	inner, cancel := context.WithCancel(ctx)
	a := attempt{target: t, cancel: cancel, done: make(chan answer.Answer, 1)}
	go func() { a.done <- f.send(inner, j, t, c) }()
	return a
}

// exchange sends the request to the endpoint and returns the answer with the endpoint that gave it. When the answer is
// overdue and the request may run twice, another endpoint gets it too, and the first success counts: an endpoint that is
// stuck, or whose answer is lost, gives no other sign before the deadline.
func (f *Forwarder) exchange(ctx context.Context, j *journey, t *target.Target, patience time.Duration, targets []*target.Target, budget *allowance.Budget) (answer.Answer, *target.Target) {
	if !j.rule.Idempotent() || j.arrivals+2 > j.rule.Attempts() || len(targets) < len(j.tried)+2 {
		a := f.send(ctx, j, t, f.prepare(ctx, j, t, patience))
		j.count(a)
		return a, t
	}
	first := f.launch(ctx, j, t, patience)
	defer first.cancel()
	timer := time.NewTimer(f.overdue(j, t))
	defer timer.Stop()
	select {
	case a := <-first.done:
		j.count(a)
		return a, t
	case <-timer.C:
	}
	other, wait := f.alternative(ctx, j, targets, budget)
	if other == nil {
		a := <-first.done
		j.count(a)
		return a, t
	}
	hedges.Inc(1)
	f.log.Info("request sent again", "id", j.fields.RequestID, "rule", j.rule.Name(), "action", "hedge", "reason", "overdue",
		"expected", j.expected.Milliseconds(), "took", time.Since(j.begun).Milliseconds(), "peer", t.Endpoint().Address(),
		"instance", t.Endpoint().Instance(), "tier", t.Tier().String(), "left", remaining(ctx).Milliseconds(), "budget", budget.Balance())
	second := f.launch(ctx, j, other, wait)
	defer second.cancel()
	return j.race(first, second)
}

// overdue returns how long the answer of the endpoint may take.
func (f *Forwarder) overdue(j *journey, t *target.Target) time.Duration {
	return max(leastOverdue, time.Duration(overdueFactor*float64(j.expected)*max(1, t.Gauge().ServiceTimeRatio())))
}

// alternative returns an endpoint for a second send and how long to wait for a slot there, or nil if there is none with a free
// slot that can answer before the deadline, or if the repeat cannot be paid for.
func (f *Forwarder) alternative(ctx context.Context, j *journey, targets []*target.Target, budget *allowance.Budget) (*target.Target, time.Duration) {
	c := f.choose(j, targets)
	t := c.Target()
	now := time.Now()
	if t == nil || c.ExpectedWait() > 0 || t.Gauge().InBackoff(now) || t.Gauge().Ejected(now) || remaining(ctx) < j.expected || !budget.TryWithdraw(now) {
		return nil, 0
	}
	return t, c.MaxWait()
}

// race returns the first success of two sends, or the last answer if there is none. It returns when both have ended; the
// one that loses is cancelled.
func (j *journey) race(first, second attempt) (answer.Answer, *target.Target) {
	var a answer.Answer
	winner, loser := first, second
	select {
	case a = <-first.done:
	case a = <-second.done:
		winner, loser = second, first
	}
	j.count(a)
	if a.Ran() == answer.Yes && a.Status() < http.StatusInternalServerError {
		loser.cancel()
		j.count(<-loser.done)
		return a, winner.target
	}
	j.keep(a)
	b := <-loser.done
	j.count(b)
	return b, loser.target
}

// count notes a send that has reached an upstream.
func (j *journey) count(a answer.Answer) {
	if arrived(a) {
		j.arrivals++
	}
}
