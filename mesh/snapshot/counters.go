package snapshot

import (
	"sync/atomic"
	"time"
)

// reportAge is how long an endpoint's reported load is believed. Older reports mislead more than they help.
const reportAge = time.Second

// Counters are what this node has seen of one endpoint; they outlive the snapshots that point to them.
type Counters struct {
	outstanding atomic.Int32
	failures    atomic.Int32 // in a row
	ejections   atomic.Int32 // since the last success
	ejected     atomic.Int64 // until, nanoseconds since 1970
	held        atomic.Int64 // until, nanoseconds since 1970
	left        atomic.Int64 // until, nanoseconds since 1970
	reported    atomic.Int32 // calls at the endpoint, as it said
	slots       atomic.Int32 // the endpoint's limit, as it said; 0 if unknown
	reportedAt  atomic.Int64
}

// Begin counts a call that is about to be sent.
func (c *Counters) Begin() { c.outstanding.Add(1) }

// End counts the end of a call.
func (c *Counters) End() { c.outstanding.Add(-1) }

// Outstanding returns the calls that this node has at the endpoint.
func (c *Counters) Outstanding() int { return int(c.outstanding.Load()) }

// RecordSuccess ends a row of failures.
func (c *Counters) RecordSuccess() {
	if c.failures.Load() != 0 {
		c.failures.Store(0)
	}
	if c.ejections.Load() != 0 {
		c.ejections.Store(0)
	}
}

// RecordFailure counts a failure and returns the length of the row.
func (c *Counters) RecordFailure() int { return int(c.failures.Add(1)) }

// ConsecutiveFailures returns the number of failures since the last success.
func (c *Counters) ConsecutiveFailures() int { return int(c.failures.Load()) }

// Eject keeps calls from the endpoint until the given time and returns how often this has happened in a row.
func (c *Counters) Eject(until time.Time) int {
	c.failures.Store(0)
	c.ejected.Store(until.UnixNano())
	return int(c.ejections.Add(1))
}

// Readmit ends an ejection.
func (c *Counters) Readmit() { c.ejected.Store(0) }

// ConsecutiveEjections returns the number of ejections since the last success.
func (c *Counters) ConsecutiveEjections() int { return int(c.ejections.Load()) }

// Ejected reports whether an ejection lasts at the given time.
func (c *Counters) Ejected(now time.Time) bool { return now.UnixNano() < c.ejected.Load() }

// BackOff makes other endpoints preferable until the given time; an endpoint that refused a call is held.
func (c *Counters) BackOff(until time.Time) {
	n := until.UnixNano()
	for {
		old := c.held.Load()
		if old >= n || c.held.CompareAndSwap(old, n) {
			return
		}
	}
}

// InBackoff reports whether the endpoint is held at the given time.
func (c *Counters) InBackoff(now time.Time) bool { return now.UnixNano() < c.held.Load() }

// MarkLeaving keeps all calls from the endpoint until the given time, by which the membership says that it is leaving.
func (c *Counters) MarkLeaving(until time.Time) { c.left.Store(until.UnixNano()) }

// Leaving reports whether the endpoint has said that it is leaving.
func (c *Counters) Leaving(now time.Time) bool { return now.UnixNano() < c.left.Load() }

// RecordLoad keeps the load that the endpoint's answer gave; slots of zero means that it gave none.
func (c *Counters) RecordLoad(outstanding, slots int, now time.Time) {
	if slots == 0 {
		return
	}
	c.reported.Store(int32(outstanding))
	c.slots.Store(int32(slots))
	c.reportedAt.Store(now.UnixNano())
}

// ReportedLoad returns the load that the endpoint gave within the last second, or zeros.
func (c *Counters) ReportedLoad(now time.Time) (outstanding, slots int) {
	if now.UnixNano()-c.reportedAt.Load() > int64(reportAge) {
		return 0, 0
	}
	return int(c.reported.Load()), int(c.slots.Load())
}
