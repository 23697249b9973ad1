package membercounter

import (
	"maps"
	"time"
)

const (
	// settleTime is how long the number of nodes must not have grown before a process that has just started tells it to others.
	settleTime = time.Second
	// aloneSettleTime is that of a process that knows no address but its own. The first call for the addresses may get no
	// answer from the store, which takes 1.5 s, and be repeated.
	aloneSettleTime = 2500 * time.Millisecond
	// heardTerm is how long a number is used that another node has told.
	heardTerm = 5 * time.Second
	// forgetAfter is how long a node counts that has vanished without saying that it stops. It may be cut off and use its
	// share; regions lose each other for minutes.
	forgetAfter = 10 * time.Minute
	// majority is the factor by which the counted nodes must exceed the known addresses before addresses that do not answer
	// are left out: more than half are counted, so that at most one side of a partition leaves out the other.
	majority = 2
	// startSpread is the longest time between the starts of two nodes after a loss of power of the whole mesh.
	startSpread = 500 * time.Millisecond
	// startedFraction is the part of the known addresses that must be reached to tell that the whole mesh has started. Some
	// are those of hosts that are gone.
	startedFraction = 0.8
)

// MemberCounter counts the nodes that may use a share of a limit. It errs towards a number that is too high, as shares are then
// too small. It is not safe for concurrent use.
type MemberCounter struct {
	startedAt time.Duration
	seen      map[string]sighting
	addresses int // nodes that this one knows or tries to reach, itself among them
	heard     int // highest number that another node has told within heardTerm
	heardAt   time.Duration
	grownAt   time.Duration // when members was last higher than ever before
	largest   int           // value of members at grownAt
}

// sighting is what is known of another node.
type sighting struct {
	at        time.Duration // when it was last known to run
	startedAt time.Duration // when its process started, or later
}

// New returns the counter of a process that starts now.
func New(now time.Duration) *MemberCounter {
	return &MemberCounter{startedAt: now, seen: map[string]sighting{}, grownAt: now, addresses: 1, largest: 1}
}

// See records that another node runs, with a process of that age, or that it has said that it stops. Its share is free then.
func (c *MemberCounter) See(address string, leaving bool, age, now time.Duration) {
	if leaving {
		delete(c.seen, address)
		return
	}
	c.seen[address] = sighting{at: now, startedAt: now - age}
	if n := c.members(); n > c.largest {
		c.largest, c.grownAt = n, now
	}
}

// SetAddresses sets the number of nodes, including this one, that are known or that this node tries to reach. A node that
// counts at most half of them keeps the largest number, as it gives up those that do not answer. It also forgets the nodes that
// vanished long ago.
func (c *MemberCounter) SetAddresses(n int, now time.Duration) {
	maps.DeleteFunc(c.seen, func(_ string, s sighting) bool { return now-s.at >= forgetAfter })
	if n > c.addresses || c.reachesMajority() {
		c.addresses = n
	}
}

// Hear records the number of nodes that another node has told.
func (c *MemberCounter) Hear(n int, now time.Duration) {
	if n > 0 && (n >= c.heard || now-c.heardAt > heardTerm) {
		c.heard, c.heardAt = n, now
	}
}

// Count returns the number of nodes, or 0 while it is not known.
func (c *MemberCounter) Count(now time.Duration) int {
	if c.heard == 0 && c.addresses == 1 && now-c.grownAt < aloneSettleTime {
		return 0
	}
	n := max(c.members(), c.addresses)
	if c.heard > 0 && now-c.heardAt <= heardTerm {
		n = max(n, c.heard)
	}
	return n
}

// StartedTogether reports whether the whole mesh has started with this process, so that no process is left to which an
// earlier one of this node can have lent its share. Without a known address of another node that is not certain.
func (c *MemberCounter) StartedTogether() bool {
	if !c.ReachesMost() {
		return false
	}
	for _, s := range c.seen {
		if s.startedAt < c.startedAt-startSpread {
			return false
		}
	}
	return true
}

// ReachesMost reports whether this process has reached most of the nodes whose addresses it knows.
func (c *MemberCounter) ReachesMost() bool {
	return c.addresses > 1 && float64(c.members()) >= startedFraction*float64(c.addresses)
}

// Age returns how long the process of another node has run, or a shorter time, and of a node that is not known, zero.
func (c *MemberCounter) Age(address string, now time.Duration) time.Duration {
	s, ok := c.seen[address]
	if !ok {
		return 0
	}
	return now - s.startedAt
}

// Known returns the number of nodes that this one tells others, or 0 while it is not certain.
func (c *MemberCounter) Known(now time.Duration) int {
	switch {
	case !c.settled(now), c.addresses == 1:
		return 0
	case !c.reachesMajority():
		return c.addresses
	}
	return c.members()
}

// members returns the number of nodes that run or have vanished lately, with this one.
func (c *MemberCounter) members() int { return len(c.seen) + 1 }

func (c *MemberCounter) settled(now time.Duration) bool { return now-c.grownAt >= settleTime }

// reachesMajority reports whether enough of the known addresses are of counted nodes to leave out the others.
func (c *MemberCounter) reachesMajority() bool { return majority*c.members() > c.addresses }
