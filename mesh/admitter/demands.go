package admitter

import (
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// subscriptionInterval is the minimum time between two subscription requests for one name. Callers can send any host
// name, so the requests are rate limited.
const subscriptionInterval = time.Second

// subscriptionLimiter holds the times of the last subscription requests in a fixed table indexed by the name's hash;
// names with the same index share one interval.
type subscriptionLimiter struct {
	last [256]atomic.Int64 // Unix time in nanoseconds
}

// due reports whether a subscription request for the name may be sent now, and records it if so.
func (s *subscriptionLimiter) due(name string, now time.Time) bool {
	last := &s.last[xxhash.Sum64String(name)%uint64(len(s.last))]
	old := last.Load()
	return now.UnixNano()-old >= int64(subscriptionInterval) && last.CompareAndSwap(old, now.UnixNano())
}
