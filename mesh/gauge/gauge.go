package gauge

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// reportLifetime is how long an endpoint's load report is used; most of the calls it counted have ended by then.
	reportLifetime = time.Second
	// steadyPeriod is the time constant of the steady ratio: several of the periods for which an endpoint is slow.
	steadyPeriod = 3 * time.Second
	// steadyExponent lessens the differences between steady ratios: a slow endpoint has more calls in progress anyway, and
	// the ratio follows a few long calls.
	steadyExponent = 0.2
	// failureWeight is the weight of one answer in the smoothed failure rate.
	failureWeight = 0.12
	// failureHalfLife is the half-life of the failure rate, so that an endpoint without calls is tried again.
	failureHalfLife = 3 * time.Second
	// maxServiceTimeRatio and minServiceTimeRatio bound the ratio, as a few outliers must not exclude an endpoint.
	maxServiceTimeRatio = 20
	minServiceTimeRatio = 0.1
	// ejectionThreshold is the number of consecutive failures after which an endpoint is ejected.
	ejectionThreshold = 4
	// ejectionDuration is how long an ejected endpoint gets calls only if there is no other.
	ejectionDuration = 1500 * time.Millisecond
)

// Gauge measures one endpoint. Its times are nanoseconds since base.
type Gauge struct {
	outstanding atomic.Int32
	startSum    atomic.Int64 // sum of the start times of outstanding calls
	base        time.Time

	othersOutstanding   atomic.Int32 // outstanding calls of other nodes, by the last answer
	reportedAt          atomic.Int64
	backoffUntil        atomic.Int64
	bulkBackoffUntil    atomic.Int64 // for bulk calls only
	ejectedUntil        atomic.Int64
	consecutiveFailures atomic.Int32
	leaving             atomic.Bool

	serviceTimeRatio atomic.Uint64 // float64 bits; 0 stands for 1
	smoothedRatio    atomic.Uint64 // float64 bits; 0 before the first update
	steadyRatio      atomic.Uint64 // float64 bits, from smoothedRatio; 0 stands for 1
	ratioUpdatedAt   atomic.Int64
	failureRate      atomic.Uint64 // float64 bits, at rateUpdatedAt
	rateUpdatedAt    atomic.Int64
}

// New returns a gauge without measurements.
func New(now time.Time) *Gauge { return &Gauge{base: now} }

func (g *Gauge) sinceBase(now time.Time) int64 { return int64(now.Sub(g.base)) }

// Begin counts a call that is about to be sent and returns its start, to be passed to End.
func (g *Gauge) Begin(now time.Time) int64 {
	start := g.sinceBase(now)
	g.outstanding.Add(1)
	g.startSum.Add(start)
	return start
}

// End counts the end of a call for which Begin returned start.
func (g *Gauge) End(start int64) {
	g.startSum.Add(-start)
	g.outstanding.Add(-1)
}

// Outstanding returns the number of calls that this node has at the endpoint.
func (g *Gauge) Outstanding() int { return int(g.outstanding.Load()) }

// Load returns the number of calls that this node has at the endpoint, the number that other nodes had there by the
// last answer, and the latter's weight, which falls from 1 to 0 with its age.
func (g *Gauge) Load(now time.Time) (own, others, weight float64) {
	own = float64(max(0, g.outstanding.Load()))
	at := g.reportedAt.Load()
	if at == 0 {
		return own, 0, 0
	}
	weight = max(0, 1-float64(g.sinceBase(now)-at)/float64(reportLifetime))
	return own, float64(g.othersOutstanding.Load()), weight
}

// Report returns the number of calls that other nodes had at the endpoint by the last report, and the report's age. It
// returns false if there was none.
func (g *Gauge) Report(now time.Time) (others float64, age time.Duration, ok bool) {
	at := g.reportedAt.Load()
	if at == 0 {
		return 0, 0, false
	}
	return float64(g.othersOutstanding.Load()), time.Duration(max(0, g.sinceBase(now)-at)), true
}

// MeanAge returns how long the outstanding calls of this node have been running on average, or zero without any.
func (g *Gauge) MeanAge(now time.Time) time.Duration {
	n := int64(g.outstanding.Load())
	if n <= 0 {
		return 0
	}
	return time.Duration(max(0, g.sinceBase(now)-g.startSum.Load()/n))
}

// RecordLoad records the load report of an answer: the number of all calls at the endpoint.
func (g *Gauge) RecordLoad(outstanding int, now time.Time) {
	g.othersOutstanding.Store(max(0, int32(outstanding)-g.outstanding.Load()))
	g.reportedAt.Store(max(1, g.sinceBase(now)))
}

