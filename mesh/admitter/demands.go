package admitter

import (
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// demandInterval is the time between two demands for one name. Callers can send any host, so demands are bounded.
const demandInterval = time.Second

// demands remembers when names were last demanded, without growing; names that share a place share its interval.
type demands struct {
	last [256]atomic.Int64 // nanoseconds since 1970
}

// due reports whether a demand for the name may be sent now.
func (d *demands) due(name string, now time.Time) bool {
	p := &d.last[xxhash.Sum64String(name)%uint64(len(d.last))]
	old := p.Load()
	return now.UnixNano()-old >= int64(demandInterval) && p.CompareAndSwap(old, now.UnixNano())
}
