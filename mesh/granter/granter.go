package granter

import (
	"math"
	"time"

	"wisteriaspoke.example/mesh/quota"
)

const (
	// expiryMargin covers the difference in the speed of two clocks during the term of a token.
	expiryMargin = 10 * time.Millisecond
	// forgetAfter is how long a node that reports nothing is remembered.
	forgetAfter = 10 * time.Second
	// fullShare is the whole of a limit.
	fullShare = 1.0
)

// Granter grants the tokens of the tenants whose shards this node owns. It is not safe for concurrent use. Times are
// readings of this host's boot-time clock.
type Granter struct {
	bounds      quota.Bounds
	terms       quota.Terms
	incarnation uint64
	lastStamp   uint64
	stoppedAt   time.Duration // when the grants began to have the last term
	stopping    bool
	released    bool
	shards      [quota.Shards]shard
	counts      Counts
}

// Counts are totals since the start of the process.
type Counts struct {
	Granted  uint64 // tokens granted
	Reported uint64 // tokens that were used, given up or lost, by the reports of the nodes
	Expired  uint64 // tokens that expired without a report
}

// New returns the granter of a process; incarnation grows with each start of it.
func New(b quota.Bounds, incarnation uint64) *Granter {
	g := &Granter{bounds: b, terms: b.Terms(), incarnation: incarnation}
	for i := range g.shards {
		g.shards[i] = shard{lenders: map[string]*lender{}, buckets: map[quota.ID]*bucket{}}
	}
	return g
}

// lender is a node that reports; its share is in use until end.
type lender struct {
	incarnation uint64
	stamp       uint64 // of its last report
	seenAt      time.Duration
	share       float64
	end         time.Duration
}

// shard holds the tenants of one group and the shares lent for them.
type shard struct {
	lenders     map[string]*lender
	buckets     map[quota.ID]*bucket
	at          time.Duration // until when filled is known
	filled      float64       // integral of the shares over time, in seconds of a whole limit
	total       float64       // sum of the shares in use at the time at
	earliestEnd time.Duration // no share ends before
	sweptAt     time.Duration
}

// SetLimits replaces the limits. A lower one takes effect at once, but for tokens that are granted already.
func (g *Granter) SetLimits(ls []quota.Limit, now time.Duration) {
	known := map[quota.ID]bool{}
	for _, l := range ls {
		id, n := quota.Identify(l.Name)
		s := &g.shards[n]
		g.advance(s, now)
		known[id] = true
		b := s.buckets[id]
		if b == nil {
			b = &bucket{nodes: map[string]*node{}, filled: s.filled}
			s.buckets[id] = b
		}
		b.advance(s.filled, s.total, now)
		b.rate, b.stock, b.returns = l.Rate, g.bounds.Stock(l), g.bounds.Returns(l)
	}
	for i := range g.shards {
		for id := range g.shards[i].buckets {
			if !known[id] {
				delete(g.shards[i].buckets, id)
			}
		}
	}
}

// Counts returns the totals.
func (g *Granter) Counts() Counts { return g.counts }

// Share returns the sum of the shares that this node uses for a shard, at most 1.
func (g *Granter) Share(n uint8, now time.Duration) float64 {
	g.advance(&g.shards[n], now)
	return g.shards[n].total
}

// term returns the term of the tokens in milliseconds if it is not the usual one. After a release it is that of the tokens
// that may still be used.
func (g *Granter) term(now time.Duration) uint32 {
	if !g.stopping || g.released && now-g.stoppedAt < g.terms.Token+expiryMargin {
		return 0
	}
	return uint32(g.terms.Last.Milliseconds())
}

// Stop shortens the terms of tokens, as this owner stops soon. The shares are then free sooner after Release.
func (g *Granter) Stop(now time.Duration) {
	if !g.stopping {
		g.stopping, g.stoppedAt = true, now
	}
}

// Release ends the use of all shares for good and returns what to tell the nodes that lent them.
func (g *Granter) Release(now time.Duration) map[string][]*quota.Grant {
	g.released = true
	out := map[string][]*quota.Grant{}
	for i := range g.shards {
		s := &g.shards[i]
		g.advance(s, now)
		for address, l := range s.lenders {
			if l.end > now {
				out[address] = append(out[address], g.newGrant(uint8(i), l, now))
			}
			l.share, l.end = 0, 0
		}
		g.recount(s, now)
	}
	return out
}

func (g *Granter) newGrant(n uint8, l *lender, now time.Duration) *quota.Grant {
	g.lastStamp = max(g.lastStamp+1, uint64(now/time.Microsecond))
	return &quota.Grant{
		Shard: n, Incarnation: g.incarnation, Stamp: g.lastStamp, Reporter: l.incarnation, Echo: l.stamp, Released: g.released, Term: g.term(now),
	}
}

