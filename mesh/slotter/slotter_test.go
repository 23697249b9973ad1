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

// arrival is one call of a load.
type arrival struct {
	name     string
	at       time.Duration
	rank     int
	deadline time.Duration // after the arrival
	start    time.Duration // latest useful start after the arrival
	patience time.Duration
	work     time.Duration
}

// play runs a load against a slotter in virtual time and returns what became of each call, in order of arrival.
func play(t *testing.T, s *Slotter, load []arrival) string {
	t.Helper()
	lines := make([]string, len(load))
	synctest.Test(t, func(t *testing.T) {
		ends := make(chan struct{}, len(load))
		begun := time.Now()
		for i, a := range load {
			go func() {
				defer func() { ends <- struct{}{} }()
				time.Sleep(a.at)
				now := time.Now()
				refusal, wait := s.Acquire(context.Background(), Request{Priority: a.rank, Deadline: now.Add(a.deadline), LatestStart: now.Add(a.start), MaxWait: a.patience})
				lines[i] = fmt.Sprintf("%-8s at %4v: ", a.name, a.at.Milliseconds())
				if refusal != "" {
					lines[i] += fmt.Sprintf("refused %s after %d ms, room in %d ms", refusal, time.Since(now).Milliseconds(), wait.Milliseconds())
					return
				}
				lines[i] += fmt.Sprintf("starts at %d", time.Since(begun).Milliseconds())
				time.Sleep(a.work)
				s.Release(a.work)
			}()
		}
		for range load {
			<-ends
		}
	})
	return strings.Join(lines, "\n") + "\n"
}

// TestLoads guards against queues in which everybody waits until it is too late, and against urgent calls behind others.
func TestLoads(t *testing.T) {
	ms := time.Millisecond
	call := func(name string, at int, f func(*arrival)) arrival {
		a := arrival{name: name, at: time.Duration(at) * ms, rank: 1, deadline: 1000 * ms, start: 300 * ms, work: 100 * ms}
		if f != nil {
			f(&a)
		}
		return a
	}
	cases := []struct {
		name string
		load []arrival
	}{
		{"crowd-beyond-capacity", []arrival{ // one slot of 100 ms; the fifth call could start only after its objective
			call("a", 0, nil), call("b", 1, nil), call("c", 2, nil), call("d", 3, nil), call("e", 4, nil), call("f", 150, nil),
		}},
		{"urgent-overtakes", []arrival{
			call("running", 0, nil), call("read", 1, func(a *arrival) { a.rank = 2 }), call("confirm", 2, nil),
			call("lookup", 3, func(a *arrival) { a.rank = 0; a.start = 150 * ms }),
		}},
		{"late-makes-way", []arrival{ // a caller that has already waited too long uses free slots only
			call("free", 0, func(a *arrival) { a.start = -50 * ms }), call("late", 1, func(a *arrival) { a.start = -50 * ms }), call("fresh", 2, nil),
		}},
		{"impatient-goes-elsewhere", []arrival{
			call("running", 0, nil), call("short", 1, func(a *arrival) { a.patience = 20 * ms }), call("long", 2, func(a *arrival) { a.patience = 200 * ms }),
		}},
		{"deadline-too-near", []arrival{
			call("running", 0, nil), call("near", 1, func(a *arrival) { a.deadline = 120 * ms }),
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			goldie.New(t).Assert(t, c.name, []byte(play(t, New(1), c.load)))
		})
	}
}

// TestClose guards against calls that reach an upstream after it has left.
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

// TestCancelledWait guards against a slot that is lost when its caller hangs up while it waits.
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
