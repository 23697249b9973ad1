package admitter

import (
	"sync/atomic"

	"github.com/rcrowley/go-metrics"
)

// sample is a lock-free metrics.Sample of the latest 1024 values. The samples of go-metrics lock a mutex for each
// value, which would delay calls.
type sample struct {
	count  atomic.Int64
	values [1024]atomic.Int64
}

// Update adds a value.
func (s *sample) Update(v int64) {
	n := s.count.Add(1) - 1
	s.values[n%int64(len(s.values))].Store(v)
}

// Clear removes all values.
func (s *sample) Clear() { s.count.Store(0) }

// Count returns the number of values ever added.
func (s *sample) Count() int64 { return s.count.Load() }

// Size returns the number of values held.
func (s *sample) Size() int { return int(min(s.count.Load(), int64(len(s.values)))) }

// Values returns a copy of the values held.
func (s *sample) Values() []int64 {
	vs := make([]int64, s.Size())
	for i := range vs {
		vs[i] = s.values[i].Load()
	}
	return vs
}

// Snapshot returns a copy that does not change.
func (s *sample) Snapshot() metrics.Sample { return metrics.NewSampleSnapshot(s.Count(), s.Values()) }

// Max returns the largest value held.
func (s *sample) Max() int64 { return metrics.SampleMax(s.Values()) }

// Mean returns the mean of the values held.
func (s *sample) Mean() float64 { return metrics.SampleMean(s.Values()) }

// Min returns the smallest value held.
func (s *sample) Min() int64 { return metrics.SampleMin(s.Values()) }

// Percentile returns a percentile, from 0 to 1, of the values held.
func (s *sample) Percentile(p float64) float64 { return metrics.SamplePercentile(s.Values(), p) }

// Percentiles returns percentiles, each from 0 to 1, of the values held.
func (s *sample) Percentiles(ps []float64) []float64 {
	return metrics.SamplePercentiles(s.Values(), ps)
}

// StdDev returns the standard deviation of the values held.
func (s *sample) StdDev() float64 { return metrics.SampleStdDev(s.Values()) }

// Sum returns the sum of the values held.
func (s *sample) Sum() int64 { return metrics.SampleSum(s.Values()) }

// Variance returns the variance of the values held.
func (s *sample) Variance() float64 { return metrics.SampleVariance(s.Values()) }