// BackOff lets other endpoints be preferred until the given time, after a refusal. The refusal of a bulk call says
// nothing about others, as it may be the host's link that is full.
func (g *Gauge) BackOff(bulk bool, until time.Time) {
	if bulk {
		g.bulkBackoffUntil.Store(g.sinceBase(until))
		return
	}
	g.backoffUntil.Store(g.sinceBase(until))
}

// InBackoff reports whether the endpoint has just refused a call, bulk or not.
func (g *Gauge) InBackoff(bulk bool, now time.Time) bool {
	since := g.sinceBase(now)
	return since < g.backoffUntil.Load() || bulk && since < g.bulkBackoffUntil.Load()
}

// Ejected reports whether the endpoint should get calls only when there is no other.
func (g *Gauge) Ejected(now time.Time) bool { return g.sinceBase(now) < g.ejectedUntil.Load() }

// MarkLeaving records that the upstream has said that it leaves. This is final, also when the endpoint's node starts
// again and does not know of it.
func (g *Gauge) MarkLeaving() { g.leaving.Store(true) }

// Leaving reports whether the upstream has said that it leaves; it gets no further calls.
func (g *Gauge) Leaving() bool { return g.leaving.Load() }

// SetServiceTimeRatio records the ratio that the endpoint's own node measured, over the calls of all nodes.
func (g *Gauge) SetServiceTimeRatio(ratio float64) {
	g.serviceTimeRatio.Store(math.Float64bits(min(maxServiceTimeRatio, max(minServiceTimeRatio, ratio))))
}

// ServiceTimeRatio returns the endpoint's service time as a multiple of the expected service time.
func (g *Gauge) ServiceTimeRatio() float64 {
	if b := g.serviceTimeRatio.Load(); b != 0 {
		return math.Float64frombits(b)
	}
	return 1
}

// UpdateSteadyRatio moves the steady ratio towards the present service time ratio, by the time since its last update.
func (g *Gauge) UpdateSteadyRatio(now time.Time) {
	at, last := max(1, g.sinceBase(now)), g.ratioUpdatedAt.Load()
	// Of concurrent updates one is enough.
	if at <= last || !g.ratioUpdatedAt.CompareAndSwap(last, at) {
		return
	}
	next := g.ServiceTimeRatio()
	if b := g.smoothedRatio.Load(); b != 0 {
		old := math.Float64frombits(b)
		next = old + (next-old)*-math.Expm1(-float64(at-last)/float64(steadyPeriod))
	}
	g.smoothedRatio.Store(math.Float64bits(next))
	g.steadyRatio.Store(math.Float64bits(math.Pow(next, steadyExponent)))
}

// SteadyRatio returns the service time ratio smoothed over several seconds, nearer to 1. It shows how fast an endpoint is;
// the service time ratio also follows a few long calls and short periods in which the endpoint is slow.
func (g *Gauge) SteadyRatio() float64 {
	if b := g.steadyRatio.Load(); b != 0 {
		return math.Float64frombits(b)
	}
	return 1
}

// RecordSuccess counts a complete answer.
func (g *Gauge) RecordSuccess(now time.Time) {
	g.consecutiveFailures.Store(0)
	g.updateFailureRate(0, now)
}

// RecordFailure counts a failure and reports whether it ejected the endpoint, as the last of several in a row.
func (g *Gauge) RecordFailure(now time.Time) bool {
	g.updateFailureRate(1, now)
	if g.consecutiveFailures.Add(1) < ejectionThreshold {
		return false
	}
	g.consecutiveFailures.Store(ejectionThreshold - 1)
	newlyEjected := !g.Ejected(now)
	g.ejectedUntil.Store(g.sinceBase(now.Add(ejectionDuration)))
	return newlyEjected
}

// Eject ejects the endpoint for ejectionDuration.
func (g *Gauge) Eject(now time.Time) { g.ejectedUntil.Store(g.sinceBase(now.Add(ejectionDuration))) }

func (g *Gauge) updateFailureRate(sample float64, now time.Time) {
	for {
		old := g.failureRate.Load()
		next := g.FailureRate(now)*(1-failureWeight) + sample*failureWeight
		if g.failureRate.CompareAndSwap(old, math.Float64bits(next)) {
			g.rateUpdatedAt.Store(g.sinceBase(now))
			return
		}
	}
}

// FailureRate returns the smoothed failure rate, which decays while there are no answers.
func (g *Gauge) FailureRate(now time.Time) float64 {
	f := math.Float64frombits(g.failureRate.Load())
	if f < 1e-3 {
		return f
	}
	return f * math.Exp2(-float64(g.sinceBase(now)-g.rateUpdatedAt.Load())/float64(failureHalfLife))
}
