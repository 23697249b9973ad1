package scenario

import (
	"fmt"
	"time"
)

// Attack is bad calls that are resent while innocent calls run.
type Attack struct {
	Culprits          int // different bad calls, sent first at the same time
	Resends           int // of a bad call, by each of its callers
	Callers           int // of a bad call; all but the first start after the first answer
	Innocents         int // innocent calls, spread over the time
	DistinctInnocents int // different innocent calls
	Duration          time.Duration
}

// Waits of an innocent call's caller before its next try.
const (
	backoff    = 5 * time.Millisecond
	maxBackoff = time.Second
)

// Result is what an attack led to.
type Result struct {
	MaxCrashes int // by the bad call with the most
	Completed  int // innocent calls with a whole response
	Innocents  int // innocent calls
	Refused    int // innocent calls that were refused or broken off at their first three tries
	MaxLatency time.Duration
	MarksLeft  int // marks of innocent calls in the end, at all nodes
}

// Run runs the attack and returns what it led to; rest is the time after the innocent calls have started.
func (a Attack) Run(m *Mesh, rest time.Duration) Result {
	r := Result{Innocents: a.Innocents}
	for i := range a.Innocents {
		call := innocent(i % a.DistinctInnocents)
		m.clock.after(time.Duration(m.random.Int64N(int64(a.Duration))), func() { a.try(m, &r, call, m.clock.now, 1) })
	}
	for i := range a.Culprits {
		m.clock.after(a.Duration/10, func() { a.resend(m, culprit(i), 0, true) })
	}
	m.Advance(a.Duration + rest)
	for i := range a.Culprits {
		r.MaxCrashes = max(r.MaxCrashes, m.Crashes(culprit(i)))
	}
	names := make([]string, a.DistinctInnocents)
	for i := range names {
		names[i] = innocent(i)
	}
	r.MarksLeft = m.MarkCount(names)
	return r
}

func innocent(i int) string { return fmt.Sprintf("innocent %d", i) }

func culprit(i int) string { return fmt.Sprintf("culprit %d", i) }

// pick returns a node whose upstream is up, as the balancers avoid the others.
func (m *Mesh) pick() int {
	start := m.random.IntN(len(m.nodes))
	for i := range m.nodes {
		if n := (start + i) % len(m.nodes); m.nodes[n].up {
			return n
		}
	}
	return start
}

// resend sends the bad call through one node after the other, at once after each answer.
func (a Attack) resend(m *Mesh, call string, sent int, first bool) {
	if sent >= a.Resends {
		return
	}
	to := m.pick()
	takes := time.Duration(m.random.Int64N(int64(20 * time.Millisecond)))
	m.Call(to, call, takes, true, func(string) {
		if first && sent == 0 {
			for range a.Callers - 1 {
				a.resend(m, call, 0, false)
			}
		}
		a.resend(m, call, sent+1, first)
	})
}

// try sends an innocent call until it gets a whole response.
func (a Attack) try(m *Mesh, r *Result, call string, since time.Time, tries int) {
	takes := time.Duration(m.random.Int64N(int64(50 * time.Millisecond)))
	m.Call(m.pick(), call, takes, false, func(reason string) {
		if reason == Complete {
			r.Completed++
			r.MaxLatency = max(r.MaxLatency, m.clock.now.Sub(since))
			return
		}
		if tries == 3 {
			r.Refused++
		}
		m.clock.after(min(time.Duration(tries)*backoff, maxBackoff), func() { a.try(m, r, call, since, tries+1) })
	})
}
