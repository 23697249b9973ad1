package granter

import (
	"math"
	"slices"
	"time"

	"wisteriaspoke.example/mesh/quota"
)

const (
	// refreshInterval is how often the fair rate of a bucket's nodes is computed and expired tokens are removed.
	refreshInterval = 100 * time.Millisecond
	// activeFor is how long a reported demand counts.
	activeFor = 1500 * time.Millisecond
	// maxSaved is the time for which a node's part of the rate is kept for its next report.
	maxSaved = time.Second
	// minWait and maxWait bound the time for which a node is told that there is nothing more for it.
	minWait = 250 * time.Millisecond
	maxWait = 500 * time.Millisecond
	// waitingFraction is the part of the stock that is kept for requests that wait.
	waitingFraction = 0.4
	// minRate is the demand, in requests a second, for which a node that has just begun to ask is considered.
	minRate = 1.0
)

// bucket holds the tokens of one tenant.
type bucket struct {
	rate, stock, returns float64 // of the whole limit
	share                float64 // sum of the shares in use when last advanced
	level                float64 // tokens that can be granted
	outstanding          float64 // tokens that were granted and may still be used
	filled               float64 // integral of the shares until which level is filled
	nodes                map[string]*node

	refreshedAt time.Duration
	active      int     // nodes that have reported demand lately
	fair        float64 // rate above which a node gets no more, so that the sum is the bucket's rate; +Inf if there is enough
	owed        float64 // sum of the nodes' saved tokens

	returned   float64 // tokens credited since returnedAt for requests that did not run
	returnedAt time.Duration
}

// node is what one node holds and needs of a tenant's tokens.
type node struct {
	confirmed uint32  // tokens it may hold, of grants that it has got or has skipped
	pending   []batch // later grants
	expiry    time.Duration
	rate      float64 // reported demand a second
	saved     float64 // its part of the rate that it has not been granted
	short     bool    // it did not get what it needed
	accruedAt time.Duration
	seenAt    time.Duration
}

// batch is the tokens of one grant.
type batch struct {
	stamp  uint64
	tokens uint32
}

func (n *node) unconfirmed() uint32 {
	sum := uint32(0)
	for _, p := range n.pending {
		sum += p.tokens
	}
	return sum
}

func (n *node) outstanding() uint32 { return n.confirmed + n.unconfirmed() }

// capacity returns how many tokens may be added to the level.
func (b *bucket) capacity() float64 { return max(0, b.stock*b.share-b.outstanding) }

// advance adds what the shares have yielded. It precedes any change of the outstanding tokens, so that a bucket whose
// tokens are all outstanding does not fill for the time before they were used.
func (b *bucket) advance(filled, share float64, now time.Duration) {
	b.share = share
	b.level = min(b.level+b.rate*(filled-b.filled), b.capacity())
	b.filled = filled
	if now-b.returnedAt >= quota.ReturnTerm {
		b.returned, b.returnedAt = 0, now
	}
}

// expire removes the tokens that can no longer be used and returns their number.
func (b *bucket) expire(now time.Duration) uint64 {
	total := uint64(0)
	for _, n := range b.nodes {
		if k := n.outstanding(); k > 0 && n.expiry <= now {
			b.outstanding -= float64(k)
			n.confirmed, n.pending = 0, nil
			total += uint64(k)
		}
	}
	return total
}

// settle applies what a node says about the tokens that it was granted, and returns how many are no longer outstanding.
func (b *bucket) settle(n *node, need quota.Need, echo uint64, now time.Duration) uint64 {
	before := n.outstanding()
	kept := n.pending[:0]
	for _, p := range n.pending {
		if p.stamp <= echo {
			n.confirmed += p.tokens
		} else {
			kept = append(kept, p)
		}
	}
	n.pending = kept
	held := min(need.Held, n.confirmed)
	unused := min(need.Unused, n.confirmed-held)
	n.confirmed = held
	gone := before - n.outstanding()
	b.outstanding -= float64(gone)
	// Half of the allowance for each period, as two periods may adjoin within ReturnTerm.
	returned := min(float64(need.Returned), b.returns*b.share/2-b.returned)
	if returned > 0 {
		b.returned += returned
		b.level += returned
	}
	b.level = min(b.level+float64(unused), b.capacity())
	n.rate, n.seenAt = float64(need.Rate)/1000, now
	if need.Want > need.Held {
		n.rate = max(n.rate, minRate)
	}
	return uint64(gone)
}

