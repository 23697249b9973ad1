package isolator

import (
	"context"
	"time"

	"wisteriaspoke.example/mesh/effect"
	"wisteriaspoke.example/mesh/guard"
	"wisteriaspoke.example/mesh/mark"
)

// markBatch is marks of this node that are being sent to all other nodes. The calls of one crash end almost together
// and share one or two batches.
type markBatch struct {
	marks []mark.Mark
	done  chan struct{} // closed when all nodes have confirmed the marks, or the spreader has given up
}

// queueMarks adds the marks to the queued batch and returns it. The caller must hold the mutex.
func (i *Isolator) queueMarks(ms []mark.Mark) *markBatch {
	if i.queued == nil {
		i.queued = &markBatch{done: make(chan struct{})}
		select {
		case i.wake <- struct{}{}:
		default:
		}
	}
	i.queued.marks = append(i.queued.marks, ms...)
	return i.queued
}

// flush sends the queued marks.
func (i *Isolator) flush(now time.Time) []effect.Effect {
	b := i.queued
	if b == nil {
		return nil
	}
	i.queued = nil
	number, effects := i.spreader.Spread(now, b.marks)
	i.unconfirmed[number] = b
	return effects
}

// endWaits ends the waits for batches that are confirmed or given up.
func (i *Isolator) endWaits() {
	for number, b := range i.unconfirmed {
		if !i.spreader.Pending(number) {
			delete(i.unconfirmed, number)
			close(b.done)
		}
	}
}

// await returns when all nodes have the marks, after guard.MaxSpreadTime, or when ctx ends.
func (b *markBatch) await(ctx context.Context) {
	limit := time.NewTimer(guard.MaxSpreadTime)
	defer limit.Stop()
	select {
	case <-b.done:
	case <-limit.C:
	case <-ctx.Done():
	}
}
