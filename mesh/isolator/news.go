package isolator

import (
	"context"
	"time"

	"wisteriaspoke.example/mesh/effect"
	"wisteriaspoke.example/mesh/guard"
	"wisteriaspoke.example/mesh/mark"
)

// news is marks of this node on their way to all others. The calls of one crash end almost together and share one
// batch or two.
type news struct {
	marks []mark.Mark
	done  chan struct{} // closed when all nodes have confirmed, or are given up
}

// spread queues the marks; the mutex is held.
func (i *Isolator) spread(ms []mark.Mark) *news {
	if i.waiting == nil {
		i.waiting = &news{done: make(chan struct{})}
		select {
		case i.wake <- struct{}{}:
		default:
		}
	}
	i.waiting.marks = append(i.waiting.marks, ms...)
	return i.waiting
}

// flush sends what is queued.
func (i *Isolator) flush(now time.Time) []effect.Effect {
	n := i.waiting
	if n == nil {
		return nil
	}
	i.waiting = nil
	batch, effects := i.spreader.Spread(now, n.marks)
	i.sent[batch] = n
	return effects
}

// settle ends the waits for batches that are confirmed or given up.
func (i *Isolator) settle() {
	for batch, n := range i.sent {
		if !i.spreader.Pending(batch) {
			delete(i.sent, batch)
			close(n.done)
		}
	}
}

// await returns when all nodes have the marks, after the longest time that they take, or when the call has no time left.
func (n *news) await(ctx context.Context) {
	limit := time.NewTimer(guard.MaxSpreadTime)
	defer limit.Stop()
	select {
	case <-n.done:
	case <-limit.C:
	case <-ctx.Done():
	}
}
