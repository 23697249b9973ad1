package clockrelater

import "time"

// Period is the time after which stamps begin to be forgotten; a stamp counts for one to two periods. Clocks whose rates
// differ by 0.05% drift apart by 30 ms in two periods.
const Period = 30 * time.Second

// maxGain is the rise of a bound that is explained by messages of varying speed. After a higher one this node's clock may
// have stood still, so that moments before it are converted by the bound before it.
const maxGain = 50 * time.Millisecond

// ClockRelater holds the newest stamps of other nodes; it is not safe for concurrent use.
type ClockRelater struct {
	relations map[string]*relation // by the other node's address
}

// relation is what the stamps of one run of a node show.
type relation struct {
	incarnation       uint64
	started           time.Duration // when the current period began, by this node's clock
	current, previous time.Duration // highest differences between the other clock and this one in two periods
	hasPrevious       bool
	raised            bool
	raisedAt          time.Duration // when the bound last rose by more than maxGain
	beforeRaise       time.Duration // the bound before it, or before the first of several in a period
}

// New returns a relater without stamps.
func New() *ClockRelater { return &ClockRelater{relations: map[string]*relation{}} }

// Observe records that a stamp of the run of the node at address peer has arrived at this node's time now.
func (c *ClockRelater) Observe(peer string, incarnation uint64, stamp, now time.Duration) {
	ahead := stamp - now
	r := c.relations[peer]
	if r == nil || r.incarnation != incarnation || now-r.started >= 2*Period {
		c.relations[peer] = &relation{incarnation: incarnation, started: now, current: ahead}
		return
	}
	defer r.noteRaise(r.ahead(now), now)
	if now-r.started >= Period {
		r.started, r.current, r.previous, r.hasPrevious = now, ahead, r.current, true
		return
	}
	r.current = max(r.current, ahead)
}

// noteRaise records a rise of the bound from the value before the newest stamp.
func (r *relation) noteRaise(before, now time.Duration) {
	if r.ahead(now)-before <= maxGain {
		return
	}
	if !r.raised || now-r.raisedAt >= Period {
		r.beforeRaise = before
	}
	r.raised, r.raisedAt = true, now
}

// ahead returns by how much the other clock is ahead of this one, at least.
func (r *relation) ahead(now time.Duration) time.Duration {
	if r.hasPrevious && now-r.started < Period {
		return max(r.current, r.previous)
	}
	return r.current
}

// Convert returns what the clock of the node at address peer showed, at least, at this node's time moment, and the run of the
// node whose clock that is. It reports false if no stamp of the node counts at this node's time now.
func (c *ClockRelater) Convert(peer string, moment, now time.Duration) (theirs time.Duration, incarnation uint64, ok bool) {
	r := c.relations[peer]
	if r == nil || now-r.started >= 2*Period {
		return 0, 0, false
	}
	ahead := r.ahead(now)
	if r.raised && moment < r.raisedAt {
		ahead = min(ahead, r.beforeRaise)
	}
	return moment + ahead, r.incarnation, true
}

// Retain forgets the nodes for which keep reports false.
func (c *ClockRelater) Retain(keep func(peer string) bool) {
	for peer := range c.relations {
		if !keep(peer) {
			delete(c.relations, peer)
		}
	}
}
