package admitter

import (
	"math/bits"
	"sync/atomic"
	"time"

	"wisteriaspoke.example/mesh/route"
)

// meter holds the figures of this node's calls for operators.
type meter struct {
	calls    registry[population, Histogram]
	refusals registry[string, atomic.Uint64]
}

// population is the calls that share a histogram.
type population struct {
	tenant string
	class  route.Class
}

// Histogram counts latencies with a relative error of at most 1/4.
type Histogram struct {
	buckets [4 * 64]atomic.Uint64
}

// add counts one latency, in buckets of four for each power of two of microseconds.
func (h *Histogram) add(d time.Duration) {
	us := uint64(max(0, d.Microseconds())) + 4
	n := bits.Len64(us) - 3
	h.buckets[4*n+int(us>>n)-4].Add(1)
}

// Count returns the number of latencies.
func (h *Histogram) Count() uint64 {
	var n uint64
	for i := range h.buckets {
		n += h.buckets[i].Load()
	}
	return n
}

// Quantile returns an upper bound of the latency that a share q of the calls, from 0 to 1, did not exceed.
func (h *Histogram) Quantile(q float64) time.Duration {
	rank := q * float64(h.Count())
	var n uint64
	for i := range h.buckets {
		n += h.buckets[i].Load()
		if n > 0 && float64(n) >= rank {
			return time.Duration((uint64(i%4)+5)<<(i/4)-4) * time.Microsecond
		}
	}
	return 0
}

// Histograms returns the latencies of ended calls by name, "calls.<tenant>.<class>".
func (a *Admitter) Histograms() map[string]*Histogram {
	hs := map[string]*Histogram{}
	for g, h := range a.meter.calls.all() {
		tenant := g.tenant
		if tenant == "" {
			tenant = "default"
		}
		hs["calls."+tenant+"."+string(g.class)] = h
	}
	return hs
}

// Refusals returns the number of refused calls by name, "refusals.<reason>".
func (a *Admitter) Refusals() map[string]uint64 {
	ns := map[string]uint64{}
	for reason, n := range a.meter.refusals.all() {
		ns["refusals."+reason] = n.Load()
	}
	return ns
}
