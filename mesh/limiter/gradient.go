package limiter

import (
	"math"
	"time"
)

const (
	// windowCalls is the number of completed calls after which the limit is adapted.
	windowCalls = 32
	// latencyTolerance is the ratio of mean to best latency up to which the limit does not shrink, as calls differ.
	latencyTolerance = 2
	// bestDriftDivisor sets how fast the best latency grows: by 1/bestDriftDivisor in each window. The limit thus adapts
	// to a service that has become slower permanently, after about 70 windows per doubling.
	bestDriftDivisor = 100
	// minFactorPerMille is the smallest factor that one window applies to the limit.
	minFactorPerMille = 250
)

// gradient is the limit of concurrent calls and the best latency that it is derived from.
type gradient struct {
	limit    int
	bestMean time.Duration // lowest mean latency of a window; zero if there was none
}

// next returns the gradient after a window with the given mean latency and peak concurrency.
//
// A window that did not reach half of the limit does not shrink it, as its latency says nothing about the limit.
func (g gradient) next(mean time.Duration, peak, slots int) gradient {
	mean = max(1, mean) // a bestMean of zero means that there is none yet
	best := g.bestMean + g.bestMean/bestDriftDivisor
	if g.bestMean == 0 || mean < best {
		best = mean
	}
	next := gradient{limit: g.limit, bestMean: best}
	factorPerMille := int(1000 * latencyTolerance * best / mean)
	if factorPerMille < 1000 && 2*peak < g.limit {
		return next
	}
	factorPerMille = min(1000, max(minFactorPerMille, factorPerMille))
	// The square root is headroom: if the latency is high for another reason than load, the limit settles above
	// 1 instead of shrinking in each window.
	next.limit = g.limit*factorPerMille/1000 + int(math.Sqrt(float64(g.limit)))
	next.limit = min(slots, max(1, next.limit))
	return next
}
