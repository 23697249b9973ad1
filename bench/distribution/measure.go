package distribution

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// emit records one figure.
type emit = func(name string, value float64, unit string, baseline float64, against string, size int, seed uint64, bound float64, better string)

const (
	baselineName = "poll"
	seedCount    = 3
	// convergenceTimeout limits the wait for a version; nodes without it count as this time.
	convergenceTimeout = 30 * time.Second
)

// scenario is a failure around the acceptance of a version; run returns each node's convergence time.
type scenario struct {
	name string
	run  func(f *fleet) []time.Duration
}

var scenarios = []scenario{
	{"quiet", withoutFailure},
	{"half of the nodes die", killHalf},
	{"both relays of a data centre die", killRelays},
	{"region cut for 60 s, from its return", partitionRegion},
	{"store out after acceptance", storeOutage},
}

// withoutFailure accepts five versions at random times.
func withoutFailure(f *fleet) []time.Duration {
	var all []time.Duration
	for range 5 {
		f.sim.Run(time.Duration(f.sim.Rand().Int64N(int64(2 * time.Second))))
		f.changeOneService()
		f.waitConverged(convergenceTimeout)
		all = append(all, f.convergenceTimes(time.Time{}, convergenceTimeout)...)
	}
	return all
}

func killHalf(f *fleet) []time.Duration {
	f.changeOneService()
	f.sim.Run(time.Duration(f.sim.Rand().Int64N(int64(50 * time.Millisecond))))
	ns := slices.Clone(f.sim.Nodes())
	f.sim.Rand().Shuffle(len(ns), func(i, j int) { ns[i], ns[j] = ns[j], ns[i] })
	for _, n := range ns[:len(ns)/2] {
		f.sim.Kill(n)
	}
	f.waitConverged(convergenceTimeout)
	return f.convergenceTimes(time.Time{}, convergenceTimeout)
}

func killRelays(f *fleet) []time.Duration {
	f.changeOneService()
	f.sim.Run(time.Duration(f.sim.Rand().Int64N(int64(50 * time.Millisecond))))
	dc := f.regions[1] + "-b"
	victims := []string{f.relayHolder(dc, 0), f.relayHolder(dc, 1)}
	if victims[0] == "" {
		// The baseline has no relays; two of its nodes are killed.
		victims = []string{dc + "-n0000", dc + "-n0001"}
	}
	for _, n := range victims {
		f.sim.Kill(n)
	}
	f.waitConverged(convergenceTimeout)
	return f.convergenceTimes(time.Time{}, convergenceTimeout)
}

func partitionRegion(f *fleet) []time.Duration {
	f.partitionedRegion = f.regions[2]
	f.sim.Run(10 * time.Second)
	f.changeOneService()
	f.sim.Run(50 * time.Second)
	f.partitionedRegion = ""
	healedAt := f.sim.Now()
	f.waitConverged(convergenceTimeout)
	return f.convergenceTimes(healedAt, convergenceTimeout)
}

func storeOutage(f *fleet) []time.Duration {
	f.changeOneService()
	f.sim.Run(time.Duration(f.sim.Rand().Int64N(int64(50 * time.Millisecond))))
	f.sim.Store().SetUnavailable(true)
	f.sim.Run(10 * time.Second)
	f.sim.Store().SetUnavailable(false)
	restoredAt := f.sim.Now()
	f.waitConverged(convergenceTimeout)
	return f.convergenceTimes(restoredAt, convergenceTimeout)
}

// eachSeed runs the measurement with all seeds concurrently and waits for them.
func eachSeed(run func(i int, seed uint64)) {
	var group sync.WaitGroup
	for i := range seedCount {
		group.Go(func() { run(i, uint64(i+1)) })
	}
	group.Wait()
}

// Measure emits all figures of configuration distribution.
func Measure(emit emit) {
	var target sync.WaitGroup
	var l load
	target.Go(func() { l = targetLoad() })
	for _, size := range []int{18, 256, 1000} {
		for _, s := range scenarios {
			measureTimes(emit, s, size)
		}
	}
	for _, size := range []int{18, 256, 1000} {
		measureLoad(emit, size)
	}
	target.Wait()
	reportTarget(emit, l)
}

// sample holds the values of the system and the baseline for one seed.
type sample struct {
	value, baseline float64
	seed            uint64
}

func measureTimes(emit emit, s scenario, size int) {
	bound := 9000.0
	if size == 18 {
		bound = 2000
	}
	worst, p99 := make([]sample, seedCount), make([]sample, seedCount)
	eachSeed(func(i int, seed uint64) {
		ours := runTimes(s, size, seed, false)
		base := runTimes(s, size, seed, true)
		worst[i] = sample{millis(ours[len(ours)-1]), millis(base[len(base)-1]), seed}
		p99[i] = sample{millis(quantile(ours, 0.99)), millis(quantile(base, 0.99)), seed}
	})
	report(emit, "convergence worst, "+s.name, worst, "ms", size, bound)
	report(emit, "convergence p99, "+s.name, p99, "ms", size, bound)
}

func runTimes(s scenario, size int, seed uint64, poll bool) []time.Duration {
	f := newFleet(size, seed, poll)
	f.waitInitialVersion()
	ts := s.run(f)
	slices.Sort(ts)
	return ts
}

// report emits the worst seed's and the median seed's sample; lower is better for all figures here.
func report(emit emit, name string, samples []sample, unit string, size int, bound float64) {
	slices.SortFunc(samples, func(a, b sample) int {
		switch {
		case a.value < b.value:
			return -1
		case a.value > b.value:
			return 1
		}
		return 0
	})
	for _, c := range []struct {
		which string
		s     sample
	}{{"worst seed", samples[len(samples)-1]}, {"median seed", samples[len(samples)/2]}} {
		emit(fmt.Sprintf("%s (%s)", name, c.which), c.s.value, unit, c.s.baseline, baselineName, size, c.s.seed, bound, "lower")
	}
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// quantile returns the q-quantile of sorted values.
func quantile(sorted []time.Duration, q float64) time.Duration {
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
