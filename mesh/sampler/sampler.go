package sampler

import "time"

const (
	// Groups is the number of groups of candidates, nearest first.
	Groups = 4
	// maxSample bounds the candidates that are sampled of one group.
	maxSample = 8
	// Nobody is the index of a candidate that does not exist.
	Nobody = -1
)

// candidate is a member of a sample.
type candidate struct {
	index int
	score time.Duration
}

// Sampler draws in two steps, after KnBest - A Balanced Request Allocation Method for Distributed Information Systems:
// some candidates of each group at random, and of the best of these one at random. It is made for one draw and is not
// safe for concurrent use.
type Sampler struct {
	Sizes  [Groups]int   // candidates that are sampled of each group, at most 8
	Best   int           // candidates with the lowest scores of which one is drawn
	Near   time.Duration // largest difference from the lowest score at which a candidate is drawn
	Random func(int) int // Random(n) returns a number in [0, n)

	sample  [Groups][maxSample]candidate
	healthy [Groups]int // offered so far
	faulty  [Groups]int
}

// Offer adds a candidate with its place in the caller's list. Candidates that are not healthy are sampled only in groups
// without healthy ones.
func (s *Sampler) Offer(group, index int, healthy bool, score time.Duration) {
	seen := &s.faulty[group]
	switch {
	case healthy:
		seen = &s.healthy[group]
	case s.healthy[group] > 0:
		return
	}
	size := min(s.Sizes[group], maxSample)
	place := *seen
	*seen++
	if place >= size {
		// Reservoir sampling: the candidate takes the place of another with the probability that its own is in the sample.
		if place = s.Random(*seen); place >= size {
			return
		}
	}
	s.sample[group][place] = candidate{index, score}
}

// count returns the size of the group's sample.
func (s *Sampler) count(group int) int {
	if n := s.healthy[group]; n > 0 {
		return min(n, s.Sizes[group], maxSample)
	}
	return min(s.faulty[group], s.Sizes[group], maxSample)
}

// Draw returns the index of the drawn candidate, and of the best other one of the sample, or Nobody. One that is not best
// is drawn only if its group is that of the best one or a nearer one.
func (s *Sampler) Draw() (drawn, other int) {
	var best [maxSample]candidate // in order of their scores
	var groups [maxSample]int
	limit, n := max(2, min(s.Best+1, maxSample)), 0
	for group := range Groups {
		count := s.count(group)
		if count == 0 {
			continue
		}
		// Of equal scores the first counts as the lowest, so the order must not depend on the place in the caller's list.
		first := s.Random(count)
		for k := range count {
			c := s.sample[group][(first+k)%count]
			i := n
			for i > 0 && best[i-1].score > c.score {
				i--
			}
			if i == limit {
				continue
			}
			n = min(n+1, limit)
			copy(best[i+1:n], best[i:n-1])
			copy(groups[i+1:n], groups[i:n-1])
			best[i], groups[i] = c, group
		}
	}
	if n == 0 {
		return Nobody, Nobody
	}
	var eligible [maxSample]int
	eligibleCount := 0
	for i := range min(n, s.Best) {
		if i == 0 || groups[i] <= groups[0] && best[i].score-best[0].score <= s.Near {
			eligible[eligibleCount] = i
			eligibleCount++
		}
	}
	chosen := 0
	if eligibleCount > 1 {
		chosen = eligible[s.Random(eligibleCount)]
	}
	switch {
	case n == 1:
		return best[0].index, Nobody
	case chosen == 0:
		return best[0].index, best[1].index
	}
	return best[chosen].index, best[0].index
}
