package limiter

import (
	"slices"
	"time"

	"wisteriaspoke.example/mesh/route"
)

// Refusal is why a call was not admitted; the upstream got no byte of it.
type Refusal string

// The refusals. The empty Refusal is an admission.
const (
	Full            Refusal = "full"    // no slot and no place in the queue
	Leaving         Refusal = "leaving" // the node takes no new work
	DeadlineTooSoon Refusal = "late"    // the deadline comes before the end of the call could
	OverFairShare   Refusal = "crowded" // like full, but because of other calls of the same tenant
)

// ticket is one waiting call.
type ticket struct {
	tenant   string
	class    route.Class
	deadline time.Time
	// granted receives the result once: the empty Refusal with a slot, or why there is none.
	granted chan Refusal
}

// queue orders waiting calls: high class first, then round robin over tenants, then by arrival. It is not safe for
// concurrent use, and its decisions depend only on its arguments.
type queue struct {
	size    int // places in all; calls of normal class use at most half of them
	length  int
	classes [2]class
}

// class is the waiting calls of one route class.
type class struct {
	length  int
	tenants []tenant // those with waiting calls; the first is served next
}

type tenant struct {
	name    string
	tickets []*ticket
}

func index(c route.Class) int {
	if c == route.High {
		return 0
	}
	return 1
}

// push adds a call or says why not. A displaced call, which has lost its place to this one, may be returned.
//
// service is the expected time of a call in the upstream, and limit the number of calls there at once.
func (q *queue) push(t *ticket, now time.Time, service time.Duration, limit int) (displaced *ticket, refusal Refusal) {
	i := index(t.class)
	if now.Add(q.expected(t, service, limit) + service).After(t.deadline) {
		return nil, DeadlineTooSoon
	}
	room := q.length < q.size
	if i > 0 {
		// The other half is kept for the high class, so that a flood of normal calls cannot fill the queue.
		room = room && q.classes[i].length < max(1, q.size/2)
	}
	if !room {
		if displaced = q.displace(t); displaced == nil {
			return nil, q.refusal(t)
		}
	}
	c := &q.classes[i]
	k := slices.IndexFunc(c.tenants, func(n tenant) bool { return n.name == t.tenant })
	if k < 0 {
		c.tenants = append(c.tenants, tenant{name: t.tenant})
		k = len(c.tenants) - 1
	}
	c.tenants[k].tickets = append(c.tenants[k].tickets, t)
	c.length++
	q.length++
	return displaced, ""
}

// expected returns how long a new call would wait, from the calls that round robin serves before it.
func (q *queue) expected(t *ticket, service time.Duration, limit int) time.Duration {
	c := q.classes[index(t.class)]
	own := 0
	for _, n := range c.tenants {
		if n.name == t.tenant {
			own = len(n.tickets)
		}
	}
	ahead := own
	for _, n := range c.tenants {
		if n.name != t.tenant {
			ahead += min(len(n.tickets), own+1)
		}
	}
	if index(t.class) > 0 {
		ahead += q.classes[0].length
	}
	return service * time.Duration(ahead+1) / time.Duration(max(1, limit))
}

// displace removes the newest call of the tenant with the most waiting calls, if it has a lower class than t, or the
// same class and at least two more calls than t's tenant.
func (q *queue) displace(t *ticket) *ticket {
	i := index(t.class)
	if i == 0 && q.classes[1].length > 0 {
		return q.removeNewest(1, q.longest(1))
	}
	c := &q.classes[i]
	if len(c.tenants) == 0 {
		return nil
	}
	k := q.longest(i)
	own := 0
	for _, n := range c.tenants {
		if n.name == t.tenant {
			own = len(n.tickets)
		}
	}
	if len(c.tenants[k].tickets) < own+2 {
		return nil
	}
	return q.removeNewest(i, k)
}

// refusal says whether t's tenant fills the queue itself.
func (q *queue) refusal(t *ticket) Refusal {
	c := q.classes[index(t.class)]
	if len(c.tenants) > 1 && c.tenants[q.longest(index(t.class))].name == t.tenant {
		return OverFairShare
	}
	return Full
}

func (q *queue) longest(i int) int {
	c := q.classes[i]
	k := 0
	for j := range c.tenants {
		if len(c.tenants[j].tickets) > len(c.tenants[k].tickets) {
			k = j
		}
	}
	return k
}

func (q *queue) removeNewest(i, k int) *ticket {
	ts := q.classes[i].tenants[k].tickets
	t := ts[len(ts)-1]
	q.remove(t)
	return t
}

// pop removes and returns the next call to run, or nil; calls whose deadline has passed are appended to late.
func (q *queue) pop(now time.Time) (next *ticket, late []*ticket) {
	for i := range q.classes {
		c := &q.classes[i]
		for len(c.tenants) > 0 {
			first := c.tenants[0]
			t := first.tickets[0]
			first.tickets = first.tickets[1:]
			c.tenants = slices.Delete(c.tenants, 0, 1)
			if len(first.tickets) > 0 {
				c.tenants = append(c.tenants, first)
			}
			c.length--
			q.length--
			if now.Before(t.deadline) {
				return t, late
			}
			late = append(late, t)
		}
	}
	return nil, late
}

// remove takes a call out and reports whether it was waiting.
func (q *queue) remove(t *ticket) bool {
	c := &q.classes[index(t.class)]
	for k := range c.tenants {
		j := slices.Index(c.tenants[k].tickets, t)
		if j < 0 {
			continue
		}
		c.tenants[k].tickets = slices.Delete(c.tenants[k].tickets, j, j+1)
		if len(c.tenants[k].tickets) == 0 {
			c.tenants = slices.Delete(c.tenants, k, k+1)
		}
		c.length--
		q.length--
		return true
	}
	return false
}

// clear removes and returns all calls.
func (q *queue) clear() []*ticket {
	var ts []*ticket
	for i := range q.classes {
		for _, n := range q.classes[i].tenants {
			ts = append(ts, n.tickets...)
		}
		q.classes[i] = class{}
	}
	q.length = 0
	return ts
}
