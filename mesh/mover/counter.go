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
	calls, failures, slow atomic.Uint32
}

// counter counts the outcomes of this node's calls for one move.
type counter struct {
	cells sync.Map // cellKey -> *cellCounts
}

func (c *counter) add(k cellKey, failed, slow bool) {
	counts, ok := c.cells.Load(k)
	if !ok {
		counts, _ = c.cells.LoadOrStore(k, &cellCounts{})
	}
	n := counts.(*cellCounts)
	n.calls.Add(1)
	if failed {
		n.failures.Add(1)
	}
	if slow {
		n.slow.Add(1)
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
			Calls: n.calls.Load(), Failures: n.failures.Load(), Slow: n.slow.Load(),
		})
	}
	return cells, calls
}
