package limiter

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"wisteriaspoke.example/mesh/route"
)

// Request describes a call that asks for a slot.
type Request struct {
	// Route selects the latency window of the call, as latency differs between routes.
	Route  string
	Tenant string
	Class  route.Class
	// Deadline is when the caller stops waiting for the answer.
	Deadline time.Time
}

// Limiter admits calls to one upstream. If a slot is free and the queue is empty, Acquire takes no lock.
type Limiter struct {
	slots        int
	limit        atomic.Int32
	running      atomic.Int32
	waiting      atomic.Int32 // length of queue; higher while a call is being added
	leaving      atomic.Bool
	drained      chan struct{} // closed once leaving is set and no call runs
	closeDrained sync.Once

	// windows holds the latency window of each route, so that a change in the mix of fast and slow calls is not
	// mistaken for a change of load. The map is copied when a route is added.
	windows atomic.Pointer[map[string]*routeWindow]
	peak    atomic.Int32 // highest concurrency since the limit was adapted
	// mean is the smoothed mean latency of all calls, in nanoseconds; zero before the first window.
	mean atomic.Int64

	// mutex guards queue and the adaptation of the limit at the end of a window.
	mutex sync.Mutex
	queue queue
}

// routeWindow accumulates the latencies of the current window of one route.
type routeWindow struct {
	ended    atomic.Int32
	elapsed  atomic.Int64
	bestMean time.Duration // guarded by the limiter's mutex
}

// maxRoutes bounds the number of windows, as routes change with the configuration; beyond it, all are discarded.
const maxRoutes = 1024

// New returns a limiter for an upstream that runs at most slots calls at once; the queue holds as many, at least 2.
func New(slots int) *Limiter {
	slots = max(1, slots)
	l := &Limiter{slots: slots, drained: make(chan struct{})}
	l.limit.Store(int32(slots))
	l.queue.capacity = max(2, slots)
	l.windows.Store(&map[string]*routeWindow{})
	return l
}

// Limit returns the current limit of concurrent calls, at least 1.
func (l *Limiter) Limit() int { return int(l.limit.Load()) }

// MeanServiceTime returns the smoothed latency of the upstream, or zero before the first window has ended.
func (l *Limiter) MeanServiceTime() time.Duration { return time.Duration(l.mean.Load()) }

// Outstanding returns the number of running and waiting calls.
func (l *Limiter) Outstanding() int { return int(l.running.Load() + l.waiting.Load()) }

// Acquire waits for a slot and returns the empty Refusal once the call has it; Release must then be called.
func (l *Limiter) Acquire(ctx context.Context, r Request) Refusal {
	if l.leaving.Load() {
		return Leaving
	}
	if !time.Now().Before(r.Deadline) {
		return DeadlineTooSoon
	}
	if l.waiting.Load() == 0 && l.tryTakeSlot() {
		return l.confirmAdmission()
	}
	return l.wait(ctx, r)
}

// confirmAdmission releases the slot again if Leave was called in between. Leave sets leaving before it reads running,
// so at least one of the two sees the other's change.
func (l *Limiter) confirmAdmission() Refusal {
	if !l.leaving.Load() {
		return ""
	}
	l.releaseSlot()
	return Leaving
}

// tryTakeSlot reserves a slot if one is free.
func (l *Limiter) tryTakeSlot() bool {
	for {
		n := l.running.Load()
		if n >= l.limit.Load() {
			return false
		}
		if l.running.CompareAndSwap(n, n+1) {
			l.raisePeak(n + 1)
			return true
		}
	}
}

func (l *Limiter) raisePeak(n int32) {
	for {
		p := l.peak.Load()
		if p >= n || l.peak.CompareAndSwap(p, n) {
			return
		}
	}
}

func (l *Limiter) wait(ctx context.Context, r Request) Refusal {
	t := &ticket{tenant: r.Tenant, class: r.Class, deadline: r.Deadline, granted: make(chan Refusal, 1)}
	if refusal := l.enqueue(t); refusal != "" {
		return refusal
	}
	timer := time.NewTimer(time.Until(r.Deadline))
	defer timer.Stop()
	select {
	case refusal := <-t.granted:
		return l.confirmGrant(refusal)
	case <-ctx.Done():
	case <-timer.C:
	}
	l.mutex.Lock()
	removed := l.queue.remove(t)
	if removed {
		l.waiting.Add(-1)
	}
	l.mutex.Unlock()
	if removed {
		return DeadlineTooSoon
	}
	// The result was sent at the same time. A granted slot is released, as the caller no longer waits.
	if <-t.granted == "" {
		l.releaseSlot()
	}
	return DeadlineTooSoon
}

