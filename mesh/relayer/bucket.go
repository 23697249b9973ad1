package relayer

import "time"

// bucket is a token bucket that uses the machine's clock.
type bucket struct {
	tokensPerSecond float64
	burst           float64
	tokens          float64
	filledAt        time.Time
}

func newBucket(tokensPerSecond, burst float64) bucket {
	return bucket{tokensPerSecond: tokensPerSecond, burst: burst, tokens: burst}
}

// take removes one token if at least reserve tokens remain afterwards, and reports whether it did.
func (b *bucket) take(now time.Time, reserve float64) bool {
	if !b.filledAt.IsZero() {
		b.tokens = min(b.burst, b.tokens+b.tokensPerSecond*now.Sub(b.filledAt).Seconds())
	}
	b.filledAt = now
	if b.tokens < reserve+1 {
		return false
	}
	b.tokens--
	return true
}

// setLimits changes the rate and the burst, and adds the difference of the bursts to the tokens.
func (b *bucket) setLimits(tokensPerSecond, burst float64) {
	b.tokens = max(0, b.tokens+burst-b.burst)
	b.tokensPerSecond, b.burst = tokensPerSecond, burst
}
