package crashes

import (
	"time"

	"wisteriaspoke.example/bench/reporter"
	"wisteriaspoke.example/mesh/guard/scenario"
)

func init() { reporter.Register("crashes", 60, Measure) }

// Limits from docs/design.md and of the crash guard.
const (
	crashBound          = 2.0
	refusedBoundPercent = 0.0 // after the third attempt
)

const (
	seeds   = 5
	resends = 100
	// innocentCallsPerNode is the number of innocent calls per node during attackDuration.
	innocentCallsPerNode = 200
	attackDuration       = 4 * time.Second
	settleTime           = 6 * time.Second
)

// meshSize is the number of regions, with two data centres each, and of nodes per data centre.
type meshSize struct{ regions, nodes int }

var meshSizes = []meshSize{{3, 1}, {3, 3}, {5, 10}}

// worstCase holds the worst values over several seeds.
type worstCase struct {
	crashes        float64
	refusedPercent float64 // of innocent calls
	maxWaitMillis  float64 // until an innocent call has completed
	seed           uint64  // with the most crashes
}

// Measure emits the crashes caused by one bad request that is resent through all nodes, and its effect on innocent
// calls.
func Measure(emit reporter.Emit) { measure(emit, meshSizes, seeds) }

func measure(emit reporter.Emit, sizes []meshSize, seeds uint64) {
	for _, s := range sizes {
		size := s.regions * 2 * s.nodes
		config := scenario.Config{Regions: s.regions, DataCentres: 2, Nodes: s.nodes, Unguarded: true}
		unguarded := worstOfSeeds(config, size, seeds) // without marks, MaxDelay has no effect
		config.Unguarded = false
		for _, c := range []struct {
			name     string
			maxDelay time.Duration // per hop, over three hops
		}{{"", 0}, {"_late", 900 * time.Millisecond}} {
			config.MaxDelay = c.maxDelay
			guarded := worstOfSeeds(config, size, seeds)
			emit("crashes"+c.name, guarded.crashes, "crashes", unguarded.crashes, "none", size, guarded.seed, crashBound, "lower")
			emit("crashes"+c.name+"_refused", guarded.refusedPercent, "percent", unguarded.refusedPercent, "none", size, guarded.seed, refusedBoundPercent, "lower")
			emit("crashes"+c.name+"_wait", guarded.maxWaitMillis, "ms", unguarded.maxWaitMillis, "none", size, guarded.seed, 0, "lower")
		}
	}
}

func worstOfSeeds(s scenario.Config, size int, seeds uint64) worstCase {
	var f worstCase
	for seed := range seeds {
		a := scenario.Attack{
			Culprits: 1, Resends: resends, Callers: 1, Innocents: innocentCallsPerNode * size, DistinctInnocents: innocentCallsPerNode * size / 2, Duration: attackDuration,
		}
		r := a.Run(scenario.New(seed+1, s), settleTime)
		// A call that has not run at the end counts as refused.
		refused := 100 * float64(max(r.Refused, r.Innocents-r.Completed)) / float64(r.Innocents)
		if n := float64(r.MaxCrashes); n > f.crashes || seed == 0 {
			f.crashes, f.seed = n, seed+1
		}
		f.refusedPercent = max(f.refusedPercent, refused)
		f.maxWaitMillis = max(f.maxWaitMillis, float64(r.MaxLatency.Milliseconds()))
	}
	return f
}
