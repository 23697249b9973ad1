package judge

import "wisteriaspoke.example/mesh/outcome"

const (
	// decay is the weight that a window loses with each later one: half after about 35 s at two windows a second, long
	// enough for a stable p95 and short enough to follow the hour's load.
	decay = 0.99
	// baselineCalls is the least number of old calls from which a p95 is taken; below it the tail is one call in five.
	baselineCalls = 100
	slowShare     = 0.05 // share of the old version's calls above its p95
	// slowFloor is the bucket up to which no call is slow: 8 ms. On a busy host calls of less than a millisecond take a
	// few, more so for the version whose share has just grown; a good version was taken back for it.
	slowFloor = 3
)

// baseline is the recent past of the old version in one stratum.
type baseline struct {
	calls, failures float64
	latency         [outcome.Buckets]float64
}

func (b *baseline) add(o outcome.Outcome) {
	if o.Calls() == 0 {
		return // keeps the last known rates while the new version has all calls
	}
	b.calls = b.calls*decay + float64(o.Calls())
	b.failures = b.failures*decay + failed(o)
	for i, n := range o.LatencyHistogram() {
		b.latency[i] = b.latency[i]*decay + float64(n)
	}
}

// limit returns the bucket that holds the old version's p95, or the floor if that is higher, and the share of its calls
// above that bucket.
func (b *baseline) limit() (bucket int, over float64, ok bool) {
	total := 0.0
	for _, n := range b.latency {
		total += n
	}
	if total < baselineCalls {
		return 0, 0, false
	}
	tail := 0.0
	for i := len(b.latency) - 1; i > slowFloor; i-- {
		if tail+b.latency[i] > slowShare*total {
			return i, tail / total, true
		}
		tail += b.latency[i]
	}
	return slowFloor, tail / total, true
}
