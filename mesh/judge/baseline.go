package judge

import "wisteriaspoke.example/mesh/outcome"

const (
	// windowDecay multiplies the weight of earlier windows at each new one. The weight halves in about 35 s at two windows
	// a second, long enough for a stable p95 and short enough to follow changes of load.
	windowDecay = 0.99
	// minBaselineCalls is the minimum number of calls for an estimate of the p95; with fewer, the tail above it has fewer
	// than five calls.
	minBaselineCalls = 100
	slowShare        = 0.05 // share of the old version's calls above its p95
	// maxFastBucket is the highest bucket whose calls never count as slow: 8 ms. On a busy host calls that need less than
	// a millisecond take a few milliseconds, most of all on the version whose share has just grown; a good version was
	// taken back because of this.
	maxFastBucket = 3
)

// baseline holds decaying counts of the old version's recent calls in one stratum.
type baseline struct {
	calls, failures float64
	latency         [outcome.Buckets]float64
}

func (b *baseline) add(o outcome.Outcome) {
	if o.Calls() == 0 {
		return // keep the last known rates while the new version has all calls
	}
	b.calls = b.calls*windowDecay + float64(o.Calls())
	b.failures = b.failures*windowDecay + failed(o)
	for i, n := range o.LatencyHistogram() {
		b.latency[i] = b.latency[i]*windowDecay + float64(n)
	}
}

// limit returns the bucket that holds the old version's p95, at least maxFastBucket, and the share of its calls above
// that bucket.
func (b *baseline) limit() (bucket int, shareAbove float64, ok bool) {
	total := 0.0
	for _, n := range b.latency {
		total += n
	}
	if total < minBaselineCalls {
		return 0, 0, false
	}
	tail := 0.0
	for i := len(b.latency) - 1; i > maxFastBucket; i-- {
		if tail+b.latency[i] > slowShare*total {
			return i, tail / total, true
		}
		tail += b.latency[i]
	}
	return maxFastBucket, tail / total, true
}
