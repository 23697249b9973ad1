package allowance

import (
	"sync/atomic"
	"time"
)

// unitsPerRetry is the price of a retry, in units, so that a request can earn a fraction of a retry.
const unitsPerRetry = 1000

// maxSavedRequests is the number of requests whose earnings the balance can hold.
const maxSavedRequests = 20

// Budget is a token bucket of retries. Each request adds a fraction of a retry, and this node's part of the reserve is
// added evenly over each window.
type Budget struct {
	requestUnits int64 // added by one request
	windowNanos  int64
	reserveUnits atomic.Int64 // added in one window
	balance      atomic.Int64 // in units
	refilledAt   atomic.Int64 // nanoseconds since base
	base         time.Time
}

// New returns a budget of ratio retries for each request, and reserve more in each window.
func New(ratio, reserve float64, window time.Duration, now time.Time) *Budget {
	b := &Budget{requestUnits: int64(ratio * unitsPerRetry), windowNanos: int64(max(window, 1)), base: now}
	b.SetReserve(reserve)
	b.balance.Store(b.capacity())
	return b
}

// SetReserve changes the reserve; a node's part changes with the number of nodes that share the mesh-wide bound.
func (b *Budget) SetReserve(reserve float64) {
	n := int64(reserve * unitsPerRetry)
	if b.reserveUnits.Load() == n {
		return
	}
	b.reserveUnits.Store(n)
	b.add(0)
}

// capacity returns the largest balance, in units. It holds at most half of the reserve: with more, a node could spend
// twice the reserve within one window of the bound.
func (b *Budget) capacity() int64 {
	return max(unitsPerRetry, b.reserveUnits.Load()/2) + b.requestUnits*maxSavedRequests
}

// Deposit adds what one request earns.
func (b *Budget) Deposit() { b.add(b.requestUnits) }

func (b *Budget) add(n int64) {
	for {
		old := b.balance.Load()
		next := min(b.capacity(), old+n)
		if old == next || b.balance.CompareAndSwap(old, next) {
			return
		}
	}
}

// TryWithdraw withdraws one retry and reports whether the balance allowed it.
func (b *Budget) TryWithdraw(now time.Time) bool {
	b.refill(now)
	for {
		old := b.balance.Load()
		if old < unitsPerRetry {
			return false
		}
		if b.balance.CompareAndSwap(old, old-unitsPerRetry) {
			return true
		}
	}
}

// Low reports whether less than half of the largest balance is left.
func (b *Budget) Low(now time.Time) bool {
	b.refill(now)
	return b.balance.Load() < b.capacity()/2
}

// Balance returns the number of whole retries that are left.
func (b *Budget) Balance() int { return int(b.balance.Load() / unitsPerRetry) }

func (b *Budget) refill(now time.Time) {
	at := int64(now.Sub(b.base))
	last := b.refilledAt.Load()
	earned := (at - last) * b.reserveUnits.Load() / b.windowNanos
	if earned > 0 && b.refilledAt.CompareAndSwap(last, at) {
		b.add(earned)
	}
}
