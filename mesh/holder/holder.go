package holder

import (
	"context"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// CountedFrom is the size above which a body counts. The memory of smaller ones is bounded by the number of calls.
	CountedFrom = 64 << 10
	// reclaimInterval is the shortest time between two requests for memory that slow readers hold. What the first of them
	// frees is available after a moment.
	reclaimInterval = 20 * time.Millisecond
	// dropInterval is the shortest time between two searches for bodies that were dropped.
	dropInterval = time.Second
)

// Reason is the reason of answers to calls whose body finds no memory.
const Reason = "room"

// RetryAfter is when the caller of a refused call should return.
const RetryAfter = 250 * time.Millisecond

var (
	bytesHeld   = metrics.GetOrRegisterGauge("bodies.held", nil)
	refused     = metrics.GetOrRegisterCounter("bodies.refused", nil)
	collections = metrics.GetOrRegisterCounter("bodies.collections", nil)
	failed      = metrics.GetOrRegisterCounter("bodies.failed", nil)
)

// Holder counts the memory of large bodies. A nil Holder has no limit.
type Holder struct {
	limit       int64
	reclaim     atomic.Pointer[func()]
	reclaimedAt atomic.Int64 // Unix nanoseconds
	searchedAt  atomic.Int64 // Unix nanoseconds
	collecting  sync.Mutex   // held while garbage is collected

	mutex   sync.Mutex // guards the following
	used    int64
	queue   []*waiter // in the order in which they get memory
	garbage garbage
}

// New returns a holder of as many bytes as limit.
func New(limit int64) *Holder { return &Holder{limit: limit} }

// Claim asks for the memory of one body.
type Claim struct {
	Bytes    int64         // the memory to take
	Free     int64         // the memory that must be free, if it is more than Bytes
	Patience time.Duration // the time after which slow readers are asked for memory
	Wait     time.Duration // the time after which the claim fails
}

// waiter is a claim that waits for memory.
type waiter struct {
	bytes, free int64
	granted     chan struct{} // closed when the bytes are counted for it
}

// SetReclaim sets the function that frees memory held by the slowest reader; it must not block.
func (h *Holder) SetReclaim(f func()) {
	if h != nil {
		h.reclaim.Store(&f)
	}
}

// Fits reports whether a body of the size would find memory now, and if not asks slow readers for memory.
func (h *Holder) Fits(bytes int64) bool {
	if h == nil || bytes <= CountedFrom {
		return true
	}
	h.mutex.Lock()
	ok := len(h.queue) == 0 && h.used+bytes <= h.limit
	h.mutex.Unlock()
	if !ok {
		refused.Inc(1)
		h.Reclaim()
	}
	return ok
}

// Take returns the claimed memory once it is free, or false if it is not in time.
func (h *Holder) Take(ctx context.Context, c Claim) (*Hold, bool) {
	if h == nil {
		return nil, true
	}
	if !h.acquire(ctx, c, false) {
		return nil, false
	}
	h.collect()
	return newHold(h, c.Bytes), true
}

// Force takes memory whether or not it is free, for bodies that are bounded elsewhere.
func (h *Holder) Force(bytes int64) *Hold {
	if h == nil {
		return nil
	}
	h.add(bytes)
	return newHold(h, bytes)
}

func (h *Holder) add(bytes int64) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.used += bytes
	bytesHeld.Update(h.used)
}

// Grow adds the claimed memory to a hold. It comes before claims for new bodies, as the hold's body is in memory already.
func (h *Hold) Grow(ctx context.Context, c Claim) bool {
	if h == nil {
		return true
	}
	if !h.share.holder.acquire(ctx, c, true) {
		return false
	}
	h.share.holder.collect()
	h.share.mutex.Lock()
	h.share.bytes += c.Bytes
	h.share.mutex.Unlock()
	return true
}

// acquire counts the claimed bytes as soon as they are free, in turn unless the claim is urgent.
func (h *Holder) acquire(ctx context.Context, c Claim, urgent bool) bool {
	w := &waiter{bytes: c.Bytes, free: max(c.Bytes, c.Free), granted: make(chan struct{})}
	h.mutex.Lock()
	if urgent {
		h.queue = slices.Insert(h.queue, 0, w)
	} else {
		h.queue = append(h.queue, w)
	}
	h.grant()
	h.mutex.Unlock()
	select {
	case <-w.granted:
		return true
	default:
	}
	if h.await(ctx, w, c) {
		return true
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	i := slices.Index(h.queue, w)
	if i < 0 {
		return true
	}
	h.queue = slices.Delete(h.queue, i, i+1)
	// Those behind it may need less.
	h.grant()
	failed.Inc(1)
	return false
}

// await reports whether the memory was granted before the claim's time or ctx ended.
func (h *Holder) await(ctx context.Context, w *waiter, c Claim) bool {
	timeout := time.NewTimer(c.Wait)
	defer timeout.Stop()
	reclaim := time.NewTimer(c.Patience)
	defer reclaim.Stop()
	for {
		select {
		case <-w.granted:
			return true
		case <-reclaim.C:
			h.Reclaim()
			reclaim.Reset(reclaimInterval)
		case <-timeout.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// grant counts the bytes of those waiters whose turn has come; the caller holds the mutex.
func (h *Holder) grant() {
	for len(h.queue) > 0 && h.used+h.queue[0].free <= h.limit {
		w := h.queue[0]
		h.queue = slices.Delete(h.queue, 0, 1)
		h.used += w.bytes
		close(w.granted)
	}
	bytesHeld.Update(h.used)
}

func (h *Holder) free(bytes int64) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.used -= bytes
	h.garbage.add(bytes, cycles())
	h.grant()
}

// Reclaim asks for memory that slow readers hold, unless that was done a moment ago.
func (h *Holder) Reclaim() {
	if h == nil {
		return
	}
	h.findDropped()
	f := h.reclaim.Load()
	if f == nil {
		return
	}
	now, last := time.Now().UnixNano(), h.reclaimedAt.Load()
	if now-last >= int64(reclaimInterval) && h.reclaimedAt.CompareAndSwap(last, now) {
		(*f)()
	}
}

// findDropped lets the runtime release the bodies that nobody needs any more, at most once in dropInterval: without a
// collection they would keep their memory.
func (h *Holder) findDropped() {
	now, last := time.Now().UnixNano(), h.searchedAt.Load()
	if now-last >= int64(dropInterval) && h.searchedAt.CompareAndSwap(last, now) {
		runtime.GC()
	}
}

// Used returns the bytes that are held.
func (h *Holder) Used() int64 {
	if h == nil {
		return 0
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.used
}
