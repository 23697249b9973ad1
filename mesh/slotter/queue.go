package slotter

import (
	"slices"
	"time"
)

// ticket is one waiting call.
type ticket struct {
	rank    int
	start   time.Time
	granted chan Refusal // receives the result once
}

// before reports whether a is served first: the more urgent, then the one that must start earlier.
func before(a, b *ticket) bool {
	if a.rank != b.rank {
		return a.rank < b.rank
	}
	return a.start.Before(b.start)
}

// queue holds waiting calls in the order in which they are served. It is not safe for concurrent use.
type queue struct {
	tickets []*ticket
}

func (q *queue) length() int { return len(q.tickets) }

// place returns the number of calls that are served before t.
func (q *queue) place(t *ticket) int {
	i := 0
	for i < len(q.tickets) && !before(t, q.tickets[i]) {
		i++
	}
	return i
}

// expected returns how long t would wait.
func (q *queue) expected(t *ticket, mean time.Duration, slots int) time.Duration {
	return mean * time.Duration(q.place(t)+1) / time.Duration(max(1, slots))
}

func (q *queue) push(t *ticket) { q.tickets = slices.Insert(q.tickets, q.place(t), t) }

func (q *queue) pop() *ticket {
	t := q.tickets[0]
	q.tickets = slices.Delete(q.tickets, 0, 1)
	return t
}

// remove takes a call out and reports whether it was waiting.
func (q *queue) remove(t *ticket) bool {
	i := slices.Index(q.tickets, t)
	if i < 0 {
		return false
	}
	q.tickets = slices.Delete(q.tickets, i, i+1)
	return true
}