func (l *Limiter) confirmGrant(r Refusal) Refusal {
	if r != "" {
		return r
	}
	return l.confirmAdmission()
}

func (l *Limiter) enqueue(t *ticket) Refusal {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.leaving.Load() {
		return Leaving
	}
	displaced, refusal := l.queue.push(t, time.Now(), l.MeanServiceTime(), l.Limit())
	if refusal != "" {
		return refusal
	}
	if displaced != nil {
		displaced.granted <- displacementRefusal(displaced, t)
	} else {
		l.waiting.Add(1)
	}
	// A slot released before waiting was incremented was not granted to a waiting call.
	l.grantFreeSlots()
	return ""
}

// displacementRefusal returns why a queued call was displaced: by a higher class, or by a tenant with fewer calls.
func displacementRefusal(displaced, by *ticket) Refusal {
	if displaced.class == by.class {
		return OverFairShare
	}
	return Full
}

// grantFreeSlots admits waiting calls while slots are free; the caller holds the mutex.
func (l *Limiter) grantFreeSlots() {
	for l.queue.length > 0 && l.tryTakeSlot() {
		next, late := l.queue.pop(time.Now())
		for _, t := range late {
			l.waiting.Add(-1)
			t.granted <- DeadlineTooSoon
		}
		if next == nil {
			l.running.Add(-1)
			return
		}
		l.waiting.Add(-1)
		next.granted <- ""
	}
}

// Release frees the slot of a call that took the given time in the upstream. measured is set for normal responses and
// timeouts only: fast errors say nothing about load and would set a best latency that no normal call reaches.
func (l *Limiter) Release(route string, took time.Duration, measured bool) {
	if measured {
		w := l.windowOf(route)
		w.elapsed.Add(int64(took))
		if w.ended.Add(1) == windowCalls {
			l.adapt(w)
		}
	}
	l.releaseSlot()
}

func (l *Limiter) windowOf(route string) *routeWindow {
	if w := (*l.windows.Load())[route]; w != nil {
		return w
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	current := *l.windows.Load()
	if w := current[route]; w != nil {
		return w
	}
	next := map[string]*routeWindow{}
	if len(current) < maxRoutes {
		next = maps.Clone(current)
	}
	w := &routeWindow{}
	next[route] = w
	l.windows.Store(&next)
	return w
}

// adapt ends a window. Only the call that completes the window calls it, so the mutex is rarely contended.
func (l *Limiter) adapt(w *routeWindow) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	mean := time.Duration(w.elapsed.Swap(0) / int64(w.ended.Swap(0)))
	old := time.Duration(l.mean.Load())
	if old == 0 {
		old = mean
	}
	l.mean.Store(int64(old + (mean-old)/8))
	g := gradient{limit: l.Limit(), bestMean: w.bestMean}.next(mean, int(l.peak.Swap(0)), l.slots)
	w.bestMean = g.bestMean
	l.limit.Store(int32(g.limit))
}

func (l *Limiter) releaseSlot() {
	running := l.running.Add(-1)
	if l.waiting.Load() > 0 {
		l.mutex.Lock()
		l.grantFreeSlots()
		l.mutex.Unlock()
	}
	if running == 0 && l.leaving.Load() {
		l.closeDrained.Do(func() { close(l.drained) })
	}
}

// Leave refuses all waiting calls and all new ones from now on.
func (l *Limiter) Leave() {
	l.leaving.Store(true)
	l.mutex.Lock()
	for _, t := range l.queue.clear() {
		l.waiting.Add(-1)
		t.granted <- Leaving
	}
	l.mutex.Unlock()
	if l.running.Load() == 0 {
		l.closeDrained.Do(func() { close(l.drained) })
	}
}

// Drained returns a channel that is closed once Leave was called and the last running call has ended.
func (l *Limiter) Drained() <-chan struct{} { return l.drained }
