package balancer

import (
	"slices"
	"time"

	"wisteriaspoke.example/mesh/share"
	"wisteriaspoke.example/mesh/snapshot"
)

const (
	// tries and probes bound the endpoints looked at for one candidate, at random and in a row, so that the cost
	// does not grow with their number. A tier in which half of the endpoints are busy, spread at random, is given up
	// wrongly in 1 of 4,096 cases.
	tries  = 4
	probes = 8
	// warmup is the time over which a new endpoint's weight grows to that of the others.
	warmup = 10 * time.Second
	// coldest is the lowest weight of a new endpoint, in thousandths. It must get some calls to become warm.
	coldest = 100
)

// rules say which endpoints an attempt may use; they are relaxed step by step until one is found.
type rules struct {
	free    bool // has free capacity
	willing bool // has not just refused a call
	healthy bool // is not ejected
}

// Pick returns the endpoint for one attempt, or nil if the service has none that is not excluded.
//
// random(n) returns a number in [0, n). Pick draws the version by share, then takes the nearest tier with free
// capacity, and there the better of two candidates. It does not change anything and does not allocate.
func Pick(s *snapshot.Snapshot, service string, random func(int) int, now time.Time, exclude []*snapshot.Member) *snapshot.Member {
	o := s.Pool(service)
	if o == nil {
		return nil
	}
	if c := o.Candidate(); c != nil && random(share.FullPermille) < o.CandidatePermille() {
		if m := pick(c, random, now, exclude); m != nil {
			return m
		}
	}
	// The stable version's calls never go to the candidate, whose share bounds what a bad version can break.
	return pick(o.Stable(), random, now, exclude)
}

func pick(v *snapshot.VersionEndpoints, random func(int) int, now time.Time, exclude []*snapshot.Member) *snapshot.Member {
	for _, r := range [...]rules{{free: true, willing: true, healthy: true}, {willing: true, healthy: true}, {healthy: true}, {}} {
		for t := range snapshot.TierCount {
			if m := better(v.Ready(t), r, random, now, exclude); m != nil {
				return m
			}
		}
	}
	for _, r := range [...]rules{{healthy: true}, {}} {
		for t := range snapshot.TierCount {
			if m := better(v.Suspect(t), r, random, now, exclude); m != nil {
				return m
			}
		}
	}
	return nil
}

// better draws two candidates and returns the one with the lower load.
func better(ms []*snapshot.Member, r rules, random func(int) int, now time.Time, exclude []*snapshot.Member) *snapshot.Member {
	if len(ms) == 0 {
		return nil
	}
	a := draw(ms, nil, r, random, now, exclude)
	if a == nil || len(ms) == 1 {
		return a
	}
	b := draw(ms, a, r, random, now, exclude)
	if b == nil || !lighter(b, a, now) {
		return a
	}
	return b
}

// draw returns a random usable endpoint. A cold one is passed over with a probability that falls as it warms up, but
// is taken if no other is found.
//
// It tries random places first: going on from one place would give the neighbours of unusable endpoints more calls.
// Then it looks at places in a row, which finds the only usable endpoint of a small tier.
func draw(ms []*snapshot.Member, other *snapshot.Member, r rules, random func(int) int, now time.Time, exclude []*snapshot.Member) *snapshot.Member {
	var cold *snapshot.Member
	start := 0
	for i := range tries + min(probes, len(ms)) {
		if i <= tries {
			start = random(len(ms))
		}
		m := ms[(start+max(0, i-tries))%len(ms)]
		if m == other || !r.allow(m, now) || slices.Contains(exclude, m) {
			continue
		}
		w := weight(m, now)
		if w >= share.FullPermille || random(share.FullPermille) < w {
			return m
		}
		if cold == nil {
			cold = m
		}
	}
	if other != nil {
		// A second candidate is optional, so a passed-over cold endpoint does not become one.
		return nil
	}
	return cold
}

func (r rules) allow(m *snapshot.Member, now time.Time) bool {
	c := m.Counters()
	switch {
	case c.Leaving(now), r.healthy && c.Ejected(now), r.willing && c.InBackoff(now):
		return false
	}
	return !r.free || c.Outstanding() < capacity(m, now)
}

// capacity returns how many calls the endpoint takes at once: the limit that it reported, or else announced, scaled
// down while it is cold.
func capacity(m *snapshot.Member, now time.Time) int {
	slots := m.Slots()
	if _, reported := m.Counters().ReportedLoad(now); reported > 0 {
		slots = min(slots, reported)
	}
	return max(1, slots*weight(m, now)/share.FullPermille)
}

// weight returns the endpoint's weight in thousandths. A joining time in the future, from a clock that is ahead,
// counts as just joined.
func weight(m *snapshot.Member, now time.Time) int {
	age := now.Sub(m.Endpoint().Joined())
	if age >= warmup {
		return share.FullPermille
	}
	return max(coldest, int(age*share.FullPermille/warmup))
}

// lighter reports whether a has a lower load than b. This node's own calls decide; reported load, which lags, only
// breaks ties.
func lighter(a, b *snapshot.Member, now time.Time) bool {
	own := a.Counters().Outstanding()*b.Slots() - b.Counters().Outstanding()*a.Slots()
	if own != 0 {
		return own < 0
	}
	x, xs := a.Counters().ReportedLoad(now)
	y, ys := b.Counters().ReportedLoad(now)
	if xs == 0 || ys == 0 {
		return false
	}
	return x*ys < y*xs
}
