package retrier

import "sync/atomic"

const (
	// creditPerCall and costPerRetry allow 1 retry for 10 calls.
	creditPerCall = 1
	costPerRetry  = 10
	// maxSpent is the size of a full budget: 20 retries, so that a drain in a service with few calls loses none.
	maxSpent = 20 * costPerRetry
)

// Budget limits retries to a tenth of the calls plus a fixed reserve. The zero value is a full budget.
type Budget struct {
	spent atomic.Int64 // zero to maxSpent; a retry adds costPerRetry
}

// Deposit credits the budget for one call.
func (b *Budget) Deposit() {
	for {
		n := b.spent.Load()
		if n == 0 || b.spent.CompareAndSwap(n, max(0, n-creditPerCall)) {
			return
		}
	}
}

// CanWithdraw reports whether the budget covers a retry.
func (b *Budget) CanWithdraw() bool { return b.spent.Load()+costPerRetry <= maxSpent }

// TryWithdraw charges the budget for a retry; it returns false if the budget is exhausted.
func (b *Budget) TryWithdraw() bool {
	for {
		n := b.spent.Load()
		if n+costPerRetry > maxSpent {
			return false
		}
		if b.spent.CompareAndSwap(n, n+costPerRetry) {
			return true
		}
	}
}

// Refund reverses TryWithdraw for a retry that was not made.
func (b *Budget) Refund() {
	for {
		n := b.spent.Load()
		if b.spent.CompareAndSwap(n, max(0, n-costPerRetry)) {
			return
		}
	}
}
