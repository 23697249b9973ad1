package runner

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// unprovenSlots bounds the calls at a time until the first response: a node that has started again does not know
	// which limit the upstream has named before.
	unprovenSlots = 4
	// toldChange is the relative change of a limit above which other nodes are told.
	toldChange = 0.2
	// toldInterval is the shortest time between two changes that other nodes are told.
	toldInterval = 500 * time.Millisecond
)

// limit is the rate limit that the upstream names in its responses, for as long as it does.
type limit struct {
	base      time.Time     // the monotonic clock counts from here, as the time of day may jump
	proven    atomic.Bool   // a response has arrived
	perSecond atomic.Uint64 // float64 bits; 0 without a limit
	namedAt   atomic.Int64  // nanoseconds since base at which the limit was last named
	told      atomic.Uint64 // float64 bits of the limit that other nodes were told last
	toldAt    atomic.Int64  // nanoseconds since base; 0 if they were not told yet
	malformed atomic.Bool   // a malformed limit was logged
}

// update records what a response states to a request sent at sentAt, and reports whether the limit has changed. Only a
// request that was sent after the limit was last named can lift it, as answers overtake each other.
func (l *limit) update(perSecond float64, sentAt, now time.Time) bool {
	if perSecond > 0 {
		l.namedAt.Store(int64(now.Sub(l.base)))
	} else if int64(sentAt.Sub(l.base)) <= l.namedAt.Load() {
		return false
	}
	bits := math.Float64bits(perSecond)
	return l.perSecond.Swap(bits) != bits
}

// tell returns the limit and whether other nodes must be told: it has changed by more than toldChange, and the last
// change is older than toldInterval.
func (l *limit) tell(now time.Time) (perSecond float64, changed bool) {
	perSecond = math.Float64frombits(l.perSecond.Load())
	last, at := math.Float64frombits(l.told.Load()), l.toldAt.Load()
	if (last == 0) == (perSecond == 0) && math.Abs(perSecond-last) <= toldChange*last {
		return perSecond, false
	}
	since := int64(now.Sub(l.base))
	if at > 0 && since-at < int64(toldInterval) || !l.toldAt.CompareAndSwap(at, since) {
		return perSecond, false
	}
	l.told.Store(math.Float64bits(perSecond))
	return perSecond, true
}

// LimitStated applies the limit that a response names; a malformed one changes nothing.
func (b *backend) LimitStated(perSecond float64, err error, sentAt time.Time) {
	now := time.Now()
	switch {
	case err != nil:
		if !b.limit.malformed.Swap(true) {
			b.log.Warn("upstream limit ignored", "instance", b.instance, "error", err)
		}
	case b.limit.update(perSecond, sentAt, now):
		b.slotter.SetRate(perSecond)
	}
	if b.limit.proven.CompareAndSwap(false, true) {
		b.slotter.Resize(int(b.slots.Load()))
	}
	if current, changed := b.limit.tell(now); changed {
		b.tracker.SetLimit(b.instance, b.startMillis, current)
	}
}

// resize sets the slots that the upstream announces.
func (b *backend) resize(slots int) {
	b.slots.Store(int32(slots))
	if b.limit.proven.Load() {
		b.slotter.Resize(slots)
	}
}
