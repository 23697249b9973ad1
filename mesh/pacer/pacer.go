package pacer

import (
	"sync/atomic"
	"time"
)

const (
	// burstTime is the time for which unused requests are kept: what arrives unevenly within it is still admitted.
	burstTime = 500 * time.Millisecond
	// minPerSecond is the lowest rate that is enforced, as only an answer shows that a lower one no longer holds.
	minPerSecond = 1
)

// Pacer admits requests at a rate, evenly but for bursts of burstTime. It is safe for concurrent use and takes no lock.
type Pacer struct {
	base     time.Time    // the monotonic clock counts from here, as the time of day may jump
	interval atomic.Int64 // nanoseconds between two requests; 0 admits all
	due      atomic.Int64 // nanoseconds since base at which the next request is due if all come evenly
}

// New returns a pacer that admits all requests.
func New(now time.Time) *Pacer { return &Pacer{base: now} }

func (p *Pacer) sinceBase(now time.Time) int64 { return int64(now.Sub(p.base)) }

// SetRate limits the rate from now on, without requests left over from before; zero admits all requests.
func (p *Pacer) SetRate(perSecond float64, now time.Time) {
	if perSecond <= 0 {
		p.interval.Store(0)
		return
	}
	interval := max(1, int64(float64(time.Second)/max(minPerSecond, perSecond)))
	if p.interval.Swap(interval) == 0 {
		p.due.Store(p.sinceBase(now) + burst(interval))
	}
}

// Limited reports whether the rate is limited.
func (p *Pacer) Limited() bool { return p.interval.Load() != 0 }

// burst returns by how much requests may come before they are due: all but one of those of burstTime at once.
func burst(interval int64) int64 { return max(0, int64(burstTime)-interval) }

// Take admits a request, or reports false if it comes too early.
func (p *Pacer) Take(now time.Time) bool {
	for {
		interval := p.interval.Load()
		if interval == 0 {
			return true
		}
		due, at := p.due.Load(), p.sinceBase(now)
		if at < due-burst(interval) {
			return false
		}
		if p.due.CompareAndSwap(due, max(due, at)+interval) {
			return true
		}
	}
}

// Wait returns the time until a request is admitted that n others come before.
func (p *Pacer) Wait(n int, now time.Time) time.Duration {
	interval := p.interval.Load()
	if interval == 0 {
		return 0
	}
	return time.Duration(max(0, p.due.Load()-burst(interval)+int64(n)*interval-p.sinceBase(now)))
}
