package distribution

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// emit takes one figure.
type emit = func(name string, value float64, unit string, baseline float64, against string, size int, seed uint64, bound float64, better string)

const (
	against = "poll"
	seeds   = 3
	// limit is how long a measurement waits for a version; a node that lacks it then counts with this time.
	limit = 30 * time.Second
)

// scenario is a failure around the acceptance of a version; run returns each node's time to the version.
type scenario struct {
	name string
	run  func(f *fleet) []time.Duration
}

var scenarios = []scenario{
	{"quiet", quiet},
	{"half of the nodes die", halfDie},
	{"both relays of a data centre die", relaysDie},
	{"region cut for 60 s, from its return", regionCut},
	{"store out after acceptance", storeOut},
}

// quiet accepts five versions at random times.
func quiet(f *fleet) []time.Duration {
	var all []time.Duration
	for range 5 {
		f.sim.Run(time.Duration(f.sim.Rand().Int64N(int64(2 * time.Second))))
		f.next()
		f.wait(limit)
		all = append(all, f.times(time.Time{}, limit)...)
	}
	return all
}

func halfDie(f *fleet) []time.Duration {
	f.next()
	f.sim.Run(time.Duration(f.sim.Rand().Int64N(int64(50 * time.Millisecond))))
	ns := slices.Clone(f.sim.Nodes())
	f.sim.Rand().Shuffle(len(ns), func(i, j int) { ns[i], ns[j] = ns[j], ns[i] })
	for _, n := range ns[:len(ns)/2] {
		f.sim.Kill(n)
	}
	f.wait(limit)
	return f.times(time.Time{}, limit)
}

func relaysDie(f *fleet) []time.Duration {
	f.next()
	f.sim.Run(time.Duration(f.sim.Rand().Int64N(int64(50 * time.Millisecond))))
	dc := f.regions[1] + "-b"
	victims := []string{f.holder(dc, 0), f.holder(dc, 1)}
	if victims[0] == "" {
		// The baseline has no relays; two of its nodes die.
		victims = []string{dc + "-n0000", dc + "-n0001"}
	}
	for _, n := range victims {
		f.sim.Kill(n)
	}
	f.wait(limit)
	return f.times(time.Time{}, limit)
}

func regionCut(f *fleet) []time.Duration {
	f.cut = f.regions[2]
	f.sim.Run(10 * time.Second)
	f.next()
	f.sim.Run(50 * time.Second)
	f.cut = ""
	healed := f.sim.Now()
	f.wait(limit)
	return f.times(healed, limit)
}

func storeOut(f *fleet) []time.Duration {
	f.next()
	f.sim.Run(time.Duration(f.sim.Rand().Int64N(int64(50 * time.Millisecond))))
	f.sim.Store().SetUnavailable(true)
	f.sim.Run(10 * time.Second)
	f.sim.Store().SetUnavailable(false)
	back := f.sim.Now()
	f.wait(limit)
	return f.times(back, limit)
}

// eachSeed runs the measurement with all seeds at the same time and returns when all are done.
func eachSeed(run func(i int, seed uint64)) {
	var group sync.WaitGroup
	for i := range seeds {
		group.Go(func() { run(i, uint64(i+1)) })
	}
	group.Wait()
}

// Measure emits all figures of the distribution.
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

// sample is one run's value with the baseline's and the seed.
type sample struct {
	value, baseline float64
	seed            uint64
}

func measureTimes(emit emit, s scenario, size int) {
	bound := 9000.0
	if size == 18 {
		bound = 2000
	}
	worst, p99 := make([]sample, seeds), make([]sample, seeds)
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
	f.settle()
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
		emit(fmt.Sprintf("%s (%s)", name, c.which), c.s.value, unit, c.s.baseline, against, size, c.s.seed, bound, "lower")
	}
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// quantile returns the value at the share q of sorted values.
func quantile(sorted []time.Duration, q float64) time.Duration {
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
