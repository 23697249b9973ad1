package timekeeper

import (
	"sync/atomic"
	"time"
)

// Timekeeper relates the clocks of both ends of one link; it is safe for concurrent use.
type Timekeeper struct {
	base   time.Time
	ahead  atomic.Int64 // nanoseconds by which the peer's clock is ahead of this one, at least
	lowest atomic.Int64 // lowest transit time so far in nanoseconds, if below zero
}

// New returns a timekeeper whose clock shows zero at base and whose peer's clock shows zero then too.
func New(base time.Time) *Timekeeper { return &Timekeeper{base: base} }

// Stamp returns this end's clock in milliseconds, at least 1, as zero is the stamp of a message without one.
func (t *Timekeeper) Stamp(now time.Time) int64 { return max(1, now.Sub(t.base).Milliseconds()) }

// Observe records the peer's stamp on a message that has arrived now.
func (t *Timekeeper) Observe(stamp int64, now time.Time) {
	if stamp <= 0 {
		return
	}
	ahead := int64(time.Duration(stamp)*time.Millisecond - now.Sub(t.base))
	for old := t.ahead.Load(); ahead > old; old = t.ahead.Load() {
		if t.ahead.CompareAndSwap(old, ahead) {
			return
		}
	}
}

// PeerStamp returns the time in milliseconds, at least 1, that the peer's clock has certainly reached.
func (t *Timekeeper) PeerStamp(now time.Time) int64 {
	return max(1, (now.Sub(t.base) + time.Duration(t.ahead.Load())).Milliseconds())
}

// Transit returns the longest time for which a message that has arrived now and bears the PeerStamp of its sender can
// have been in transit, or zero without a stamp.
//
// A stamp ahead of this clock shows that this clock has stood still, as it does in a suspended process. Later times are
// corrected by the difference.
func (t *Timekeeper) Transit(peerStamp int64, now time.Time) time.Duration {
	if peerStamp <= 0 {
		return 0
	}
	transit := int64(now.Sub(t.base) - time.Duration(peerStamp)*time.Millisecond)
	for {
		lowest := t.lowest.Load()
		if transit >= lowest {
			return time.Duration(transit - lowest)
		}
		if t.lowest.CompareAndSwap(lowest, transit) {
			return 0
		}
	}
}
