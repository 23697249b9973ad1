package limiter

import (
	"math"
	"time"
)

const (
	// window is the number of ended calls after which the limit is adapted.
	window = 32
	// tolerance is the growth of latency over the best that does not shrink the limit, as calls differ.
	tolerance = 2
	// drift is the divisor by which the best latency grows in each window. A service that has become slower for
	// good is believed after about 70 windows per doubling.
	drift = 100
	// steepest bounds how much one window shrinks the limit, in thousandths.
	steepest = 250
)

// gradient is the limit of concurrent calls and what it was derived from.
type gradient struct {
	limit int
	best  time.Duration // lowest mean latency of a window; zero if there was none
}

// next returns the gradient after a window with the mean latency and the highest concurrency seen in it.
//
// Latency of a window that did not use the limit says nothing about it, so such a window does not shrink it.
func (g gradient) next(mean time.Duration, peak, slots int) gradient {
	mean = max(1, mean) // a best of zero stands for none
	best := g.best + g.best/drift
	if g.best == 0 || mean < best {
		best = mean
	}
	n := gradient{limit: g.limit, best: best}
	permille := int(1000 * tolerance * best / mean)
	if permille < 1000 && 2*peak < g.limit {
		return n
	}
	permille = min(1000, max(steepest, permille))
	// The square root is headroom: at a latency that is slow for another reason than load, the limit settles above
	// the lowest instead of shrinking in each window.
	n.limit = g.limit*permille/1000 + int(math.Sqrt(float64(g.limit)))
	n.limit = min(slots, max(1, n.limit))
	return n
}
