package runner

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"wisteriaspoke.example/mesh/answer"
	"wisteriaspoke.example/mesh/call"
	"wisteriaspoke.example/mesh/crashcount"
	"wisteriaspoke.example/mesh/enroller"
	"wisteriaspoke.example/mesh/plan"
	"wisteriaspoke.example/mesh/tenant"
	"wisteriaspoke.example/mesh/view"
)

// fakeProofs is a configuration and its age, which the test may change while calls run.
type fakeProofs struct {
	plan  atomic.Pointer[plan.Plan]
	off   bool
	stale atomic.Bool
}

func (f *fakeProofs) View() *view.View  { return view.New(f.plan.Load(), time.Time{}, nil) }
func (f *fakeProofs) Enabled() bool     { return !f.off }
func (f *fakeProofs) Fresh(uint64) bool { return !f.stale.Load() }

// lateChange makes a change at the last step before the exchange with the upstream.
type lateChange struct {
	crashCounter
	change func()
}

func (l *lateChange) Assess(c call.Call) (crashcount.Count, time.Duration) {
	l.change()
	return l.crashCounter.Assess(c)
}

// TestKeysAreCheckedAgain guards against calls that run although their key was revoked on their way or in the queue, or by a
// configuration that may be out of date, and against new keys that are refused for good by a node that does not know them
// yet. Refusals must be not run, and the upstream must not have received the call.
func TestKeysAreCheckedAgain(t *testing.T) {
	keys := func(version uint64, names ...string) *plan.Plan {
		f := tenant.Fields{Name: "t1"}
		for _, n := range names {
			f.KeyHashes = append(f.KeyHashes, tenant.HashKey(n))
		}
		return plan.New(version, plan.Limits{}, nil, nil).WithTenants([]*tenant.Tenant{tenant.New(f)})
	}
	var out strings.Builder
	for _, c := range []struct {
		name  string
		plan  *plan.Plan
		key   string
		setup func(f *fakeProofs)
		wait  func(f *fakeProofs) // while the call waits for its slot
		late  bool                // what setup does happens after the checks of the runner
	}{
		{name: "key known", plan: keys(3, "k1"), key: "k1"},
		{name: "no key needed", plan: keys(3, "k1"), setup: func(f *fakeProofs) { f.stale.Store(true) }},
		{name: "revoked on the way", plan: keys(4), key: "k1"},
		{name: "revoked, same version", plan: keys(3), key: "k1"},
		{name: "tenants removed", plan: plan.New(4, plan.Limits{}, nil, nil), key: "k1"},
		{name: "new key, older configuration", plan: keys(2), key: "k1"},
		{name: "new key, no tenants yet", plan: plan.New(2, plan.Limits{}, nil, nil), key: "k1"},
		{name: "no configuration", key: "k1"},
		{name: "out of date", plan: keys(3, "k1"), key: "k1", setup: func(f *fakeProofs) { f.stale.Store(true) }},
		{name: "off", plan: keys(4), key: "k1", setup: func(f *fakeProofs) { f.off = true }},
		{name: "revoked in the queue", plan: keys(3, "k1"), key: "k1", wait: func(f *fakeProofs) { f.plan.Store(keys(4)) }},
		{name: "out of date in the queue", plan: keys(3, "k1"), key: "k1", wait: func(f *fakeProofs) { f.stale.Store(true) }},
		{name: "revoked while connecting", plan: keys(3, "k1"), key: "k1", late: true, setup: func(f *fakeProofs) { f.plan.Store(keys(4)) }},
		{name: "changed in the queue, key kept", plan: keys(3, "k1"), key: "k1", wait: func(f *fakeProofs) { f.plan.Store(keys(4, "k0", "k1")) }},
	} {
		begun, release := make(chan struct{}, 2), make(chan struct{})
		var runs atomic.Int64
		upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Id", r.Header.Get("Id"))
			if r.Header.Get("Id") == "first" {
				begun <- struct{}{}
				<-release
			} else {
				runs.Add(1)
			}
			io.WriteString(w, "ok")
		}))
		r, e := newRunner()
		f := &fakeProofs{}
		f.plan.Store(c.plan)
		if c.late {
			r.crashes = &lateChange{crashCounter: r.crashes, change: func() { c.setup(f) }}
		} else if c.setup != nil {
			c.setup(f)
		}
		r.views, r.proofs = f, f
		e.Announce(enroller.Announcement{Instance: "i1", Address: strings.TrimPrefix(upstream.URL, "http://"), Service: "s", Version: "v1", Slots: 1, StartMillis: 1, Sequence: 1})
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		fields := call.Fields{Method: "GET", Host: "h", Path: "/", Service: "s", LatestStart: 30000}
		firstEnd := make(chan answer.Answer, 1)
		if c.wait != nil {
			first := fields
			first.RequestID = "first"
			go func() { firstEnd <- r.Serve(ctx, call.New(first)) }()
			<-begun
		}
		fields.RequestID = "second"
		if c.key != "" {
			fields.KeyHash, fields.KeyVersion = tenant.HashKey(c.key), 3
		}
		end := make(chan answer.Answer, 1)
		go func() { end <- r.Serve(ctx, call.New(fields)) }()
		if c.wait != nil {
			for r.backend.Load().slotter.Outstanding() < 2 {
				time.Sleep(time.Millisecond)
			}
			c.wait(f)
			close(release)
			<-firstEnd
		}
		a := <-end
		fmt.Fprintf(&out, "%-32s status %d, ran %-3s reason %-6q wait %3d ms, upstream saw %d\n", c.name, a.Status(), a.Ran(), a.Reason(), a.RetryAfter(), runs.Load())
		if n := r.backend.Load().slotter.Outstanding(); n != 0 {
			t.Errorf("%s: %d slots are still taken", c.name, n)
		}
		cancel()
		upstream.Close()
	}
	goldie.New(t).Assert(t, "keys", []byte(out.String()))
}
