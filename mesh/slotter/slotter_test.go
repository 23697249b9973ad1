package slotter

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sebdah/goldie/v2"
)

// arrival is one call of a simulated load.
type arrival struct {
	name        string
	at          time.Duration
	priority    int
	tenant      string
	deadline    time.Duration // after the arrival
	latestStart time.Duration // after the arrival
	maxWait     time.Duration
	serviceTime time.Duration
}

// simulate runs a load against a slotter in virtual time and returns the outcome of each call, in order of arrival.
func simulate(t *testing.T, s *Slotter, load []arrival) string {
	t.Helper()
	var lines string
	synctest.Test(t, func(*testing.T) { lines = run(s, load) })
	return lines
}

// run runs a load in the virtual time of the caller's bubble.
func run(s *Slotter, load []arrival) string {
	lines := make([]string, len(load))
	ends := make(chan struct{}, len(load))
	began := time.Now()
	for i, a := range load {
		go func() {
			defer func() { ends <- struct{}{} }()
			time.Sleep(a.at)
			now := time.Now()
			refusal, wait := s.Acquire(context.Background(), Request{Priority: a.priority, Tenant: a.tenant, Deadline: now.Add(a.deadline), LatestStart: now.Add(a.latestStart), MaxWait: a.maxWait})
			lines[i] = fmt.Sprintf("%-8s at %4v: ", a.name, a.at.Milliseconds())
			if refusal != "" {
				lines[i] += fmt.Sprintf("refused %s after %d ms, room in %d ms", refusal, time.Since(now).Milliseconds(), wait.Milliseconds())
				return
			}
			lines[i] += fmt.Sprintf("starts at %d", time.Since(began).Milliseconds())
			time.Sleep(a.serviceTime)
			s.Release(a.serviceTime)
		}()
	}
	for range load {
		<-ends
	}
	return strings.Join(lines, "\n") + "\n"
}

// TestLoads guards against queues in which all calls wait until they miss their objective, and against urgent calls
// that wait behind less urgent ones.
func TestLoads(t *testing.T) {
	ms := time.Millisecond
	call := func(name string, at int, f func(*arrival)) arrival {
		a := arrival{name: name, at: time.Duration(at) * ms, priority: 1, deadline: 1000 * ms, latestStart: 300 * ms, serviceTime: 100 * ms}
		if f != nil {
			f(&a)
		}
		return a
	}
	cases := []struct {
		name string
		load []arrival
	}{
		{"overload", []arrival{ // one slot, 100 ms a call; the fifth call could start only after its latest start
			call("a", 0, nil), call("b", 1, nil), call("c", 2, nil), call("d", 3, nil), call("e", 4, nil), call("f", 150, nil),
		}},
		{"urgent-overtakes", []arrival{
			call("running", 0, nil), call("read", 1, func(a *arrival) { a.priority = 2 }), call("confirm", 2, nil),
			call("lookup", 3, func(a *arrival) { a.priority = 0; a.latestStart = 150 * ms }),
		}},
		{"late-call-refused", []arrival{ // a call past its latest start gets a free slot but doesn't wait for one
			call("free", 0, func(a *arrival) { a.latestStart = -50 * ms }), call("late", 1, func(a *arrival) { a.latestStart = -50 * ms }), call("fresh", 2, nil),
		}},
		{"max-wait-too-short", []arrival{
			call("running", 0, nil), call("short", 1, func(a *arrival) { a.maxWait = 20 * ms }), call("long", 2, func(a *arrival) { a.maxWait = 200 * ms }),
		}},
		{"one-tenant-sends-many", []arrival{ // the others get a slot in turn, not behind all calls of the first
			call("running", 0, nil), call("hot-1", 1, func(a *arrival) { a.tenant = "hot" }), call("hot-2", 2, func(a *arrival) { a.tenant = "hot" }),
			call("hot-3", 3, func(a *arrival) { a.tenant = "hot"; a.latestStart = 450 * ms }), call("small-1", 4, func(a *arrival) { a.tenant = "small"; a.latestStart = 500 * ms }),
			call("urgent", 5, func(a *arrival) { a.tenant = "hot"; a.priority = 0; a.latestStart = 600 * ms }),
		}},
		{"deadline-too-soon", []arrival{
			call("running", 0, nil), call("near", 1, func(a *arrival) { a.deadline = 120 * ms }),
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			goldie.New(t).Assert(t, c.name, []byte(simulate(t, New(1), c.load)))
		})
	}
}

// TestRate guards against LIMIT: calls that start at a higher rate than the upstream has named because slots are free, or
// that take their turn before more urgent ones.
func TestRate(t *testing.T) {
	const perSecond = 10
	var load []arrival
	for i := range 24 {
		a := arrival{
			name: fmt.Sprintf("read-%d", i), at: time.Duration(i) * 27 * time.Millisecond, priority: 2, deadline: time.Second,
			latestStart: 515 * time.Millisecond, serviceTime: 30 * time.Millisecond,
		}
		if i%6 == 5 {
			a.name, a.priority = fmt.Sprintf("book-%d", i), 1
		}
		load = append(load, a)
	}
	var out strings.Builder
	synctest.Test(t, func(t *testing.T) {
		s := New(12)
		s.SetRate(perSecond)
		out.WriteString(run(s, load))
		out.WriteString("the limit is lifted\n")
		s.SetRate(0)
		out.WriteString(run(s, load[:4]))
	})
	goldie.New(t).Assert(t, "rate", []byte(out.String()))
}

// TestClose guards against calls that get a slot after Close, and against waiting calls that Close doesn't end.
func TestClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(1)
		r := Request{Deadline: time.Now().Add(time.Hour), LatestStart: time.Now().Add(time.Hour)}
		if refusal, _ := s.Acquire(context.Background(), r); refusal != "" {
			t.Fatalf("the first call is refused: %s", refusal)
		}
		waiting := make(chan Refusal, 1)
		go func() {
			refusal, _ := s.Acquire(context.Background(), r)
			waiting <- refusal
		}()
		synctest.Wait()
		s.Close()
		if refusal := <-waiting; refusal != Leaving {
			t.Errorf("the waiting call ends with %q, want leaving", refusal)
		}
		s.Release(time.Second)
		if refusal, _ := s.Acquire(context.Background(), r); refusal != Leaving {
			t.Errorf("a new call ends with %q, want leaving", refusal)
		}
		if n := s.Outstanding(); n != 0 {
			t.Errorf("%d calls are outstanding at the end", n)
		}
	})
}

// TestCancelledWait guards against a lost slot when a call is cancelled while it waits.
func TestCancelledWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(1)
		r := Request{Deadline: time.Now().Add(time.Hour), LatestStart: time.Now().Add(time.Hour)}
		s.Acquire(context.Background(), r)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan Refusal, 1)
		go func() {
			refusal, _ := s.Acquire(ctx, r)
			ended <- refusal
		}()
		synctest.Wait()
		cancel()
		if refusal := <-ended; refusal == "" {
			t.Error("a cancelled call got a slot")
		}
		s.Release(0)
		if refusal, _ := s.Acquire(context.Background(), r); refusal != "" {
			t.Errorf("the slot is lost: %s", refusal)
		}
	})
}
