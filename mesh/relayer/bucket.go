package relayer

import "time"

// bucket is a token bucket on the machine's clock.
type bucket struct {
	rate  float64 // tokens per second
	burst float64
	level float64
	last  time.Time
}

func newBucket(rate, burst float64) bucket { return bucket{rate: rate, burst: burst, level: burst} }

// take uses one token if more than reserve are left.
func (b *bucket) take(now time.Time, reserve float64) bool {
	if !b.last.IsZero() {
		b.level = min(b.burst, b.level+b.rate*now.Sub(b.last).Seconds())
	}
	b.last = now
	if b.level < reserve+1 {
		return false
	}
	b.level--
	return true
}

// widen changes the rate and fills the bucket up to the new burst.
func (b *bucket) widen(rate, burst float64) {
	b.level = max(0, b.level+burst-b.burst)
	b.rate, b.burst = rate, burst
}
