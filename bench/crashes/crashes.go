package crashes

import (
	"time"

	"wisteriaspoke.example/bench/reporter"
	"wisteriaspoke.example/mesh/guard/scenario"
)

func init() { reporter.Register("crashes", 60, Measure) }

// Bounds of docs/design.md and of the crash guard.
const (
	crashBound   = 2.0
	refusedBound = 0.0 // per cent after the third try
)

const (
	seeds   = 5
	resends = 100
	// perNode is the number of innocent calls for each node, over the span.
	perNode = 200
	span    = 4 * time.Second
	rest    = 6 * time.Second
)

// mesh is the size of a mesh; regions have two data centres each.
type mesh struct{ regions, nodes int }

var meshes = []mesh{{3, 1}, {3, 3}, {5, 10}}

// figures are the worst of several seeds.
type figures struct {
	crashes float64
	refused float64 // per cent of innocent calls
	wait    float64 // milliseconds until an innocent call has run
	seed    uint64  // with the most crashes
}

// Measure emits the crashes by one bad request that is resent through all nodes, and what innocent calls lose by it.
func Measure(emit reporter.Emit) { measure(emit, meshes, seeds) }

func measure(emit reporter.Emit, meshes []mesh, seeds uint64) {
	for _, s := range meshes {
		size := s.regions * 2 * s.nodes
		shape := scenario.Config{Regions: s.regions, DataCentres: 2, Nodes: s.nodes, Unguarded: true}
		without := worst(shape, size, seeds) // and without marks that could be late
		shape.Unguarded = false
		for _, c := range []struct {
			name string
			late time.Duration // on each of three hops
		}{{"", 0}, {"_late", 900 * time.Millisecond}} {
			shape.MaxDelay = c.late
			with := worst(shape, size, seeds)
			emit("crashes"+c.name, with.crashes, "crashes", without.crashes, "none", size, with.seed, crashBound, "lower")
			emit("crashes"+c.name+"_refused", with.refused, "percent", without.refused, "none", size, with.seed, refusedBound, "lower")
			emit("crashes"+c.name+"_wait", with.wait, "ms", without.wait, "none", size, with.seed, 0, "lower")
		}
	}
}

func worst(s scenario.Config, size int, seeds uint64) figures {
	var f figures
	for seed := range seeds {
		a := scenario.Attack{
			Culprits: 1, Resends: resends, Callers: 1, Innocents: perNode * size, DistinctInnocents: perNode * size / 2, Duration: span,
		}
		r := a.Run(scenario.New(seed+1, s), rest)
		// A call that has not run at the end counts as refused.
		refused := 100 * float64(max(r.Refused, r.Innocents-r.Completed)) / float64(r.Innocents)
		if n := float64(r.MaxCrashes); n > f.crashes || seed == 0 {
			f.crashes, f.seed = n, seed+1
		}
		f.refused = max(f.refused, refused)
		f.wait = max(f.wait, float64(r.MaxLatency.Milliseconds()))
	}
	return f
}
