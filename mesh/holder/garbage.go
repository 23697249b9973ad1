package holder

import (
	"runtime"
	"runtime/metrics"
)

// garbageFraction is the fraction of the limit that released bodies may take until the runtime collects them. Callers that
// read fast let bodies become garbage faster than the runtime begins to collect on its own.
const garbageFraction = 0.5

// sureCycles is the number of ends of collections after which what was released before is collected: the first one may
// have begun before.
const sureCycles = 2

// garbage counts the bytes of bodies that were released and are not known to be collected.
type garbage struct {
	bytes int64
	cycle uint64 // of the last release
}

// add counts bytes that were released when the runtime had ended that many collections.
func (g *garbage) add(bytes int64, cycle uint64) {
	g.settle(cycle)
	g.bytes, g.cycle = g.bytes+bytes, cycle
}

// settle forgets what is collected after the cycle.
func (g *garbage) settle(cycle uint64) {
	if cycle >= g.cycle+sureCycles {
		g.bytes = 0
	}
}

// cycles returns how many collections the runtime has ended.
func cycles() uint64 {
	sample := []metrics.Sample{{Name: "/gc/cycles/total:gc-cycles"}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindUint64 {
		return 0
	}
	return sample[0].Value.Uint64()
}

// collect collects the garbage of released bodies if there is too much of it. It is called before a body is allocated.
func (h *Holder) collect() {
	if !h.tooMuchGarbage() {
		return
	}
	h.collecting.Lock()
	defer h.collecting.Unlock()
	if !h.tooMuchGarbage() {
		return
	}
	h.mutex.Lock()
	before := h.garbage.bytes
	h.mutex.Unlock()
	collections.Inc(1)
	runtime.GC()
	h.mutex.Lock()
	h.garbage.bytes = max(0, h.garbage.bytes-before)
	h.mutex.Unlock()
}

func (h *Holder) tooMuchGarbage() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.garbage.settle(cycles())
	return float64(h.garbage.bytes) > garbageFraction*float64(h.limit)
}

// Copied counts as garbage the bytes of a body that was copied, where the hold goes on with the copy.
func (h *Hold) Copied(bytes int64) {
	if h == nil {
		return
	}
	holder := h.share.holder
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	holder.garbage.add(bytes, cycles())
}
