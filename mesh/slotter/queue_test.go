package slotter

import (
	"testing"
	"time"
)

// TestLateTenant guards against a tenant that begins to wait after a long backlog of another one, and then gets all slots
// until it has got as many.
func TestLateTenant(t *testing.T) {
	const calls, served = 100, 20
	q, begin := &queue{}, time.Now()
	push := func(tenant string, n int) {
		for range n {
			q.push(&waiter{tenant: tenant, latestStart: begin})
		}
	}
	push("early", 2*calls)
	for range calls {
		q.pop()
	}
	push("late", calls)
	got := map[string]int{}
	for range served {
		got[q.pop().tenant]++
	}
	if got["early"] < served/4 || got["late"] < served/4 {
		t.Errorf("of %d slots, the tenants got %v", served, got)
	}
}
