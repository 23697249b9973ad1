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
	// limitChange is the relative change of a limit above which it is logged.
	limitChange = 0.2
)

// limit is the rate limit that the upstream names in its responses, for as long as it does.
type limit struct {
	proven    atomic.Bool   // a response has arrived
	perSecond atomic.Uint64 // float64 bits; 0 without a limit
	namedAt   atomic.Int64  // Unix nanoseconds at which the limit was last named
	logged    atomic.Uint64 // float64 bits of the last logged limit
	malformed atomic.Bool   // a malformed limit was logged
}

// update records what a response states to a request sent at sentAt, and reports whether the limit has changed. Only a
// request that was sent after the limit was last named can lift it, as answers overtake each other.
func (l *limit) update(perSecond float64, sentAt, now time.Time) bool {
	if perSecond > 0 {
		l.namedAt.Store(now.UnixNano())
	} else if sentAt.UnixNano() <= l.namedAt.Load() {
		return false
	}
	bits := math.Float64bits(perSecond)
	return l.perSecond.Swap(bits) != bits
}

// worthLogging reports whether the limit differs from the last one for which it returned true by more than limitChange.
func (l *limit) worthLogging(perSecond float64) bool {
	last := math.Float64frombits(l.logged.Load())
	if (last == 0) == (perSecond == 0) && math.Abs(perSecond-last) <= limitChange*last {
		return false
	}
	l.logged.Store(math.Float64bits(perSecond))
	return true
}

// LimitStated applies the limit that a response names; a malformed one changes nothing.
func (b *backend) LimitStated(perSecond float64, err error, sentAt time.Time) {
	switch {
	case err != nil:
		if !b.limit.malformed.Swap(true) {
			b.log.Warn("upstream limit ignored", "instance", b.instance, "error", err)
		}
	case b.limit.update(perSecond, sentAt, time.Now()):
		b.slotter.SetRate(perSecond)
		if b.limit.worthLogging(perSecond) {
			b.log.Info("upstream limit changed", "instance", b.instance, "limit", perSecond)
		}
	}
	if b.limit.proven.CompareAndSwap(false, true) {
		b.slotter.Resize(int(b.slots.Load()))
	}
}

// resize sets the slots that the upstream announces.
func (b *backend) resize(slots int) {
	b.slots.Store(int32(slots))
	if b.limit.proven.Load() {
		b.slotter.Resize(slots)
	}
}