// Handle applies a report of the node at address from and returns the response, or nil if the report is outdated or this
// node has no limits in the shard.
func (g *Granter) Handle(from string, r *quota.Report, now time.Duration) *quota.Grant {
	if r.Shard >= quota.Shards || len(g.shards[r.Shard].buckets) == 0 {
		return nil
	}
	s := &g.shards[r.Shard]
	g.advance(s, now)
	l := s.lenders[from]
	switch {
	case l == nil:
		l = &lender{}
		s.lenders[from] = l
	case r.Incarnation < l.incarnation || r.Incarnation == l.incarnation && r.Stamp <= l.stamp:
		return nil
	case r.Incarnation > l.incarnation:
		// The process that held the tokens has ended.
		for _, b := range s.buckets {
			b.advance(s.filled, s.total, now)
			if n := b.nodes[from]; n != nil {
				b.outstanding -= float64(n.outstanding())
				delete(b.nodes, from)
			}
		}
	}
	l.incarnation, l.stamp, l.seenAt = r.Incarnation, r.Stamp, now
	g.lend(s, l, r, now)
	answer := g.newGrant(r.Shard, l, now)
	for _, need := range r.Needs {
		b := s.buckets[need.ID]
		if b == nil {
			continue
		}
		b.advance(s.filled, s.total, now)
		g.counts.Expired += b.refresh(now)
		n := b.nodes[from]
		if n == nil {
			n = &node{accruedAt: now}
			b.nodes[from] = n
		}
		echo := r.Echo
		if r.OwnerIncarnation != g.incarnation {
			echo = 0
		}
		g.counts.Reported += b.settle(n, need, echo, now)
		gift := b.grant(n, need, now)
		if gift.Tokens > 0 {
			n.pending = append(n.pending, batch{stamp: answer.Stamp, tokens: gift.Tokens})
			g.counts.Granted += uint64(gift.Tokens)
		}
		if gift.Renewed = b.renewable(); gift.Renewed {
			n.expiry = now + g.terms.Token + expiryMargin
		}
		if gift.Tokens > 0 || gift.Wait > 0 || need.Held > 0 {
			answer.Gifts = append(answer.Gifts, gift)
		}
	}
	g.sweep(s, now)
	return answer
}

// lend sets the share of a lender from its report.
func (g *Granter) lend(s *shard, l *lender, r *quota.Report, now time.Duration) {
	share, end := 0.0, time.Duration(0)
	if r.Lent > 0 && r.OwnerIncarnation == g.incarnation && r.Echo > 0 && r.Echo <= g.lastStamp && !g.released {
		share, end = 1/float64(r.Lent), time.Duration(r.Echo)*time.Microsecond+g.terms.Share-g.terms.Token
	}
	if end <= now {
		share, end = 0, 0
	}
	if l.share == 0 {
		// The rate of a share that nobody has used since its node started has not been spent.
		s.filled += share * (time.Duration(r.Idle) * time.Millisecond).Seconds()
	}
	changed := share != l.share
	l.share, l.end = share, end
	if changed {
		g.recount(s, now)
	} else if end > 0 {
		s.earliestEnd = min(s.earliestEnd, end)
	}
}

// advance extends the integral of the shares until now.
func (g *Granter) advance(s *shard, now time.Duration) {
	for s.at < now {
		next := now
		if s.earliestEnd > s.at && s.earliestEnd < now {
			next = s.earliestEnd
		}
		if s.earliestEnd > s.at {
			s.filled += s.total * (next - s.at).Seconds()
		}
		s.at = next
		if s.earliestEnd <= next {
			g.recount(s, next)
			if s.total == 0 {
				s.at = now
			}
		}
	}
}

// recount sums the shares in use at a time.
func (g *Granter) recount(s *shard, at time.Duration) {
	s.total, s.earliestEnd = 0, math.MaxInt64
	for _, l := range s.lenders {
		if l.end > at {
			s.total += l.share
			s.earliestEnd = min(s.earliestEnd, l.end)
		} else {
			l.share, l.end = 0, 0
		}
	}
	// More than the whole is lent while nodes that start do not know the number of all nodes.
	s.total = min(s.total, fullShare)
}

// sweep fills all buckets of the shard and forgets nodes that no longer report.
func (g *Granter) sweep(s *shard, now time.Duration) {
	if now-s.sweptAt < g.terms.Interval {
		return
	}
	s.sweptAt = now
	for _, b := range s.buckets {
		b.advance(s.filled, s.total, now)
		g.counts.Expired += b.expire(now)
		for address, n := range b.nodes {
			if now-n.seenAt > forgetAfter && n.outstanding() == 0 {
				delete(b.nodes, address)
			}
		}
	}
	for address, l := range s.lenders {
		if now-l.seenAt > forgetAfter && l.end <= now {
			delete(s.lenders, address)
		}
	}
}