// grant decides what a node gets.
func (b *bucket) grant(n *node, need quota.Need, now time.Duration) quota.Gift {
	b.accrue(n, now)
	g := quota.Gift{ID: need.ID}
	b.owed -= n.saved
	lacks := float64(need.Want) - float64(n.outstanding())
	if lacks < 1 {
		n.saved, n.short = 0, false
		return g
	}
	n.saved = min(n.saved, lacks)
	kept := waitingFraction * b.stock * b.share
	short := !math.IsInf(b.fair, 1) && b.level < kept
	// Parts of less than a token a second say nothing of a node that sends a request now and then. Its requests are served in
	// the order of their arrival.
	scarce := short && b.rate*b.share*maxSaved.Seconds() >= float64(b.active)
	urgent := max(0, min(lacks, float64(need.Waiting)-float64(n.unconfirmed())))
	tokens := 0.0
	if scarce {
		// The node's part of the rate, and what the others do not need.
		tokens = min(lacks, b.level, n.saved+max(0, b.level-b.owed-n.saved))
	} else {
		// Tokens that lie unused at one node are kept from requests that wait at another.
		tokens = max(min(urgent, b.level), min(lacks, b.level-kept))
	}
	tokens = math.Floor(max(0, tokens))
	n.saved = max(0, n.saved-tokens)
	b.owed += n.saved
	b.level -= tokens
	b.outstanding += tokens
	g.Tokens = uint32(tokens)
	n.short = scarce && tokens < lacks
	switch {
	case scarce && tokens < lacks && (tokens < urgent || n.rate > b.fair):
		rate := min(n.rate, b.fair)
		g.Wait = uint32(max(minWait, timeFor(1-n.saved, rate)).Milliseconds())
		g.Rate = uint32(rate * 1000)
	case !scarce && tokens < urgent:
		g.Wait = uint32(timeFor(1-b.level, b.rate*b.share).Milliseconds())
		g.Rate = uint32(b.rate * b.share * 1000)
	}
	return g
}

// timeFor returns the time in which a rate yields the tokens, at most maxWait and at least a millisecond.
func timeFor(tokens, rate float64) time.Duration {
	if tokens >= rate*maxWait.Seconds() {
		return maxWait
	}
	return max(time.Millisecond, time.Duration(tokens/rate*float64(time.Second)))
}

// renewable reports whether outstanding tokens may be valid for another term. After the bucket's shares have shrunk they
// may not: those who lent the shares use them elsewhere once the tokens have expired.
func (b *bucket) renewable() bool { return b.outstanding <= b.stock*b.share }

// refresh removes expired tokens, whose number it returns, and computes the fair rate and what the nodes have saved. It
// looks at all nodes, so it does nothing more often than each refreshInterval.
func (b *bucket) refresh(now time.Duration) (expired uint64) {
	if b.refreshedAt != 0 && now-b.refreshedAt < refreshInterval {
		return 0
	}
	b.refreshedAt = now
	expired = b.expire(now)
	rates := make([]float64, 0, len(b.nodes))
	for _, n := range b.nodes {
		if now-n.seenAt <= activeFor {
			rates = append(rates, n.rate)
		}
	}
	b.active, b.fair = len(rates), fairRate(rates, b.rate*b.share)
	owed := 0.0
	for _, n := range b.nodes {
		b.accrue(n, now)
		if now-n.seenAt > activeFor {
			n.saved = 0
		}
		owed += n.saved
	}
	b.owed = owed
	return expired
}

// accrue saves a node's part of the rate since the last time.
func (b *bucket) accrue(n *node, now time.Duration) {
	rate := min(n.rate, b.fair)
	most := 1.0
	if n.short {
		most += rate * maxSaved.Seconds()
	}
	grown := min(n.saved+rate*(now-n.accruedAt).Seconds(), most)
	b.owed += grown - n.saved
	n.saved, n.accruedAt = grown, now
}

// fairRate returns the rate r at which the sum of min(r, demand) over all demands is the total, or +Inf if the total
// covers them (max-min fairness).
func fairRate(demands []float64, total float64) float64 {
	slices.Sort(demands)
	for i, d := range demands {
		equal := total / float64(len(demands)-i)
		if d > equal {
			return equal
		}
		total -= d
	}
	return math.Inf(1)
}
