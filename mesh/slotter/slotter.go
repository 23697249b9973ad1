package slotter

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// Refusal is why a call got no slot; the upstream got no byte of it.
type Refusal string

// The refusals. The empty Refusal is an admission.
const (
	Full            Refusal = "full"    // the wait would be longer than the call's patience
	DeadlineTooSoon Refusal = "late"    // the deadline comes before the end of the call could
	Leaving         Refusal = "leaving" // the upstream takes no new calls
)

const (
	// meanWeight is the weight of one call in the smoothed service time.
	meanWeight = 0.1
	// firstMean is the service time before the first call has ended.
	firstMean = 100 * time.Millisecond
	// worthwhile is the part of the usual service time that must be left before the deadline.
	worthwhile = 0.5
)

// Request is what the slotter knows of a call.
type Request struct {
	Priority    int           // 0 is the most urgent
	Deadline    time.Time     // when the caller stops waiting
	LatestStart time.Time     // latest start that meets the latency objective
	MaxWait     time.Duration // longest wait for a slot; 0 for no bound but the others
}

// Slotter hands out slots. A call that finds a free slot and no queue takes no lock.
type Slotter struct {
	slots   atomic.Int32
	running atomic.Int32
	waiting atomic.Int32
	closed  atomic.Bool
	mean    atomic.Int64 // nanoseconds

	mutex sync.Mutex // guards queue, for calls that have to wait
	queue queue
}

// New returns a slotter of at least one slot.
func New(slots int) *Slotter {
	s := &Slotter{}
	s.slots.Store(int32(max(1, slots)))
	s.mean.Store(int64(firstMean))
	return s
}

// Outstanding returns the number of running and waiting calls.
func (s *Slotter) Outstanding() int { return int(s.running.Load() + s.waiting.Load()) }

// Slots returns how many calls may run at once.
func (s *Slotter) Slots() int { return int(s.slots.Load()) }

// MeanServiceTime returns the smoothed service time.
func (s *Slotter) MeanServiceTime() time.Duration { return time.Duration(s.mean.Load()) }

// Resize changes the number of slots, to at least one.
func (s *Slotter) Resize(slots int) {
	s.slots.Store(int32(max(1, slots)))
	s.mutex.Lock()
	s.serve()
	s.mutex.Unlock()
}

// Acquire waits for a slot and returns the empty Refusal once the call has it; Exit must then be called. With a refusal
// it returns when there will be room.
func (s *Slotter) Acquire(ctx context.Context, r Request) (Refusal, time.Duration) {
	if s.closed.Load() {
		return Leaving, 0
	}
	now := time.Now()
	if !now.Before(r.Deadline) {
		return DeadlineTooSoon, 0
	}
	if s.waiting.Load() == 0 && s.take() {
		return s.admitted()
	}
	return s.wait(ctx, r, now)
}

// admitted gives the slot back if Close was called in between.
func (s *Slotter) admitted() (Refusal, time.Duration) {
	if !s.closed.Load() {
		return "", 0
	}
	s.give()
	return Leaving, 0
}

func (s *Slotter) take() bool {
	for {
		n := s.running.Load()
		if n >= s.slots.Load() {
			return false
		}
		if s.running.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

func (s *Slotter) wait(ctx context.Context, r Request, now time.Time) (Refusal, time.Duration) {
	t := &ticket{rank: r.Priority, start: r.LatestStart, granted: make(chan Refusal, 1)}
	s.mutex.Lock()
	expected := s.queue.expected(t, s.MeanServiceTime(), s.Slots())
	if refusal := decide(r, now, expected, s.MeanServiceTime()); refusal != "" || s.closed.Load() {
		s.mutex.Unlock()
		if refusal == "" {
			refusal = Leaving
		}
		return refusal, expected
	}
	s.queue.push(t)
	s.waiting.Add(1)
	// A slot that was given back before waiting was raised has found no queue.
	s.serve()
	s.mutex.Unlock()
	timer := time.NewTimer(time.Until(r.latest(now)))
	defer timer.Stop()
	select {
	case refusal := <-t.granted:
		return s.granted(refusal)
	case <-ctx.Done():
	case <-timer.C:
	}
	s.mutex.Lock()
	removed := s.queue.remove(t)
	if removed {
		s.waiting.Add(-1)
	}
	s.mutex.Unlock()
	if removed {
		return Full, s.MeanServiceTime()
	}
	return s.granted(<-t.granted)
}

// latest returns when the call stops waiting. A call that can no longer meet its latency objective makes way for those
// that can: in a crowd, first come first served would let all of them miss it.
func (r Request) latest(now time.Time) time.Time {
	at := r.Deadline
	if r.LatestStart.Before(at) {
		at = r.LatestStart
	}
	if r.MaxWait > 0 && now.Add(r.MaxWait).Before(at) {
		at = now.Add(r.MaxWait)
	}
	return at
}

// decide says at once whether waiting makes sense.
func decide(r Request, now time.Time, expected, mean time.Duration) Refusal {
	need := time.Duration(float64(mean) * worthwhile)
	switch {
	case now.Add(expected + need).After(r.Deadline):
		return DeadlineTooSoon
	case now.Add(expected).After(r.latest(now)):
		return Full
	}
	return ""
}

func (s *Slotter) granted(r Refusal) (Refusal, time.Duration) {
	if r != "" {
		return r, 0
	}
	return s.admitted()
}

// serve gives free slots to waiting calls; the mutex is held.
func (s *Slotter) serve() {
	for s.queue.length() > 0 && s.take() {
		t := s.queue.pop()
		s.waiting.Add(-1)
		t.granted <- ""
	}
}

// Release gives a slot back; took is the time in the upstream, or zero if it says nothing about the service time.
func (s *Slotter) Release(took time.Duration) {
	if took > 0 {
		old := s.mean.Load()
		s.mean.Store(old + int64(meanWeight*float64(int64(took)-old)))
	}
	s.give()
}

func (s *Slotter) give() {
	s.running.Add(-1)
	if s.waiting.Load() > 0 {
		s.mutex.Lock()
		s.serve()
		s.mutex.Unlock()
	}
}

// Closed reports whether Close was called.
func (s *Slotter) Closed() bool { return s.closed.Load() }

// Close refuses all new and waiting calls from now on.
func (s *Slotter) Close() {
	s.closed.Store(true)
	s.mutex.Lock()
	for s.queue.length() > 0 {
		s.waiting.Add(-1)
		s.queue.pop().granted <- Leaving
	}
	s.mutex.Unlock()
}
