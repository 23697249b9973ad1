package grace

import "time"

// The phases of a stop, as fractions of the grace period in twenty-fourths. Calls may be cut off only in the last sixth of it
// (20/24), and an answer that an upstream gives just before that needs time for its way to the caller.
const (
	parts      = 24
	callsParts = 21
	drainParts = 22
)

// Period is the time between a stop signal and the kill of the process; the zero value is of unknown length.
type Period struct {
	length time.Duration
}

// New returns a grace period of the length, or an unknown one if it is not above zero.
func New(length time.Duration) Period { return Period{length: max(0, length)} }

// ForDrain returns the grace period whose graceful shutdown takes the limit at the most.
func ForDrain(limit time.Duration) Period { return New(limit * parts / drainParts) }

// Calls returns how long after the signal calls may run before they are cut off, or zero if the period is unknown.
func (p Period) Calls() time.Duration { return p.length * callsParts / parts }

// Drain returns how long after the signal the graceful shutdown ends. The rest is for the end of the process.
func (p Period) Drain() time.Duration { return p.length * drainParts / parts }

// Shorten returns the duration, or the fraction of Calls if that is known and shorter.
func (p Period) Shorten(d time.Duration, fraction float64) time.Duration {
	if p.length == 0 {
		return d
	}
	return min(d, time.Duration(fraction*float64(p.Calls())))
}
