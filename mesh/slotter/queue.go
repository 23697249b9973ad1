package slotter

import (
	"slices"
	"time"
)

// waiter is a call that waits for a slot.
type waiter struct {
	priority    int
	latestStart time.Time
	result      chan Refusal // receives the result once
}

// before reports whether a gets a slot before b: by priority, then by latest start.
func before(a, b *waiter) bool {
	if a.priority != b.priority {
		return a.priority < b.priority
	}
	return a.latestStart.Before(b.latestStart)
}

// queue holds waiting calls in the order in which they get slots. It is not safe for concurrent use.
type queue struct {
	waiters []*waiter
}

func (q *queue) length() int { return len(q.waiters) }

// position returns the number of calls that get a slot before w.
func (q *queue) position(w *waiter) int {
	i := 0
	for i < len(q.waiters) && !before(w, q.waiters[i]) {
		i++
	}
	return i
}

// expectedWait returns how long w would wait, given the mean service time.
func (q *queue) expectedWait(w *waiter, mean time.Duration, slots int) time.Duration {
	return mean * time.Duration(q.position(w)+1) / time.Duration(max(1, slots))
}

func (q *queue) push(w *waiter) { q.waiters = slices.Insert(q.waiters, q.position(w), w) }

func (q *queue) pop() *waiter {
	w := q.waiters[0]
	q.waiters = slices.Delete(q.waiters, 0, 1)
	return w
}

// remove removes a call and reports whether it was in the queue.
func (q *queue) remove(w *waiter) bool {
	i := slices.Index(q.waiters, w)
	if i < 0 {
		return false
	}
	q.waiters = slices.Delete(q.waiters, i, i+1)
	return true
}
