package scenario

import (
	"fmt"
	"time"
)

// Culprit is the name of the bad call of an attack.
const Culprit = "culprit"

// Attack is a bad call that is resent while innocent calls run.
type Attack struct {
	Resends   int // of the bad call, by each of its callers
	Callers   int // of the bad call; all but the first start after the first answer
	Innocents int // innocent calls, spread over the time
	Names     int // different innocent calls
	Span      time.Duration
}

// Result is what an attack led to.
type Result struct {
	Crashes  int
	Ended    int // innocent calls with a whole response
	Innocent int // innocent calls
	Refused  int // innocent calls that were refused or broken off at their first three tries
	Worst    time.Duration
	Left     int // nodes that hold marks of innocent calls in the end
}

// Run runs the attack and returns what it led to; rest is the time after the innocent calls have started.
func (a Attack) Run(m *Mesh, rest time.Duration) Result {
	r := Result{Innocent: a.Innocents}
	for i := range a.Innocents {
		call := fmt.Sprintf("innocent %d", i%a.Names)
		m.clock.after(time.Duration(m.random.Int64N(int64(a.Span))), func() { a.innocent(m, &r, call, m.clock.now, 1) })
	}
	m.clock.after(a.Span/10, func() { a.resend(m, 0, true) })
	m.Run(a.Span + rest)
	r.Crashes = m.Crashes(Culprit)
	for i := range a.Names {
		r.Left += m.Marked(fmt.Sprintf("innocent %d", i))
	}
	return r
}

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
func (a Attack) resend(m *Mesh, sent int, first bool) {
	if sent >= a.Resends {
		return
	}
	to := m.pick()
	takes := time.Duration(m.random.Int64N(int64(20 * time.Millisecond)))
	m.Call(to, Culprit, takes, true, func(string) {
		if first && sent == 0 {
			for range a.Callers - 1 {
				a.resend(m, 0, false)
			}
		}
		a.resend(m, sent+1, first)
	})
}

// innocent sends an innocent call until it gets a whole response.
func (a Attack) innocent(m *Mesh, r *Result, call string, since time.Time, try int) {
	takes := time.Duration(m.random.Int64N(int64(50 * time.Millisecond)))
	m.Call(m.pick(), call, takes, false, func(reason string) {
		if reason == Whole {
			r.Ended++
			r.Worst = max(r.Worst, m.clock.now.Sub(since))
			return
		}
		if try == 3 {
			r.Refused++
		}
		a.innocent(m, r, call, since, try+1)
	})
}
