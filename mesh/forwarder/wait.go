package forwarder

import (
	"time"

	"wisteriaspoke.example/mesh/allowance"
	"wisteriaspoke.example/mesh/answer"
	"wisteriaspoke.example/mesh/chooser"
	"wisteriaspoke.example/mesh/exchanger"
	"wisteriaspoke.example/mesh/postponer"
	"wisteriaspoke.example/mesh/rule"
	"wisteriaspoke.example/mesh/slotter"
	"wisteriaspoke.example/mesh/target"
)

// withdrawRetry withdraws one retry from the budget and reports whether it allowed that. A request that comes for the first
// time leaves the last retries to those that have come back: its caller returns, while theirs may not have another attempt.
func (f *Forwarder) withdrawRetry(q *request, b *allowance.Budget) bool {
	now := time.Now()
	if f.Even && q.elapsed == 0 && b.Low(now) {
		return false
	}
	return b.TryWithdraw(now)
}

// LongestWait returns how long the first send of a request may wait for a slot of the endpoint to meet its objective.
func (f *Forwarder) LongestWait(r *rule.Rule, t *target.Target) time.Duration {
	return r.Objective() - reservedServiceTime(f.ExpectedServiceTime(r), t)
}

// reservedServiceTime returns the part of the objective that is reserved for the upstream.
func reservedServiceTime(expected time.Duration, t *target.Target) time.Duration {
	serviceTime := time.Duration(float64(expected) * t.Gauge().ServiceTimeRatio())
	return time.Duration(reservedServiceTimeFactor * float64(serviceTime))
}

// latestStart returns the latest start at the endpoint that leaves time for the answer.
func (q *request) latestStart(t *target.Target) time.Time {
	return q.answerBy.Add(-reservedServiceTime(q.expectedServiceTime, t))
}

// maxWait returns how long a send may wait for a slot of the chosen endpoint. 0 means that only the deadline and the latest
// start limit the wait.
func (f *Forwarder) maxWait(q *request, c chooser.Choice) time.Duration {
	switch {
	case c.NoAlternative(), f.Even && len(q.tried) == maxSends-1:
		// The last send has no other endpoint to go to, and a refusal of it would end the request although there is time left.
		return 0
	case q.fields.Nested:
		// The next free slot is for this call, so a wait is short, and a refusal of all sends costs the request that made it.
		return max(c.MaxWait(), time.Duration(nestedWaitFraction*float64(time.Until(q.latestStart(c.Target())))))
	}
	return c.MaxWait()
}

// retryAfter returns when the caller of a request that has not run should return.
func (f *Forwarder) retryAfter(q *request, a answer.Answer) time.Duration {
	wait := time.Duration(a.RetryAfter()) * time.Millisecond
	switch a.Reason() {
	case string(slotter.Full), string(slotter.OverRate), reasonAllInBackoff, exchanger.ReasonShed, exchanger.ReasonWrongInstance:
		if f.Even {
			start := time.Until(q.answerBy) - time.Duration(reservedServiceTimeFactor*float64(q.expectedServiceTime))
			return postponer.Refusal{Wait: wait, Start: start}.RetryAfter(float64(f.random(randomSteps)) / randomSteps)
		}
	}
	if wait == 0 {
		return defaultRetryAfter
	}
	return wait
}
