package estimator

import (
	"maps"
	"sync/atomic"
	"time"
)

const (
	// weight is the weight of one call in the smoothed time.
	weight = 0.04
	// first is the time of a rule without calls yet, as a part of its latency objective.
	first = 0.3
	// maxRules bounds the rules that are remembered; beyond it all are forgotten, as rules change with the configuration.
	maxRules = 4096
)

// Estimator is safe for use by many goroutines. Reads take no lock.
type Estimator struct {
	times atomic.Pointer[map[string]*atomic.Int64]
}

// New returns an estimator without measurements.
func New() *Estimator {
	e := &Estimator{}
	e.times.Store(&map[string]*atomic.Int64{})
	return e
}

// ServiceTime returns the usual time of the rule's calls, or a part of its latency objective.
func (e *Estimator) ServiceTime(rule string, aim time.Duration) time.Duration {
	if t := (*e.times.Load())[rule]; t != nil {
		return time.Duration(t.Load())
	}
	return time.Duration(float64(aim) * first)
}

// Observe takes the time of one call.
func (e *Estimator) Observe(rule string, aim, took time.Duration) {
	t := e.entry(rule, aim)
	for {
		old := t.Load()
		if t.CompareAndSwap(old, old+int64(weight*float64(int64(took)-old))) {
			return
		}
	}
}

func (e *Estimator) entry(rule string, aim time.Duration) *atomic.Int64 {
	for {
		known := e.times.Load()
		if t := (*known)[rule]; t != nil {
			return t
		}
		next := map[string]*atomic.Int64{}
		if len(*known) < maxRules {
			next = maps.Clone(*known)
		}
		t := &atomic.Int64{}
		t.Store(int64(float64(aim) * first))
		next[rule] = t
		if e.times.CompareAndSwap(known, &next) {
			return t
		}
	}
}
