package gauge

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// reportAge is how long an endpoint's reported load counts; the other callers' calls have mostly ended by then.
	reportAge = time.Second
	// failureWeight is the weight of one answer in the smoothed share of failures.
	failureWeight = 0.12
	// failureAge halves the smoothed share of failures, so that an avoided endpoint is tried again.
	failureAge = 3 * time.Second
	// slowest and fastest bound the pace, as a few odd answers must not exclude an endpoint.
	slowest = 20
	fastest = 0.1
	// strikes is the number of failures in a row after which an endpoint is ejected.
	strikes = 4
	// ejection is how long an ejected endpoint gets calls only when there is no other.
	ejection = 1500 * time.Millisecond
)

// Gauge measures one endpoint.
type Gauge struct {
	outstanding atomic.Int32
	starts      atomic.Int64 // sum of the start times of outstanding calls, nanoseconds since base
	base        time.Time

	others     atomic.Int32 // outstanding calls of other nodes, by the last answer
	reportedAt atomic.Int64
	held       atomic.Int64 // until
	ejected    atomic.Int64 // until
	row        atomic.Int32 // failures in a row

	pace     atomic.Uint64 // float64 bits; 0 stands for 1
	failures atomic.Uint64 // float64 bits
	failedAt atomic.Int64
}

// New returns a gauge without measurements.
func New(now time.Time) *Gauge { return &Gauge{base: now} }

func (g *Gauge) since(now time.Time) int64 { return int64(now.Sub(g.base)) }

// Begin counts a call that is about to be sent and returns a mark for End.
func (g *Gauge) Begin(now time.Time) int64 {
	mark := g.since(now)
	g.outstanding.Add(1)
	g.starts.Add(mark)
	return mark
}

// End counts the end of the call with the mark.
func (g *Gauge) End(mark int64) {
	g.starts.Add(-mark)
	g.outstanding.Add(-1)
}

// Outstanding returns the calls that this node has at the endpoint.
func (g *Gauge) Outstanding() int { return int(g.outstanding.Load()) }

// Load returns the calls that this node has at the endpoint, those that other nodes had there by the last answer, and how
// much the latter still says, from 1 down to 0.
func (g *Gauge) Load(now time.Time) (own, others, weight float64) {
	own = float64(max(0, g.outstanding.Load()))
	at := g.reportedAt.Load()
	if at == 0 {
		return own, 0, 0
	}
	weight = max(0, 1-float64(g.since(now)-at)/float64(reportAge))
	return own, float64(g.others.Load()), weight
}

// MeanAge returns how long the outstanding calls have been running on average, or zero.
func (g *Gauge) MeanAge(now time.Time) time.Duration {
	n := int64(g.outstanding.Load())
	if n <= 0 {
		return 0
	}
	return time.Duration(max(0, g.since(now)-g.starts.Load()/n))
}

// RecordLoad keeps the number of all calls at the endpoint that an answer gave.
func (g *Gauge) RecordLoad(outstanding int, now time.Time) {
	g.others.Store(max(0, int32(outstanding)-g.outstanding.Load()))
	g.reportedAt.Store(max(1, g.since(now)))
}

// BackOff makes other endpoints preferable until the given time.
func (g *Gauge) BackOff(until time.Time) { g.held.Store(g.since(until)) }

// InBackoff reports whether the endpoint has just refused a call.
func (g *Gauge) InBackoff(now time.Time) bool { return g.since(now) < g.held.Load() }

// Ejected reports whether the endpoint should get calls only when there is no other.
func (g *Gauge) Ejected(now time.Time) bool { return g.since(now) < g.ejected.Load() }

// SetServiceTimeRatio keeps the endpoint's pace as its own node measured it, over the calls of all nodes.
func (g *Gauge) SetServiceTimeRatio(pace float64) {
	g.pace.Store(math.Float64bits(min(slowest, max(fastest, pace))))
}

// ServiceTimeRatio returns the endpoint's usual time for a call as a multiple of the expected one.
func (g *Gauge) ServiceTimeRatio() float64 {
	if b := g.pace.Load(); b != 0 {
		return math.Float64frombits(b)
	}
	return 1
}

// RecordSuccess counts a whole answer.
func (g *Gauge) RecordSuccess(now time.Time) {
	g.row.Store(0)
	g.smooth(0, now)
}

// RecordFailure counts a failure; several in a row eject the endpoint. It reports whether this one did.
func (g *Gauge) RecordFailure(now time.Time) bool {
	g.smooth(1, now)
	if g.row.Add(1) < strikes {
		return false
	}
	g.row.Store(strikes - 1)
	fresh := !g.Ejected(now)
	g.ejected.Store(g.since(now.Add(ejection)))
	return fresh
}

// Eject keeps calls from the endpoint for one ejection.
func (g *Gauge) Eject(now time.Time) { g.ejected.Store(g.since(now.Add(ejection))) }

func (g *Gauge) smooth(hit float64, now time.Time) {
	for {
		old := g.failures.Load()
		next := g.FailureRate(now)*(1-failureWeight) + hit*failureWeight
		if g.failures.CompareAndSwap(old, math.Float64bits(next)) {
			g.failedAt.Store(g.since(now))
			return
		}
	}
}

// FailureRate returns the smoothed share of failures, which fades while there are no answers.
func (g *Gauge) FailureRate(now time.Time) float64 {
	f := math.Float64frombits(g.failures.Load())
	if f < 1e-3 {
		return f
	}
	return f * math.Exp2(-float64(g.since(now)-g.failedAt.Load())/float64(failureAge))
}
