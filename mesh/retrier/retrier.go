package retrier

import (
	"net/http"
	"time"

	"wisteriaspoke.example/mesh/answer"
)

const (
	// attempts bounds the attempts of one call, the first included.
	attempts = 3
	// Back-off before the second attempt; it doubles with each further one. A refused call goes to another
	// endpoint at once, as nothing has run; a failed one gives the service time.
	refusedBackoff = 2 * time.Millisecond
	failedBackoff  = 10 * time.Millisecond
)

// Decision says whether to attempt a call again, and when.
type Decision struct {
	retry     bool
	wait      time.Duration
	exhausted bool
}

// Retry reports whether to attempt the call again.
func (d Decision) Retry() bool { return d.retry }

// Backoff returns the time to wait before the next attempt.
func (d Decision) Backoff() time.Duration { return d.wait }

// BudgetExhausted reports that only the budget prevents another attempt. The hop above must then not retry either, or each
// hop of a deep call would add its own budget.
func (d Decision) BudgetExhausted() bool { return d.exhausted }

// Decide decides after the given number of attempts (1 after the first), with left until the deadline.
//
// A call that may have run is repeated only if it is idempotent and no deeper hop has retried it. budget says
// whether a retry can be paid for. random(n) returns a number in [0, n).
func Decide(attempt int, a answer.Answer, idempotent, budget bool, left time.Duration, random func(int) int) Decision {
	if !repeatable(a, idempotent) || attempt >= attempts {
		return Decision{}
	}
	if a.Retried() && a.Ran() != answer.No {
		return Decision{}
	}
	backoff := failedBackoff
	if a.Ran() == answer.No {
		backoff = refusedBackoff
	}
	wait := time.Duration(random(int(backoff << (attempt - 1))))
	if wait >= left {
		return Decision{}
	}
	if !budget {
		return Decision{exhausted: true}
	}
	return Decision{retry: true, wait: wait}
}

func repeatable(a answer.Answer, idempotent bool) bool {
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
