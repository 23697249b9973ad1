package meter

import (
	"context"
	"sync/atomic"

	"wisteriaspoke.example/mesh/kernel"
)

// The kinds of calls.
const (
	Get = iota
	List
	Create
	Update
	Delete
	Watch
	Throttled // calls of any kind that were over the rate
	kinds
)

var names = [kinds]string{"get", "list", "create", "update", "delete", "watch", "throttled"}

func init() {
	kernel.Register("objects-meter", 10, func() kernel.Part { return &Meter{} })
}

// Meter holds one counter for each kind of call, and the number of watches that wait now.
type Meter struct {
	calls   [kinds]atomic.Int64
	waiting atomic.Int64
}

// Start has nothing to run.
func (m *Meter) Start(context.Context, *kernel.Kernel) (<-chan error, error) { return nil, nil }

// Count adds one call of the kind.
func (m *Meter) Count(kind int) { m.calls[kind].Add(1) }

// Wait counts a watch as waiting until done is called.
func (m *Meter) Wait() (done func()) {
	m.waiting.Add(1)
	return func() { m.waiting.Add(-1) }
}

// Counts returns the calls since the start by the name of their kind, and under "waiting" the open watches.
func (m *Meter) Counts() map[string]int64 {
	counts := map[string]int64{"waiting": m.waiting.Load()}
	for i := range m.calls {
		counts[names[i]] = m.calls[i].Load()
	}
	return counts
}
