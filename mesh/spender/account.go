package spender

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"wisteriaspoke.example/mesh/quota"
)

const (
	// maxRetryAfter bounds the time after which a refused caller is told to return.
	maxRetryAfter = 8 * time.Second
	// minRetryAfter is the time in which an owner can grant a token to a node that has none.
	minRetryAfter = 100 * time.Millisecond
	// shortFor is how long after a request has found no token late requests leave the tokens to others.
	shortFor = time.Second
	// unknownRateFraction is the part of the limit that a node expects before an owner has told it its part.
	unknownRateFraction = 0.25
)

// Account holds this node's tokens of one tenant. Methods are safe for concurrent use.
type Account struct {
	id        quota.ID
	shard     uint8
	limit     atomic.Pointer[quota.Limit]
	tokens    atomic.Int64
	expiry    atomic.Int64 // of all tokens, by this host's clock
	emptyTill atomic.Int64 // until when the owner has nothing more for this node
	ownRate   atomic.Uint64
	arrivals  atomic.Uint64
	used      atomic.Uint64
	returned  atomic.Uint64 // tokens of requests that did not run and that were not reported yet
	refused   atomic.Uint64
	shortAt   atomic.Int64 // when a request last found no token
	urgent    atomic.Bool  // a request waits that no report has named
	low       atomic.Bool  // the last token was taken

	mutex      sync.Mutex
	waiters    []*Waiter
	nextReturn time.Duration // when the refused callers so far have found their tokens

	// The fields below belong to the goroutine that makes reports.
	owner        process // that granted the tokens
	rate         float64 // requests a second that arrive
	arrivalsSeen uint64
	seenAt       time.Duration
	arrivedAt    time.Duration // when a request last arrived, or a time before all readings
	arrived      bool
	refusedSeen  uint64
	refusedAt    time.Duration
	limited      *period
}

// period is a time in which requests are refused.
type period struct {
	since   time.Duration
	refused uint64 // before it
}

// process is one process of an owner.
type process struct {
	address     string
	incarnation uint64
}

// Waiter is a request that waits for a token.
type Waiter struct {
	served chan struct{}
}

// Served returns a channel that is closed when the request has got a token.
func (w *Waiter) Served() <-chan struct{} { return w.served }

// Name returns the tenant's name.
func (a *Account) Name() string { return a.limit.Load().Name }

// Used returns how many tokens were taken.
func (a *Account) Used() uint64 { return a.used.Load() }

// Refused returns how many requests were refused.
func (a *Account) Refused() uint64 { return a.refused.Load() }

// Take counts a request and takes a token for it if there is one.
func (a *Account) Take(now time.Duration) bool {
	a.arrivals.Add(1)
	return a.take(now)
}

func (a *Account) take(now time.Duration) bool {
	if int64(now) >= a.expiry.Load() {
		return false
	}
	for {
		n := a.tokens.Load()
		if n <= 0 {
			return false
		}
		if a.tokens.CompareAndSwap(n, n-1) {
			a.used.Add(1)
			if n == 1 {
				a.low.Store(true)
			}
			return true
		}
	}
}

// Low reports whether the tokens have run out since the last report.
func (a *Account) Low() bool { return a.low.Load() }

// Wait registers a request, for which there was no token, to wait for at most patience. It returns nil if the owner has
// nothing for this node within that time.
func (a *Account) Wait(now, patience time.Duration) *Waiter {
	till := time.Duration(a.emptyTill.Load())
	if patience <= 0 || till > now+patience {
		return nil
	}
	w := &Waiter{served: make(chan struct{})}
	a.mutex.Lock()
	a.waiters = append(a.waiters, w)
	a.mutex.Unlock()
	// The report that is due when the owner has tokens again asks for this request, too.
	if till <= now {
		a.urgent.Store(true)
	}
	return w
}

// Leave ends the wait of a request and reports whether it has got a token.
func (a *Account) Leave(w *Waiter) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	i := slices.Index(a.waiters, w)
	if i < 0 {
		return true
	}
	a.waiters = slices.Delete(a.waiters, i, i+1)
	return false
}

// Refuse counts a refusal and returns when the caller may return: each refused caller gets a time of its own, at the
// rate of this node's tokens. random is in [0, 1).
func (a *Account) Refuse(now time.Duration, random float64) time.Duration {
	a.shortAt.Store(int64(now))
	return a.refuse(now, random)
}

// RefuseLate counts a late request, which leaves the tokens to others, and returns when the caller may return.
func (a *Account) RefuseLate(now time.Duration, random float64) time.Duration {
	a.arrivals.Add(1)
	return a.refuse(now, random)
}

// Short reports whether a request has found no token lately.
func (a *Account) Short(now time.Duration) bool {
	at := a.shortAt.Load()
	return at > 0 && int64(now)-at < int64(shortFor)
}

func (a *Account) refuse(now time.Duration, random float64) time.Duration {
	a.refused.Add(1)
	rate := math.Float64frombits(a.ownRate.Load())
	if rate <= 0 {
		rate = max(1/maxRetryAfter.Seconds(), unknownRateFraction*a.limit.Load().Rate)
	}
	spacing := time.Duration(float64(time.Second) / rate)
	a.mutex.Lock()
	defer a.mutex.Unlock()
	first := max(now+minRetryAfter, time.Duration(a.emptyTill.Load()))
	a.nextReturn = max(a.nextReturn, first)
	wait := a.nextReturn - now + time.Duration(random*float64(spacing))
	if wait >= maxRetryAfter {
		return maxRetryAfter/2 + time.Duration(random*float64(maxRetryAfter/2))
	}
	a.nextReturn += spacing
	return wait
}

// Return credits the token of a request that did not run. The owner gets it with the next report.
func (a *Account) Return() { a.returned.Add(1) }

// serve gives tokens to the requests that wait, the first ones first.
func (a *Account) serve(now time.Duration) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for len(a.waiters) > 0 && a.take(now) {
		close(a.waiters[0].served)
		a.waiters = slices.Delete(a.waiters, 0, 1)
	}
}

func (a *Account) waiting() int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return len(a.waiters)
}

// drop removes all tokens and returns their number.
func (a *Account) drop() uint64 { return uint64(max(0, a.tokens.Swap(0))) }

// giveUp removes the tokens above keep and returns their number and that of the ones left.
func (a *Account) giveUp(keep int64) (unused, held int64) {
	for {
		n := max(0, a.tokens.Load())
		if n <= keep+spareTokens {
			return 0, n
		}
		if a.tokens.CompareAndSwap(n, keep) {
			return n - keep, keep
		}
	}
}
