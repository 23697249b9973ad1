package meter

import (
	"context"
	"sync/atomic"

	"wisteriaspoke.example/mesh/kernel"
)

// Kinds of calls, for Count.
const (
	Get = iota
	List
	Create
	Update
	Delete
	Watch
	Throttled // calls of any kind that were refused for exceeding the rate
	kindCount
)

var kindNames = [kindCount]string{"get", "list", "create", "update", "delete", "watch", "throttled"}

func init() {
	kernel.Register("objects-meter", 10, func() kernel.Part { return &Meter{} })
}

// Meter holds one counter for each kind of call, and the number of open watches.
type Meter struct {
	calls       [kindCount]atomic.Int64
	openWatches atomic.Int64
}

// Start implements kernel.Part; nothing runs in the background.
func (m *Meter) Start(context.Context, *kernel.Kernel) (<-chan error, error) { return nil, nil }

// Count adds one call of the kind.
func (m *Meter) Count(kind int) { m.calls[kind].Add(1) }

// TrackWatch counts a watch as open until done is called.
func (m *Meter) TrackWatch() (done func()) {
	m.openWatches.Add(1)
	return func() { m.openWatches.Add(-1) }
}

// Counts returns the number of calls since the start by name of kind, and the number of open watches as "waiting".
func (m *Meter) Counts() map[string]int64 {
	counts := map[string]int64{"waiting": m.openWatches.Load()}
	for i := range m.calls {
		counts[kindNames[i]] = m.calls[i].Load()
	}
	return counts
}
