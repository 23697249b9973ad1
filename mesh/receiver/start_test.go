package receiver

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"wisteriaspoke.example/mesh/plan"
	"wisteriaspoke.example/mesh/view"
)

// lateViews has a configuration from a point in time on.
type lateViews struct {
	plan  *plan.Plan
	known chan struct{}
}

func (l *lateViews) PlanKnown() <-chan struct{} { return l.known }
func (l *lateViews) View() *view.View {
	select {
	case <-l.known:
		return view.New(l.plan, time.Time{}, nil)
	default:
		return view.New(nil, time.Time{}, nil)
	}
}

// TestStartOfAllNodes guards against the load after a power loss of the whole mesh: requests that arrive before the first
// configuration are refused, although it comes half a second later, and their callers give up.
func TestStartOfAllNodes(t *testing.T) {
	for _, c := range []struct {
		name       string
		timeLeft   time.Duration
		knownAfter time.Duration
		served     bool
		waited     time.Duration
	}{
		{"known in time", 2500 * time.Millisecond, 500 * time.Millisecond, true, 500 * time.Millisecond},
		{"no deadline", 0, 500 * time.Millisecond, true, 500 * time.Millisecond},
		{"little time left", 800 * time.Millisecond, 500 * time.Millisecond, false, 200 * time.Millisecond},
		{"never known", 0, time.Hour, false, maxStartWait},
	} {
		synctest.Test(t, func(t *testing.T) {
			l := &lateViews{plan: testPlan(), known: make(chan struct{})}
			r := &Receiver{views: l}
			timer := time.AfterFunc(c.knownAfter, func() { close(l.known) })
			defer timer.Stop()
			begun := time.Now()
			v := r.awaitPlan(context.Background(), c.timeLeft)
			if got, waited := v.Plan() != nil, time.Since(begun); got != c.served || waited != c.waited {
				t.Errorf("%s: a plan %v after %v, want %v after %v", c.name, got, waited, c.served, c.waited)
			}
		})
	}
}
