package mover

import (
	"sync"
	"sync/atomic"

	"wisteriaspoke.example/mesh/canary"
)

// cellKey identifies one cell. Endpoints of the old version share one cell per rule, with an empty instance.
type cellKey struct {
	rule, instance string
	newVersion     bool
}

// cellCounts holds the outcomes of one cell; calls update it concurrently.
type cellCounts struct {
	calls, failures, slow, shed atomic.Uint32
}

// outcome is the outcome of one call.
type outcome struct {
	failed bool // it got a bad answer
	slow   bool
	shed   bool // the endpoint refused to run it
}

// counter counts the outcomes of this node's calls for one move.
type counter struct {
	cells sync.Map // cellKey -> *cellCounts
}

func (c *counter) add(k cellKey, o outcome) {
	counts, ok := c.cells.Load(k)
	if !ok {
		counts, _ = c.cells.LoadOrStore(k, &cellCounts{})
	}
	n := counts.(*cellCounts)
	n.calls.Add(1)
	if o.failed {
		n.failures.Add(1)
	}
	if o.slow {
		n.slow.Add(1)
	}
	if o.shed {
		n.shed.Add(1)
	}
}

// snapshot returns the counts of all cells and the sum of their calls.
func (c *counter) snapshot() ([]canary.OutcomeCounts, uint64) {
	var cells []canary.OutcomeCounts
	var calls uint64
	for k, v := range c.cells.Range {
		key, n := k.(cellKey), v.(*cellCounts)
		calls += uint64(n.calls.Load())
		cells = append(cells, canary.OutcomeCounts{
			Rule: key.rule, Instance: key.instance, NewVersion: key.newVersion,
			Calls: n.calls.Load(), Failures: n.failures.Load(), Slow: n.slow.Load(), Shed: n.shed.Load(),
		})
	}
	return cells, calls
}
