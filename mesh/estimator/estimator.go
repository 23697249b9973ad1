package estimator

import (
	"maps"
	"sync/atomic"
	"time"
)

const (
	// callWeight is the weight of one call in the smoothed service time.
	callWeight = 0.04
	// initialFraction is the assumed service time of a rule without calls, as a fraction of its latency objective.
	initialFraction = 0.3
	// maxRules bounds the number of rules. At the bound all are discarded, as old configurations leave unused ones.
	maxRules = 4096
)

// Estimator keeps a smoothed service time per rule. It is safe for concurrent use; reads take no lock.
type Estimator struct {
	serviceTimes atomic.Pointer[map[string]*atomic.Int64]
}

// New returns an estimator without measurements.
func New() *Estimator {
	e := &Estimator{}
	e.serviceTimes.Store(&map[string]*atomic.Int64{})
	return e
}

// ServiceTime returns the smoothed service time of the rule's calls, or a fraction of objective before the first call.
func (e *Estimator) ServiceTime(rule string, objective time.Duration) time.Duration {
	if t := (*e.serviceTimes.Load())[rule]; t != nil {
		return time.Duration(t.Load())
	}
	return time.Duration(float64(objective) * initialFraction)
}

// Observe records the service time of one call.
func (e *Estimator) Observe(rule string, objective, serviceTime time.Duration) {
	t := e.entry(rule, objective)
	for {
		old := t.Load()
		if t.CompareAndSwap(old, old+int64(callWeight*float64(int64(serviceTime)-old))) {
			return
		}
	}
}

func (e *Estimator) entry(rule string, objective time.Duration) *atomic.Int64 {
	for {
		current := e.serviceTimes.Load()
		if t := (*current)[rule]; t != nil {
			return t
		}
		next := map[string]*atomic.Int64{}
		if len(*current) < maxRules {
			next = maps.Clone(*current)
		}
		t := &atomic.Int64{}
		t.Store(int64(float64(objective) * initialFraction))
		next[rule] = t
		if e.serviceTimes.CompareAndSwap(current, &next) {
			return t
		}
	}
}
