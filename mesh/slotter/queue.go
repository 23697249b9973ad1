package slotter

import (
	"slices"
	"time"
)

// waiter is a call that waits for a slot.
type waiter struct {
	priority    int
	tenant      string
	latestStart time.Time
	result      chan Refusal // receives the result once
}

// before reports whether a precedes b in the queue: by priority, then by latest start.
func before(a, b *waiter) bool {
	if a.priority != b.priority {
		return a.priority < b.priority
	}
	return a.latestStart.Before(b.latestStart)
}

// queue holds waiting calls by priority and latest start. It is not safe for concurrent use.
type queue struct {
	waiters []*waiter
	// granted are the slots that each tenant's waiting calls have got since the queue was last empty. A tenant that begins to
	// wait counts as having got at least as many as the one with the fewest.
	granted map[string]int
}

// next returns the index of the call that gets the next slot: among those of the highest priority the first one of the
// tenant that has got the fewest, so that one tenant with many calls does not keep the others waiting.
func (q *queue) next() int {
	best := 0
	for i, w := range q.waiters {
		if w.priority != q.waiters[0].priority {
			break
		}
		if q.granted[w.tenant] < q.granted[q.waiters[best].tenant] {
			best = i
		}
	}
	return best
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

func (q *queue) push(w *waiter) {
	if q.granted != nil {
		q.admit(w)
	}
	q.waiters = slices.Insert(q.waiters, q.position(w), w)
}

// admit raises the count of a tenant that begins to wait to the lowest one of the tenants that wait with the same priority.
// Otherwise it would get all slots until it has got as many as they have during the backlog.
func (q *queue) admit(w *waiter) {
	lowest := -1
	for _, other := range q.waiters {
		if other.priority != w.priority {
			continue
		}
		if other.tenant == w.tenant {
			return
		}
		if n := q.granted[other.tenant]; lowest < 0 || n < lowest {
			lowest = n
		}
	}
	q.granted[w.tenant] = max(q.granted[w.tenant], lowest)
}

// pop removes the call that gets the next slot.
func (q *queue) pop() *waiter {
	i := q.next()
	w := q.waiters[i]
	q.waiters = slices.Delete(q.waiters, i, i+1)
	if len(q.waiters) == 0 {
		q.granted = nil
		return w
	}
	if q.granted == nil {
		q.granted = map[string]int{}
	}
	q.granted[w.tenant]++
	return w
}

// remove removes a call and reports whether it was in the queue.
func (q *queue) remove(w *waiter) bool {
	i := slices.Index(q.waiters, w)
	if i < 0 {
		return false
	}
	q.waiters = slices.Delete(q.waiters, i, i+1)
	if len(q.waiters) == 0 {
		q.granted = nil
	}
	return true
}
