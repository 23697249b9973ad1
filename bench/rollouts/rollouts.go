package rollouts

import (
	"slices"
	"sync"
	"time"

	"wisteriaspoke.example/mesh/roller/trial"
)

// workers limits the number of concurrent trials, because the machine is shared.
const workers = 4

const baselineName = "steps by time, error threshold 5%"

// Emit records one figure with the baseline's value in the same run, and its bound.
type Emit = func(name string, value float64, unit string, baseline float64, against string, size int, seed uint64, bound float64, better string)

// Measure runs all scenarios and emits their figures. Shares are in percent.
func Measure(emit Emit) {
	var all summary
	for _, k := range scenarios {
		s := run(k)
		s.emit(k, emit)
		all.add(k, s)
	}
	all.emit(emit)
}

// pair holds the reports of the system and the baseline for one seed.
type pair struct{ system, baseline trial.Report }

type results []pair

func run(k scenario) results {
	rs := make(results, k.runs)
	seeds := make(chan int)
	var done sync.WaitGroup
	for range workers {
		done.Go(func() {
			for i := range seeds {
				seed := uint64(i + 1)
				rs[i] = pair{newTrial(k, seed, false).Run(), newTrial(k, seed, true).Run()}
			}
		})
	}
	for i := range k.runs {
		seeds <- i
	}
	close(seeds)
	done.Wait()
	return rs
}

func (rs results) emit(k scenario, emit Emit) {
	e := func(name string, unit string, bound float64, better string, figure func([]trial.Report) float64) {
		emit("rollouts."+k.name+"."+name, figure(rs.systems()), unit, figure(rs.baselines()), baselineName,
			nodesPerDataCentre*dataCentres, 1, bound, better)
	}
	if k.good {
		e("done", "%", 99, "higher", percent(trial.Report.DoneInTime))
		e("takenback", "%", 1, "lower", percent(trial.Report.TakenBack))
		return
	}
	e("takenback", "%", 99, "higher", percent(trial.Report.TakenBack))
	e("harmed.median", "%", 1, "lower", scaled(median, trial.Report.HarmedShare))
	e("harmed.worst", "%", 1, "lower", scaled(worst, trial.Report.HarmedShare))
	e("harmed.running.median", "%", 1, "lower", scaled(median, trial.Report.HarmedShareUntilEnd))
	e("harmed.running.worst", "%", 1, "lower", scaled(worst, trial.Report.HarmedShareUntilEnd))
	e("reaction.worst", "ms", 3000, "lower", slowest)
}

func (rs results) systems() []trial.Report {
	return rs.selectReports(func(p pair) trial.Report { return p.system })
}
func (rs results) baselines() []trial.Report {
	return rs.selectReports(func(p pair) trial.Report { return p.baseline })
}

func (rs results) selectReports(of func(pair) trial.Report) []trial.Report {
	reports := make([]trial.Report, 0, len(rs))
	for _, p := range rs {
		reports = append(reports, of(p))
	}
	return reports
}

// summary combines the results of all scenarios.
type summary struct{ good, bad results }

func (s *summary) add(k scenario, rs results) {
	if k.good {
		s.good = append(s.good, rs...)
	} else {
		s.bad = append(s.bad, rs...)
	}
}

func (s *summary) emit(emit Emit) {
	e := func(name string, unit string, bound float64, better string, rs results, figure func([]trial.Report) float64) {
		emit("rollouts.all."+name, figure(rs.systems()), unit, figure(rs.baselines()), baselineName,
			nodesPerDataCentre*dataCentres, 1, bound, better)
	}
	e("good.done", "%", 99, "higher", s.good, percent(trial.Report.DoneInTime))
	e("good.takenback", "%", 1, "lower", s.good, percent(trial.Report.TakenBack))
	e("bad.takenback", "%", 99, "higher", s.bad, percent(trial.Report.TakenBack))
	e("bad.harmed.median", "%", 1, "lower", s.bad, scaled(median, trial.Report.HarmedShare))
	e("bad.harmed.worst", "%", 1, "lower", s.bad, scaled(worst, trial.Report.HarmedShare))
	e("reaction.worst", "ms", 3000, "lower", s.bad, slowest)
	e("promises.broken", "count", 0, "lower", slices.Concat(s.good, s.bad), trialsWithViolations)
}

func percent(matches func(trial.Report) bool) func([]trial.Report) float64 {
	return func(reports []trial.Report) float64 {
		n := 0
		for _, r := range reports {
			if matches(r) {
				n++
			}
		}
		return 100 * float64(n) / float64(len(reports))
	}
}

func scaled(pick func([]float64) float64, of func(trial.Report) float64) func([]trial.Report) float64 {
	return func(reports []trial.Report) float64 {
		values := make([]float64, 0, len(reports))
		for _, r := range reports {
			values = append(values, 100*of(r))
		}
		return pick(values)
	}
}

func median(values []float64) float64 {
	slices.Sort(values)
	return values[len(values)/2]
}

func worst(values []float64) float64 { return slices.Max(values) }

// slowest returns the longest reaction time in milliseconds, from sufficient evidence to the version's last call.
func slowest(reports []trial.Report) float64 {
	longest := time.Duration(0)
	for _, r := range reports {
		longest = max(longest, r.ReactionTime())
	}
	return float64(longest) / float64(time.Millisecond)
}

// trialsWithViolations counts the trials in which the oracle found a violation.
func trialsWithViolations(reports []trial.Report) float64 {
	n := 0.0
	for _, r := range reports {
		if len(r.Violations()) > 0 {
			n++
		}
	}
	return n
}
