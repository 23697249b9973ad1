package enroller

import (
	"fmt"
	"log/slog"
	"testing"
	"time"
)

// TestWithdrawalsAreBounded guards against withdrawals that grow the object in the store without a bound, or displace the latest.
func TestWithdrawalsAreBounded(t *testing.T) {
	e := New(slog.New(slog.DiscardHandler))
	now := time.UnixMilli(1000)
	e.now = func() time.Time { return now }
	for i := range 2 * maxWithdrawals {
		now = now.Add(time.Second)
		e.Withdraw(fmt.Sprintf("i-%03d", 500-i), 0)
	}
	ws := e.Withdrawals()
	if len(ws) != maxWithdrawals || ws[0].Instance() != fmt.Sprintf("i-%03d", 500-2*maxWithdrawals+1) {
		t.Errorf("%d withdrawals from %v on, want %d and the latest", len(ws), ws[0], maxWithdrawals)
	}
}
