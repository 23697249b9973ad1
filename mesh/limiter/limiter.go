package limiter

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"wisteriaspoke.example/mesh/route"
)

// Request is what the limiter knows of a call.
type Request struct {
	// Route separates calls whose latency differs.
	Route  string
	Tenant string
	Class  route.Class
	// Deadline is when the caller stops waiting for the answer.
	Deadline time.Time
}

// Limiter admits calls to one upstream. A call that finds a free slot and no queue takes no lock.
type Limiter struct {
	slots   int
	limit   atomic.Int32
	running atomic.Int32
	waiting atomic.Int32 // length of queue, or more while a call is being added
	leaving atomic.Bool
	idle    chan struct{} // closed once leaving and nothing runs
	once    sync.Once

	// windows holds the latencies by route, as a change in the mix of cheap and dear calls must not look like a
	// change of load. It is copied for each new route.
	windows atomic.Pointer[map[string]*latencies]
	peak    atomic.Int32 // highest concurrency since the limit was adapted
	// mean is the smoothed mean latency of all calls, in nanoseconds; zero before the first window.
	mean atomic.Int64

	// mutex guards the queue, for calls that have to wait, and the end of a window.
	mutex sync.Mutex
	queue queue
}

// latencies is the current window of one route.
type latencies struct {
	ended   atomic.Int32
	elapsed atomic.Int64
	best    time.Duration // guarded by the limiter's mutex
}

// maxRoutes bounds the windows; beyond it, all are forgotten. Routes change with the configuration.
const maxRoutes = 1024

// New returns a limiter for an upstream that takes at most that many calls at once. As many calls may wait.
func New(slots int) *Limiter {
	slots = max(1, slots)
	l := &Limiter{slots: slots, idle: make(chan struct{})}
	l.limit.Store(int32(slots))
	l.queue.size = max(2, slots)
	l.windows.Store(&map[string]*latencies{})
	return l
}

// Limit returns how many calls may run at once at present, at least 1.
func (l *Limiter) Limit() int { return int(l.limit.Load()) }

// MeanServiceTime returns the smoothed latency of the upstream, or zero before the first calls.
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
	if l.waiting.Load() == 0 && l.take() {
		return l.admitted()
	}
	return l.wait(ctx, r)
}

// admitted gives the slot back if Leave was called in between. Leave sets leaving before it reads running, so one of
// the two sees the other.
func (l *Limiter) admitted() Refusal {
	if !l.leaving.Load() {
		return ""
	}
	l.give()
	return Leaving
}

// take takes a slot if one is free.
func (l *Limiter) take() bool {
	for {
		n := l.running.Load()
		if n >= l.limit.Load() {
			return false
		}
		if l.running.CompareAndSwap(n, n+1) {
			l.raise(n + 1)
			return true
		}
	}
}

func (l *Limiter) raise(n int32) {
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
		return l.granted(refusal)
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
	// The result was sent in the same moment. A slot goes back, as the caller no longer waits.
	if <-t.granted == "" {
		l.give()
	}
	return DeadlineTooSoon
}

func (l *Limiter) granted(r Refusal) Refusal {
	if r != "" {
		return r
	}
	return l.admitted()
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
		displaced.granted <- displacement(displaced, t)
	} else {
		l.waiting.Add(1)
	}
	// A slot that was given back before waiting was raised has found no queue.
	l.serve()
	return ""
}

// displacement returns why one call lost its place to another: for a higher class, or for a tenant with fewer calls.
func displacement(displaced, by *ticket) Refusal {
	if displaced.class == by.class {
		return OverFairShare
	}
	return Full
}

// serve gives free slots to waiting calls; the mutex is held.
func (l *Limiter) serve() {
	for l.queue.length > 0 && l.take() {
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

// Release gives a slot back after a call. A measured call took the time in the upstream for a normal response or a
// time-out; quick errors say nothing about load and would set a best latency that no real call reaches.
func (l *Limiter) Release(route string, took time.Duration, measured bool) {
	if measured {
		w := l.window(route)
		w.elapsed.Add(int64(took))
		if w.ended.Add(1) == window {
			l.adapt(w)
		}
	}
	l.give()
}

func (l *Limiter) window(route string) *latencies {
	if w := (*l.windows.Load())[route]; w != nil {
		return w
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known := *l.windows.Load()
	if w := known[route]; w != nil {
		return w
	}
	next := map[string]*latencies{}
	if len(known) < maxRoutes {
		next = maps.Clone(known)
	}
	w := &latencies{}
	next[route] = w
	l.windows.Store(&next)
	return w
}

// adapt ends a window. Only the call that completes the window gets here, so the mutex is rarely contended.
func (l *Limiter) adapt(w *latencies) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	mean := time.Duration(w.elapsed.Swap(0) / int64(w.ended.Swap(0)))
	old := time.Duration(l.mean.Load())
	if old == 0 {
		old = mean
	}
	l.mean.Store(int64(old + (mean-old)/8))
	g := gradient{limit: l.Limit(), best: w.best}.next(mean, int(l.peak.Swap(0)), l.slots)
	w.best = g.best
	l.limit.Store(int32(g.limit))
}

func (l *Limiter) give() {
	running := l.running.Add(-1)
	if l.waiting.Load() > 0 {
		l.mutex.Lock()
		l.serve()
		l.mutex.Unlock()
	}
	if running == 0 && l.leaving.Load() {
		l.once.Do(func() { close(l.idle) })
	}
}

// Leave refuses all new and waiting calls from now on.
func (l *Limiter) Leave() {
	l.leaving.Store(true)
	l.mutex.Lock()
	for _, t := range l.queue.clear() {
		l.waiting.Add(-1)
		t.granted <- Leaving
	}
	l.mutex.Unlock()
	if l.running.Load() == 0 {
		l.once.Do(func() { close(l.idle) })
	}
}

// Drained is closed once Leave was called and the last running call has ended.
func (l *Limiter) Drained() <-chan struct{} { return l.idle }
