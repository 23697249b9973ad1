package limiter

import (
	"slices"
	"time"

	"wisteriaspoke.example/mesh/route"
)

// Refusal is the reason why a call was not admitted; no byte of the call was sent to the upstream.
type Refusal string

// The reasons of a refusal. The empty Refusal means that the call was admitted.
const (
	Full            Refusal = "full"    // no free slot, and the queue is full
	Leaving         Refusal = "leaving" // the node accepts no new calls
	DeadlineTooSoon Refusal = "late"    // the call cannot end before its deadline, or it has passed
	OverFairShare   Refusal = "crowded" // the queue is full of other calls of the same tenant
)

// ticket is one waiting call.
type ticket struct {
	tenant   string
	class    route.Class
	deadline time.Time
	// granted receives the result once: the empty Refusal with a slot, or the reason of the refusal.
	granted chan Refusal
}

// queue orders waiting calls: high class first, then round robin over tenants, then by arrival. It is not safe for
// concurrent use, and its decisions depend only on its arguments.
type queue struct {
	capacity int // of all classes; calls of the normal class use at most half of it
	length   int
	classes  [2]classQueue
}

// classQueue holds the waiting calls of one route class.
type classQueue struct {
	length  int
	tenants []tenantQueue // tenants with waiting calls; the first is served next
}

type tenantQueue struct {
	name    string
	tickets []*ticket
}

func classIndex(c route.Class) int {
	if c == route.High {
		return 0
	}
	return 1
}

// push adds a call or returns why it is refused. displaced is the call that was removed to make room, if any.
//
// service is the expected service time of a call, and limit the number of concurrent calls in the upstream.
func (q *queue) push(t *ticket, now time.Time, service time.Duration, limit int) (displaced *ticket, refusal Refusal) {
	i := classIndex(t.class)
	if now.Add(q.expectedWait(t, service, limit) + service).After(t.deadline) {
		return nil, DeadlineTooSoon
	}
	fits := q.length < q.capacity
	if i > 0 {
		// The other half is reserved for the high class, so that a flood of normal calls cannot fill the queue.
		fits = fits && q.classes[i].length < max(1, q.capacity/2)
	}
	if !fits {
		if displaced = q.displace(t); displaced == nil {
			return nil, q.refusal(t)
		}
	}
	c := &q.classes[i]
	k := slices.IndexFunc(c.tenants, func(n tenantQueue) bool { return n.name == t.tenant })
	if k < 0 {
		c.tenants = append(c.tenants, tenantQueue{name: t.tenant})
		k = len(c.tenants) - 1
	}
	c.tenants[k].tickets = append(c.tenants[k].tickets, t)
	c.length++
	q.length++
	return displaced, ""
}

// expectedWait returns how long a new call would wait, from the number of calls that round robin serves before it.
func (q *queue) expectedWait(t *ticket, service time.Duration, limit int) time.Duration {
	c := q.classes[classIndex(t.class)]
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
	if classIndex(t.class) > 0 {
		ahead += q.classes[0].length
	}
	return service * time.Duration(ahead+1) / time.Duration(max(1, limit))
}

// displace removes the newest call of the tenant with the most waiting calls, if it has a lower class than t, or the
// same class and at least two more calls than t's tenant.
func (q *queue) displace(t *ticket) *ticket {
	i := classIndex(t.class)
	if i == 0 && q.classes[1].length > 0 {
		return q.removeNewest(1, q.longestTenant(1))
	}
	c := &q.classes[i]
	if len(c.tenants) == 0 {
		return nil
	}
	k := q.longestTenant(i)
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

// refusal returns why t, which does not fit, is refused: OverFairShare if its own tenant has the most waiting calls.
func (q *queue) refusal(t *ticket) Refusal {
	c := q.classes[classIndex(t.class)]
	if len(c.tenants) > 1 && c.tenants[q.longestTenant(classIndex(t.class))].name == t.tenant {
		return OverFairShare
	}
	return Full
}

func (q *queue) longestTenant(i int) int {
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

// remove removes a call and reports whether it was waiting.
func (q *queue) remove(t *ticket) bool {
	c := &q.classes[classIndex(t.class)]
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
		q.classes[i] = classQueue{}
	}
	q.length = 0
	return ts
}
