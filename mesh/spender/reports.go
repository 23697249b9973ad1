package spender

import (
	"cmp"
	"math"
	"time"

	"wisteriaspoke.example/mesh/quota"
)

// Outgoing is a report and the node that it is for.
type Outgoing struct {
	Owner  string
	Report *quota.Report
}

// Due returns the reports that are due.
func (s *Spender) Due(now time.Duration) []Outgoing {
	as := s.accounts.Load()
	if len(as.byName) == 0 {
		return nil
	}
	var out []Outgoing
	for i := range s.loans {
		l := &s.loans[i]
		for _, r := range l.relations() {
			if r.owner.address != "" && due(l, r, as.byShard[i], now) <= now {
				if q := s.report(uint8(i), r, as.byShard[i], now); q != nil {
					out = append(out, Outgoing{Owner: r.owner.address, Report: q})
				}
			}
		}
	}
	return out
}

// NextDue returns when the next report is due if nothing happens until then.
func (s *Spender) NextDue(now time.Duration) time.Duration {
	as := s.accounts.Load()
	next := now + s.terms.Interval
	for i := range s.loans {
		l := &s.loans[i]
		if len(as.byShard[i]) == 0 {
			continue
		}
		for _, r := range l.relations() {
			next = min(next, due(l, r, as.byShard[i], now))
		}
	}
	return next
}

// due returns when the next report of a shard to an owner is due.
func due(l *loan, r *relation, as []*Account, now time.Duration) time.Duration {
	at := r.dueAt
	if r != l.asked(now) {
		return at
	}
	for _, a := range as {
		switch {
		case a.urgent.Load() && (r.answered || !r.reported):
			at = min(at, r.reportedAt+coalesceFor)
		case a.urgent.Load():
			at = min(at, r.reportedAt+unansweredPause)
		case a.low.Load():
			at = min(at, max(r.reportedAt+lowInterval, time.Duration(a.emptyTill.Load())))
		}
	}
	return at
}

func (s *Spender) stamp(now time.Duration) uint64 {
	s.lastStamp = max(s.lastStamp+1, uint64(now/time.Microsecond))
	return s.lastStamp
}

// report makes a shard's report to an owner, or returns nil if no tenant is in the shard.
func (s *Spender) report(n uint8, r *relation, as []*Account, now time.Duration) *quota.Report {
	if len(as) == 0 {
		return nil
	}
	l := &s.loans[n]
	q := &quota.Report{
		Shard: n, Incarnation: s.incarnation, Stamp: s.stamp(now), OwnerIncarnation: r.owner.incarnation, Echo: r.echo,
		NodeCount: uint32(s.members.Known(now)),
	}
	if r == l.asked(now) {
		for _, a := range as {
			if need, needed := s.need(a, r, now); needed {
				q.Needs = append(q.Needs, need)
			}
		}
	}
	r.dueAt = now + s.terms.Interval
	switch count := s.members.Count(now); {
	case !l.holds(r):
		if l.withdrawn {
			l.withdrawal = cmp.Or(l.withdrawal, q.Stamp)
		}
	case l.withdrawn && l.lent && !l.moved:
		// The former owner has not confirmed the withdrawal yet.
	case now < l.freeAt:
		r.dueAt = min(r.dueAt, l.freeAt)
	case count > 0 && r.echo > 0:
		q.Lent = uint32(count)
		if s.together && !l.used {
			q.Idle = uint32((now - s.startedAt).Milliseconds())
		}
		l.lent, l.lentAt, l.used, l.moved = true, now, true, r == l.next
	}
	r.reported, r.reportedAt, r.answered = true, now, false
	return q
}

// need returns what the report says about one tenant, and whether it has to.
func (s *Spender) need(a *Account, r *relation, now time.Duration) (quota.Need, bool) {
	a.urgent.Store(false)
	a.low.Store(false)
	waiting := a.waiting()
	a.measure(now)
	if waiting > 0 {
		a.arrived, a.arrivedAt = true, now
	}
	want := 0
	if a.arrived && now-a.arrivedAt < reserveFor {
		want = s.stockpile(a, now) + waiting
	}
	need := quota.Need{
		ID: a.id, Waiting: uint32(waiting), Want: uint32(want), Rate: uint32(a.rate * 1000), Returned: uint32(a.returned.Swap(0)),
	}
	if int64(now) >= a.expiry.Load() {
		s.expired += a.drop()
	}
	if a.owner == r.owner {
		unused, held := a.giveUp(int64(want))
		need.Unused, need.Held = uint32(unused), uint32(held)
	}
	return need, want > 0 || need.Held > 0 || need.Unused > 0 || need.Returned > 0
}

// stockpile returns how many tokens the node holds for requests that have not arrived: for its demand until the next grant,
// and a reserve if the stock is large enough for one at each node.
func (s *Spender) stockpile(a *Account, now time.Duration) int {
	expected := a.rate * (s.terms.Interval + roundTrip).Seconds()
	if reservedPart*s.bounds.Stock(*a.limit.Load()) < float64(reserve*s.members.Count(now)) {
		return int(expected)
	}
	return int(math.Ceil(expected)) + reserve
}

// measure updates the rate at which requests arrive.
func (a *Account) measure(now time.Duration) {
	total := a.arrivals.Load()
	passed := now - a.seenAt
	if passed <= 0 {
		return
	}
	fresh := total - a.arrivalsSeen
	if fresh > 0 {
		a.arrived, a.arrivedAt = true, now
	}
	a.rate += (float64(fresh)/passed.Seconds() - a.rate) * (1 - math.Exp(-passed.Seconds()/rateMemory.Seconds()))
	a.arrivalsSeen, a.seenAt = total, now
}
