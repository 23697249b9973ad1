package snapshot

import (
	"sync/atomic"
	"time"
)

// reportedLoadMaxAge is how long an endpoint's reported load is used. Older reports mislead more than they help.
const reportedLoadMaxAge = time.Second

// Counters hold this node's observations of one endpoint; they outlive the snapshots that point to them, and are safe
// for concurrent use. Times are in Unix nanoseconds.
type Counters struct {
	outstanding          atomic.Int32
	consecutiveFailures  atomic.Int32
	consecutiveEjections atomic.Int32 // since the last success
	ejectedUntil         atomic.Int64
	backoffUntil         atomic.Int64
	leavingUntil         atomic.Int64
	reportedOutstanding  atomic.Int32 // calls at the endpoint, as it reported
	reportedSlots        atomic.Int32 // the endpoint's limit of concurrent calls, as it reported; 0 if unknown
	reportedAt           atomic.Int64
}

// Begin counts a call that is about to be sent.
func (c *Counters) Begin() { c.outstanding.Add(1) }

// End counts the end of a call.
func (c *Counters) End() { c.outstanding.Add(-1) }

// Outstanding returns the number of calls that this node has sent to the endpoint and that have not ended.
func (c *Counters) Outstanding() int { return int(c.outstanding.Load()) }

// RecordSuccess resets the consecutive failures and ejections.
func (c *Counters) RecordSuccess() {
	if c.consecutiveFailures.Load() != 0 {
		c.consecutiveFailures.Store(0)
	}
	if c.consecutiveEjections.Load() != 0 {
		c.consecutiveEjections.Store(0)
	}
}

// RecordFailure counts a failure and returns the number of consecutive failures.
func (c *Counters) RecordFailure() int { return int(c.consecutiveFailures.Add(1)) }

// ConsecutiveFailures returns the number of failures since the last success or ejection.
func (c *Counters) ConsecutiveFailures() int { return int(c.consecutiveFailures.Load()) }

// Eject excludes the endpoint from calls until the given time and returns the number of consecutive ejections.
func (c *Counters) Eject(until time.Time) int {
	c.consecutiveFailures.Store(0)
	c.ejectedUntil.Store(until.UnixNano())
	return int(c.consecutiveEjections.Add(1))
}

// Readmit ends the current ejection.
func (c *Counters) Readmit() { c.ejectedUntil.Store(0) }

// ConsecutiveEjections returns the number of ejections since the last success.
func (c *Counters) ConsecutiveEjections() int { return int(c.consecutiveEjections.Load()) }

// Ejected reports whether the endpoint is ejected at the given time.
func (c *Counters) Ejected(now time.Time) bool { return now.UnixNano() < c.ejectedUntil.Load() }

// BackOff makes other endpoints preferred after a call that the endpoint refused or that did not reach it. An earlier
// backoff that ends later stays in effect.
func (c *Counters) BackOff(until time.Time) {
	nanos := until.UnixNano()
	for {
		old := c.backoffUntil.Load()
		if old >= nanos || c.backoffUntil.CompareAndSwap(old, nanos) {
			return
		}
	}
}

// InBackoff reports whether other endpoints are preferred at the given time because of BackOff.
func (c *Counters) InBackoff(now time.Time) bool { return now.UnixNano() < c.backoffUntil.Load() }

// MarkLeaving excludes the endpoint until the given time, by which the membership is expected to show it as leaving.
func (c *Counters) MarkLeaving(until time.Time) { c.leavingUntil.Store(until.UnixNano()) }

// Leaving reports whether MarkLeaving excludes the endpoint at the given time.
func (c *Counters) Leaving(now time.Time) bool { return now.UnixNano() < c.leavingUntil.Load() }

// RecordLoad stores the load that the endpoint reported in an answer; zero slots mean that it reported none.
func (c *Counters) RecordLoad(outstanding, slots int, now time.Time) {
	if slots == 0 {
		return
	}
	c.reportedOutstanding.Store(int32(outstanding))
	c.reportedSlots.Store(int32(slots))
	c.reportedAt.Store(now.UnixNano())
}

// ReportedLoad returns the endpoint's last reported load, or zeros if it is older than reportedLoadMaxAge.
func (c *Counters) ReportedLoad(now time.Time) (outstanding, slots int) {
	if now.UnixNano()-c.reportedAt.Load() > int64(reportedLoadMaxAge) {
		return 0, 0
	}
	return int(c.reportedOutstanding.Load()), int(c.reportedSlots.Load())
}
