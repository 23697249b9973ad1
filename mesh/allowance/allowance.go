package allowance

import (
	"sync/atomic"
	"time"
)

// unit is the number of parts of one repeat, so that a request can earn a fraction of it.
const unit = 1000

// savedRequests is the number of requests whose earnings can be saved.
const savedRequests = 20

// Budget is a token bucket: requests earn a fraction of a repeat, and time earns this node's part of the reserve.
type Budget struct {
	ratio    int64        // earned by one request, in units
	window   int64        // nanoseconds
	reserve  atomic.Int64 // earned by time in one window, in units
	saved    atomic.Int64
	earnedAt atomic.Int64
	base     time.Time
}

// New returns an allowance of ratio repeats for each request, and reserve more in each window.
func New(ratio, reserve float64, window time.Duration, now time.Time) *Budget {
	a := &Budget{ratio: int64(ratio * unit), window: int64(max(window, 1)), base: now}
	a.SetReserve(reserve)
	a.saved.Store(a.most())
	return a
}

// SetReserve changes the reserve, as the number of nodes that share the bound changes.
func (a *Budget) SetReserve(reserve float64) {
	n := int64(reserve * unit)
	if a.reserve.Load() == n {
		return
	}
	a.reserve.Store(n)
	a.add(0)
}

// most returns what can be saved. More than half of the reserve would let a node spend twice the reserve within one
// window of the bound.
func (a *Budget) most() int64 { return max(unit, a.reserve.Load()/2) + a.ratio*savedRequests }

// Deposit counts a request.
func (a *Budget) Deposit() { a.add(a.ratio) }

func (a *Budget) add(n int64) {
	for {
		old := a.saved.Load()
		next := min(a.most(), old+n)
		if old == next || a.saved.CompareAndSwap(old, next) {
			return
		}
	}
}

// TryWithdraw pays for one repeat; false means that the allowance is used up.
func (a *Budget) TryWithdraw(now time.Time) bool {
	a.tick(now)
	for {
		old := a.saved.Load()
		if old < unit {
			return false
		}
		if a.saved.CompareAndSwap(old, old-unit) {
			return true
		}
	}
}

// Balance returns the whole repeats that are left.
func (a *Budget) Balance() int { return int(a.saved.Load() / unit) }

func (a *Budget) tick(now time.Time) {
	at := int64(now.Sub(a.base))
	last := a.earnedAt.Load()
	earned := (at - last) * a.reserve.Load() / a.window
	if earned > 0 && a.earnedAt.CompareAndSwap(last, at) {
		a.add(earned)
	}
}
