package scenario

import (
	"fmt"
	"time"
)

// Attack describes crashing calls (culprits) that are sent many times while innocent calls run.
type Attack struct {
	Culprits          int           // distinct culprits, first sent at the same time
	Resends           int           // number of times that each caller sends a culprit
	Callers           int           // callers of each culprit; all but the first start after the first answer
	Innocents         int           // innocent calls, started at random times
	DistinctInnocents int           // distinct fingerprints of innocent calls
	Duration          time.Duration // period in which innocent calls start
}

// Backoff of an innocent call's caller: backoff for each failed attempt, up to maxBackoff.
const (
	backoff    = 5 * time.Millisecond
	maxBackoff = time.Second
)

// Result is the outcome of an attack.
type Result struct {
	MaxCrashes int           // largest number of crashes by one culprit
	Completed  int           // innocent calls that got a complete response
	Innocents  int           // innocent calls
	Refused    int           // innocent calls that failed in their first three attempts
	MaxLatency time.Duration // longest time from an innocent call's first attempt to its complete response
	MarksLeft  int           // marks of innocent calls at the end, summed over all nodes
}

// Run runs the attack and returns its result. The mesh runs on for settleTime after the attack's duration.
func (a Attack) Run(m *Mesh, settleTime time.Duration) Result {
	r := Result{Innocents: a.Innocents}
	for i := range a.Innocents {
		call := innocent(i % a.DistinctInnocents)
		m.clock.after(time.Duration(m.random.Int64N(int64(a.Duration))), func() {
			a.sendInnocent(m, &r, call, m.clock.now, 1)
		})
	}
	for i := range a.Culprits {
		m.clock.after(a.Duration/10, func() { a.sendCulprit(m, culprit(i), 0, true) })
	}
	m.Advance(a.Duration + settleTime)
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

// pickNode returns a random node whose upstream is up, as balancers avoid nodes whose upstream is down.
func (m *Mesh) pickNode() int {
	start := m.random.IntN(len(m.nodes))
	for i := range m.nodes {
		if n := (start + i) % len(m.nodes); m.nodes[n].up {
			return n
		}
	}
	return start
}

// sendCulprit sends the culprit to one random node after another, without a wait after each answer.
func (a Attack) sendCulprit(m *Mesh, call string, sent int, first bool) {
	if sent >= a.Resends {
		return
	}
	to := m.pickNode()
	serviceTime := time.Duration(m.random.Int64N(int64(20 * time.Millisecond)))
	m.Call(to, call, serviceTime, true, func(string) {
		if first && sent == 0 {
			for range a.Callers - 1 {
				a.sendCulprit(m, call, 0, false)
			}
		}
		a.sendCulprit(m, call, sent+1, first)
	})
}

// sendInnocent sends an innocent call until it gets a complete response.
func (a Attack) sendInnocent(m *Mesh, r *Result, call string, started time.Time, attempt int) {
	serviceTime := time.Duration(m.random.Int64N(int64(50 * time.Millisecond)))
	m.Call(m.pickNode(), call, serviceTime, false, func(reason string) {
		if reason == Complete {
			r.Completed++
			r.MaxLatency = max(r.MaxLatency, m.clock.now.Sub(started))
			return
		}
		if attempt == 3 {
			r.Refused++
		}
		m.clock.after(min(time.Duration(attempt)*backoff, maxBackoff), func() {
			a.sendInnocent(m, r, call, started, attempt+1)
		})
	})
}
