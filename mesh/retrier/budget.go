package retrier

import "sync/atomic"

const (
	// earned and cost give 1 retry for 10 calls.
	earned = 1
	cost   = 10
	// reserve is what a budget starts with and can save: 20 retries, so that a drain in a service with few calls
	// loses none.
	reserve = 20 * cost
)

// Budget bounds retries to a tenth of the calls, with a small reserve. It starts full.
type Budget struct {
	spent atomic.Int64 // in units of cost, at most reserve
}

// Deposit counts a call.
func (b *Budget) Deposit() {
	for {
		n := b.spent.Load()
		if n == 0 || b.spent.CompareAndSwap(n, max(0, n-earned)) {
			return
		}
	}
}

// CanWithdraw reports whether a retry can be paid for.
func (b *Budget) CanWithdraw() bool { return b.spent.Load()+cost <= reserve }

// TryWithdraw pays for a retry; false means that the budget is used up.
func (b *Budget) TryWithdraw() bool {
	for {
		n := b.spent.Load()
		if n+cost > reserve {
			return false
		}
		if b.spent.CompareAndSwap(n, n+cost) {
			return true
		}
	}
}

// Refund takes back a payment for a retry that was not made.
func (b *Budget) Refund() {
	for {
		n := b.spent.Load()
		if b.spent.CompareAndSwap(n, max(0, n-cost)) {
			return
		}
	}
}
