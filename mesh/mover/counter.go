package mover

import (
	"sync"
	"sync/atomic"

	"wisteriaspoke.example/mesh/canary"
)

// cellKey names one cell. Only endpoints of the new version are told apart.
type cellKey struct {
	rule, instance string
	fresh          bool
}

// cellCounts are added to by calls.
type cellCounts struct {
	calls, failures, slow atomic.Uint32
}

// counter counts the answers of this node's calls for one move.
type counter struct {
	cells sync.Map // cellKey -> *cellCounts
}

func (c *counter) add(k cellKey, failed, slow bool) {
	found, ok := c.cells.Load(k)
	if !ok {
		found, _ = c.cells.LoadOrStore(k, &cellCounts{})
	}
	n := found.(*cellCounts)
	n.calls.Add(1)
	if failed {
		n.failures.Add(1)
	}
	if slow {
		n.slow.Add(1)
	}
}

// list returns the cells and the number of calls in them.
func (c *counter) list() ([]canary.OutcomeCounts, uint64) {
	var cells []canary.OutcomeCounts
	var calls uint64
	for k, v := range c.cells.Range {
		key, n := k.(cellKey), v.(*cellCounts)
		calls += uint64(n.calls.Load())
		cells = append(cells, canary.OutcomeCounts{
			Rule: key.rule, Instance: key.instance, NewVersion: key.fresh,
			Calls: n.calls.Load(), Failures: n.failures.Load(), Slow: n.slow.Load(),
		})
	}
	return cells, calls
}
