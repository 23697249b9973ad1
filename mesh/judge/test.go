package judge

import "math"

// test is one sequential test of new against old.
type test struct {
	ratio     float64 // rate of a bad version over the old one's
	tolerated float64 // rate added to the old one's before they are compared

	// alarm is the sum against the new version, never below zero (Page's CUSUM), so that a version that fails late is
	// found as fast as one that fails at once.
	alarm float64
	// trust is the sum in favour of the new version since the step began.
	trust float64
	// since holds the counts since alarm was last zero.
	since tally
	calls float64 // calls of the new version since the step began
}

// concurrent returns the log-likelihood ratio of the counts, given the sum of both versions' hits.
func (t *test) concurrent(c tally) float64 {
	if c.newCalls == 0 || c.oldCalls == 0 {
		return 0
	}
	whole := c.newCalls + c.oldCalls
	spread := (t.ratio*c.newCalls + c.oldCalls) / whole
	return c.newHits*math.Log(t.ratio/spread) - (c.oldHits+t.tolerated*c.oldCalls)*math.Log(spread)
}

// against returns the log-likelihood ratio of the new version's counts against a known old rate.
func (t *test) against(c tally, rate float64) float64 {
	expected := c.newCalls * (rate + t.tolerated)
	return c.newHits*math.Log(t.ratio) - expected*(t.ratio-1)
}

// add takes the log-likelihood ratio of one window; trusted says whether it may count in favour of the new version.
func (t *test) add(llr float64, c tally, trusted bool) {
	t.since = t.since.plus(c)
	t.alarm += llr
	if t.alarm <= 0 {
		t.alarm = 0
		t.since = tally{}
	}
	if trusted || llr > 0 {
		t.trust += llr
	}
	t.calls += c.newCalls
}

// step starts the evidence for the next share; the alarm stays.
func (t *test) step() { t.trust, t.calls = 0, 0 }

// needed estimates the calls of the new version until trust reaches the limit.
func (t *test) needed(limit float64, newShare float64) uint64 {
	missing := t.trust + limit
	if missing <= 0 {
		return 0
	}
	per := t.perCall(newShare)
	if t.calls >= leastCalls && t.trust < 0 {
		per = -t.trust / t.calls
	}
	return uint64(math.Ceil(missing / per))
}

// perCall returns the evidence that one call without a hit gives when the new version has the share of calls.
func (t *test) perCall(newShare float64) float64 {
	newShare = min(max(newShare, 0.001), 0.999)
	return -t.concurrent(tally{newCalls: 1, oldCalls: (1 - newShare) / newShare})
}
