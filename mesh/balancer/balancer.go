package balancer

import (
	"slices"
	"time"

	"wisteriaspoke.example/mesh/share"
	"wisteriaspoke.example/mesh/snapshot"
)

const (
	// randomTries and linearProbes bound the endpoints examined per candidate, first at random and then consecutively, so
	// that the cost does not grow with the size of a tier. A tier in which half of the endpoints are busy, spread at
	// random, is wrongly found to have none in 1 of 4,096 cases.
	randomTries  = 4
	linearProbes = 8
	// warmup is the time over which a new endpoint's weight grows to the full weight.
	warmup = 10 * time.Second
	// minWeightPerMille is the lowest weight of a new endpoint, as it must receive some calls to warm up.
	minWeightPerMille = 100
)

// requirements are the conditions that an endpoint must meet; they are relaxed step by step until one is found.
type requirements struct {
	freeCapacity bool
	notInBackoff bool // has not refused a call just before
	notEjected   bool
}

// Pick returns the endpoint for one attempt, or nil if the service has none that is not excluded.
//
// random(n) returns a number in [0, n). Pick draws the version by its share, then selects the nearest tier with free
// capacity, and in it the less loaded of two random candidates. It does not change anything and does not allocate.
func Pick(
	s *snapshot.Snapshot, service string, random func(int) int, now time.Time, exclude []*snapshot.Member,
) *snapshot.Member {
	o := s.Pool(service)
	if o == nil {
		return nil
	}
	if c := o.Candidate(); c != nil && random(share.FullPermille) < o.CandidatePermille() {
		if m := pick(c, random, now, exclude); m != nil {
			return m
		}
	}
	// Calls of the stable version never fall back to the candidate: its share limits the effect of a bad version.
	return pick(o.Stable(), random, now, exclude)
}

func pick(
	v *snapshot.VersionEndpoints, random func(int) int, now time.Time, exclude []*snapshot.Member,
) *snapshot.Member {
	for _, r := range [...]requirements{
		{freeCapacity: true, notInBackoff: true, notEjected: true}, {notInBackoff: true, notEjected: true},
		{notEjected: true}, {},
	} {
		for t := range snapshot.TierCount {
			if m := pickOfTwo(v.Ready(t), r, random, now, exclude); m != nil {
				return m
			}
		}
	}
	for _, r := range [...]requirements{{notEjected: true}, {}} {
		for t := range snapshot.TierCount {
			if m := pickOfTwo(v.Suspect(t), r, random, now, exclude); m != nil {
				return m
			}
		}
	}
	return nil
}

// pickOfTwo draws two candidates and returns the one with the lower load.
func pickOfTwo(
	ms []*snapshot.Member, r requirements, random func(int) int, now time.Time, exclude []*snapshot.Member,
) *snapshot.Member {
	if len(ms) == 0 {
		return nil
	}
	a := draw(ms, nil, r, random, now, exclude)
	if a == nil || len(ms) == 1 {
		return a
	}
	b := draw(ms, a, r, random, now, exclude)
	if b == nil || !lessLoaded(b, a, now) {
		return a
	}
	return b
}

// draw returns a random endpoint that meets the requirements, or nil. One that is still warming up is skipped with a
// probability that falls with its age, but is returned if no other is found.
//
// Random positions are tried first: scanning on from one position would send more calls to the neighbours of unusable
// endpoints. The scan of consecutive positions that follows finds the only usable endpoint of a small tier.
func draw(
	ms []*snapshot.Member, other *snapshot.Member, r requirements, random func(int) int, now time.Time,
	exclude []*snapshot.Member,
) *snapshot.Member {
	var cold *snapshot.Member
	start := 0
	for i := range randomTries + min(linearProbes, len(ms)) {
		if i <= randomTries {
			start = random(len(ms))
		}
		m := ms[(start+max(0, i-randomTries))%len(ms)]
		if m == other || !r.allow(m, now) || slices.Contains(exclude, m) {
			continue
		}
		w := weightPerMille(m, now)
		if w >= share.FullPermille || random(share.FullPermille) < w {
			return m
		}
		if cold == nil {
			cold = m
		}
	}
	if other != nil {
		// A second candidate is optional, so a skipped cold endpoint is not used as one.
		return nil
	}
	return cold
}

func (r requirements) allow(m *snapshot.Member, now time.Time) bool {
	c := m.Counters()
	switch {
	case c.Leaving(now), r.notEjected && c.Ejected(now), r.notInBackoff && c.InBackoff(now):
		return false
	}
	return !r.freeCapacity || c.Outstanding() < capacity(m, now)
}

// capacity returns how many calls the endpoint accepts at once: its announced slots or a lower reported limit, scaled
// down while it warms up.
func capacity(m *snapshot.Member, now time.Time) int {
	slots := m.Slots()
	if _, reported := m.Counters().ReportedLoad(now); reported > 0 {
		slots = min(slots, reported)
	}
	return max(1, slots*weightPerMille(m, now)/share.FullPermille)
}

// weightPerMille returns the weight of an endpoint by its age. One whose joining time is in the future, as its clock is
// ahead, counts as just joined.
func weightPerMille(m *snapshot.Member, now time.Time) int {
	age := now.Sub(m.Endpoint().Joined())
	if age >= warmup {
		return share.FullPermille
	}
	return max(minWeightPerMille, int(age*share.FullPermille/warmup))
}

// lessLoaded reports whether a has a lower load than b. The outstanding calls of this node decide; the reported load,
// which lags, only breaks ties.
func lessLoaded(a, b *snapshot.Member, now time.Time) bool {
	difference := a.Counters().Outstanding()*b.Slots() - b.Counters().Outstanding()*a.Slots()
	if difference != 0 {
		return difference < 0
	}
	loadA, slotsA := a.Counters().ReportedLoad(now)
	loadB, slotsB := b.Counters().ReportedLoad(now)
	if slotsA == 0 || slotsB == 0 {
		return false
	}
	return loadA*slotsB < loadB*slotsA
}
