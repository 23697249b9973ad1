package judge

import "math"

// sequentialTest compares one property of the new version, failures or slow calls, with the old version's.
type sequentialTest struct {
	ratio     float64 // a bad version's rate divided by the old version's
	tolerated float64 // added to the old version's rate before the comparison

	// cusum is the sum of log-likelihood ratios against the new version, never below zero (Page's CUSUM), so that a
	// version that fails late is found as fast as one that fails at once.
	cusum float64
	// stepLLR is the sum of log-likelihood ratios since the step began; the lower, the better the new version.
	stepLLR float64
	// cusumCounts holds the counts since cusum was last zero.
	cusumCounts versionCounts
	stepCalls   float64 // calls of the new version since the step began
}

// concurrentLLR returns the log-likelihood ratio of concurrent counts, given the sum of both versions' hits.
func (t *sequentialTest) concurrentLLR(c versionCounts) float64 {
	if c.newCalls == 0 || c.oldCalls == 0 {
		return 0
	}
	total := c.newCalls + c.oldCalls
	weightedRatio := (t.ratio*c.newCalls + c.oldCalls) / total
	return c.newHits*math.Log(t.ratio/weightedRatio) - (c.oldHits+t.tolerated*c.oldCalls)*math.Log(weightedRatio)
}

// baselineLLR returns the log-likelihood ratio of the new version's counts, given the old version's rate.
func (t *sequentialTest) baselineLLR(c versionCounts, rate float64) float64 {
	expected := c.newCalls * (rate + t.tolerated)
	return c.newHits*math.Log(t.ratio) - expected*(t.ratio-1)
}

// add adds the log-likelihood ratio of one window; it counts in favour of the new version only if trusted.
func (t *sequentialTest) add(llr float64, c versionCounts, trusted bool) {
	t.cusumCounts = t.cusumCounts.add(c)
	t.cusum += llr
	if t.cusum <= 0 {
		t.cusum = 0
		t.cusumCounts = versionCounts{}
	}
	if trusted || llr > 0 {
		t.stepLLR += llr
	}
	t.stepCalls += c.newCalls
}

// startStep restarts the sum of the step for the next share; cusum is kept.
func (t *sequentialTest) startStep() { t.stepLLR, t.stepCalls = 0, 0 }

// callsNeeded estimates the calls of the new version until stepLLR falls to -limit.
func (t *sequentialTest) callsNeeded(limit float64, newShare float64) uint64 {
	missing := t.stepLLR + limit
	if missing <= 0 {
		return 0
	}
	perCall := t.llrPerCall(newShare)
	if t.stepCalls >= minCalls && t.stepLLR < 0 {
		perCall = -t.stepLLR / t.stepCalls
	}
	return uint64(math.Ceil(missing / perCall))
}

// llrPerCall returns the evidence in favour of the new version from one of its calls without a hit, at its share of
// calls.
func (t *sequentialTest) llrPerCall(newShare float64) float64 {
	newShare = min(max(newShare, 0.001), 0.999)
	return -t.concurrentLLR(versionCounts{newCalls: 1, oldCalls: (1 - newShare) / newShare})
}
