package retrier

import (
	"net/http"
	"time"

	"wisteriaspoke.example/mesh/answer"
)

const (
	// maxAttempts limits the attempts of one call, including the first.
	maxAttempts = 3
	// Upper limits of the random backoff before the second attempt; they double with each further one. A refused call has
	// not run and goes to another endpoint almost at once; a failed one waits longer to let the service recover.
	refusedBackoff = 2 * time.Millisecond
	failedBackoff  = 10 * time.Millisecond
)

// Decision is whether to attempt a call again, and when.
type Decision struct {
	retry     bool
	backoff   time.Duration
	exhausted bool
}

// Retry reports whether to attempt the call again.
func (d Decision) Retry() bool { return d.retry }

// Backoff returns the time to wait before the next attempt.
func (d Decision) Backoff() time.Duration { return d.backoff }

// BudgetExhausted reports that only the budget prevents another attempt. The calling hop must then not retry either, or
// each hop of a deep call would add its own budget.
func (d Decision) BudgetExhausted() bool { return d.exhausted }

// Decide decides after attempt number attempt (the first is 1), with the remaining time until the deadline.
//
// A call that may have run is retried only if it is idempotent and no deeper hop has retried it. inBudget is set if
// the budget covers a retry. random(n) returns a number in [0, n).
func Decide(
	attempt int, a answer.Answer, idempotent, inBudget bool, remaining time.Duration, random func(int) int,
) Decision {
	if !retryable(a, idempotent) || attempt >= maxAttempts {
		return Decision{}
	}
	if a.Retried() && a.Ran() != answer.No {
		return Decision{}
	}
	limit := failedBackoff
	if a.Ran() == answer.No {
		limit = refusedBackoff
	}
	backoff := time.Duration(random(int(limit << (attempt - 1))))
	if backoff >= remaining {
		return Decision{}
	}
	if !inBudget {
		return Decision{exhausted: true}
	}
	return Decision{retry: true, backoff: backoff}
}

func retryable(a answer.Answer, idempotent bool) bool {
	switch a.Ran() {
	case answer.No:
		return true
	case answer.Maybe:
		return idempotent
	}
	if !idempotent {
		return false
	}
	switch a.Status() {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}
