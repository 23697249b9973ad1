package postponer

import "time"

const (
	// soonest is the shortest time after which a caller returns. A shorter one would not change what it finds.
	soonest = 20 * time.Millisecond
	// spread is the time over which callers return that were refused at the same moment without a known wait.
	spread = 150 * time.Millisecond
	// lateSoonest is the shortest time after which a caller returns that has missed its latency objective, as it gets no slot
	// before those that can still meet theirs.
	lateSoonest = 250 * time.Millisecond
)

// Refusal is what is known of a request that was refused before it ran.
type Refusal struct {
	Wait  time.Duration // expected wait for capacity, or 0 if it is not known or capacity was not the reason
	Start time.Duration // time until the latest start that meets the latency objective; may be negative
}

// RetryAfter returns the time after which the caller should return; random is in [0, 1). A caller that can still be answered
// within its objective returns in time for that. The times of different callers are spread, so that those that were refused
// together don't meet again.
func (r Refusal) RetryAfter(random float64) time.Duration {
	first := max(r.Wait, soonest)
	last := max(2*first, first+spread)
	if first < r.Start {
		// The rest of the time is for a further attempt.
		last = min(last, (first+r.Start)/2)
	} else {
		first = max(r.Wait, lateSoonest)
		last = 2 * first
	}
	return first + time.Duration(random*float64(last-first))
}
