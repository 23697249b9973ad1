package deregistrar

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"wisteriaspoke.example/mesh/plan"
	"wisteriaspoke.example/mesh/tenant"
	"wisteriaspoke.example/mesh/view"
)

// fakeParts holds a configuration and counts the removals of the entry after the other nodes were told.
type fakeParts struct {
	plan      *plan.Plan
	announced bool
	removed   int
}

func (f *fakeParts) View() *view.View { return view.New(f.plan, time.Time{}, nil) }
func (f *fakeParts) Deregister(context.Context) error {
	if f.announced {
		f.removed++
	}
	return errors.New("the store does not answer")
}

func (f *fakeParts) AnnounceStop() { f.announced = true }

// TestDrain guards against entries of hosts that are gone, and against calls to the store of nodes that divide no limits.
func TestDrain(t *testing.T) {
	none := plan.New(1, plan.Limits{}, nil, nil)
	unlimited := none.WithTenants([]*tenant.Tenant{tenant.New(tenant.Fields{Name: "t"})})
	limited := none.WithTenants([]*tenant.Tenant{tenant.New(tenant.Fields{Name: "t"}), tenant.New(tenant.Fields{Name: "u", RatePerSecond: 5})})
	for _, c := range []struct {
		name string
		plan *plan.Plan
		want int
	}{{"no configuration", nil, 0}, {"no tenants", none, 0}, {"no limits", unlimited, 0}, {"limits", limited, 1}} {
		synctest.Test(t, func(t *testing.T) {
			f := &fakeParts{plan: c.plan}
			d := &Deregistrar{log: slog.New(slog.DiscardHandler), shares: f, registration: f, views: f, stopping: make(chan struct{}, 1)}
			ctx, cancel := context.WithCancel(context.Background())
			end := make(chan error, 1)
			go func() { end <- d.run(ctx) }()
			synctest.Wait()
			d.Drain(ctx)
			synctest.Wait()
			cancel()
			if err := <-end; !errors.Is(err, context.Canceled) || f.removed != c.want {
				t.Errorf("%s: the entry was removed %d times, want %d; error %v", c.name, f.removed, c.want, err)
			}
		})
	}
}
