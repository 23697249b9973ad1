package slotter

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"wisteriaspoke.example/mesh/pacer"
)

// Refusal is the reason why a call got no slot; no byte of the call was sent to the upstream.
type Refusal string

// The refusals. The empty Refusal is an admission.
const (
	Full            Refusal = "full"    // the wait would exceed MaxWait, or end after LatestStart or the deadline
	DeadlineTooSoon Refusal = "late"    // the call could not end before its deadline
	Leaving         Refusal = "leaving" // the upstream accepts no new calls
	OverRate        Refusal = "rate"    // the rate limit would make the call wait as long as for Full
)

const (
	// meanWeight is the weight of one call in the smoothed service time.
	meanWeight = 0.1
	// initialMean is the assumed service time until the first call has ended.
	initialMean = 100 * time.Millisecond
	// minTimeFraction is the fraction of the mean service time that must be left between a call's start and its deadline.
	minTimeFraction = 0.5
)

// Request holds the properties of a call that decide when it gets a slot.
type Request struct {
	Priority    int           // 0 is the most urgent
	Tenant      string        // tenants of one priority get slots in turn
	Deadline    time.Time     // when the caller stops waiting
	LatestStart time.Time     // latest start that meets the latency objective
	MaxWait     time.Duration // longest wait for a slot; 0 if only Deadline and LatestStart limit it
}

// Slotter limits the calls that run at once and the rate at which they start. A call that finds a free slot and an empty
// queue takes no lock.
type Slotter struct {
	pacer           *pacer.Pacer
	slots           atomic.Int32
	running         atomic.Int32
	waiting         atomic.Int32
	closed          atomic.Bool
	meanServiceTime atomic.Int64 // nanoseconds

	mutex sync.Mutex // guards the following, for calls that have to wait
	queue queue
	wake  *time.Timer // grants slots when the rate admits the next call; nil before the first use
}

// New returns a slotter of at least one slot.
func New(slots int) *Slotter {
	s := &Slotter{pacer: pacer.New(time.Now())}
	s.slots.Store(int32(max(1, slots)))
	s.meanServiceTime.Store(int64(initialMean))
	return s
}

// Outstanding returns the number of running and waiting calls.
func (s *Slotter) Outstanding() int { return int(s.running.Load() + s.waiting.Load()) }

// Slots returns how many calls may run at once.
func (s *Slotter) Slots() int { return int(s.slots.Load()) }

// MeanServiceTime returns the smoothed service time.
func (s *Slotter) MeanServiceTime() time.Duration { return time.Duration(s.meanServiceTime.Load()) }

// Resize changes the number of slots, to at least one.
func (s *Slotter) Resize(slots int) {
	s.slots.Store(int32(max(1, slots)))
	s.mutex.Lock()
	s.grantSlots()
	s.mutex.Unlock()
}

// Limited reports whether the rate at which calls start is limited.
func (s *Slotter) Limited() bool { return s.pacer.Limited() }

// SetRate limits the calls that start in a second, or ends the limit if perSecond is zero.
func (s *Slotter) SetRate(perSecond float64) {
	s.pacer.SetRate(perSecond, time.Now())
	s.mutex.Lock()
	s.grantSlots()
	s.mutex.Unlock()
}

// Acquire waits for a slot and returns the empty Refusal once the call has one; Release must then be called. With a
// refusal it also returns the expected wait for a slot.
func (s *Slotter) Acquire(ctx context.Context, r Request) (Refusal, time.Duration) {
	if s.closed.Load() {
		return Leaving, 0
	}
	now := time.Now()
	if !now.Before(r.Deadline) {
		return DeadlineTooSoon, 0
	}
	if s.waiting.Load() == 0 && s.tryTakeSlot() {
		return s.confirmSlot()
	}
	return s.wait(ctx, r, now)
}

// confirmSlot releases the slot again if Close was called after the first check.
func (s *Slotter) confirmSlot() (Refusal, time.Duration) {
	if !s.closed.Load() {
		return "", 0
	}
	s.freeSlot()
	return Leaving, 0
}

// tryTakeSlot takes a slot if one is free and the rate admits a call.
func (s *Slotter) tryTakeSlot() bool {
	now := time.Now()
	if s.pacer.Wait(0, now) > 0 {
		return false
	}
	for {
		n := s.running.Load()
		if n >= s.slots.Load() {
			return false
		}
		if s.running.CompareAndSwap(n, n+1) {
			break
		}
	}
	if s.pacer.Take(now) {
		return true
	}
	s.running.Add(-1)
	return false
}

func (s *Slotter) wait(ctx context.Context, r Request, now time.Time) (Refusal, time.Duration) {
	w := &waiter{priority: r.Priority, tenant: r.Tenant, latestStart: r.LatestStart, result: make(chan Refusal, 1)}
	s.mutex.Lock()
	expected := s.queue.expectedWait(w, s.MeanServiceTime(), s.Slots())
	full := Full
	if paced := s.pacer.Wait(s.queue.position(w), now); paced > expected {
		expected, full = paced, OverRate
	}
	if refusal := refuseEarly(r, now, expected, s.MeanServiceTime()); refusal != "" || s.closed.Load() {
		if full == OverRate {
			// While this call tried to take a slot, the slot was not free for those that wait.
			s.grantSlots()
		}
		s.mutex.Unlock()
		switch refusal {
		case "":
			refusal = Leaving
		case Full:
			refusal = full
		}
		return refusal, expected
	}
	s.queue.push(w)
	s.waiting.Add(1)
	// A slot that was released before waiting was incremented is still free: its release saw an empty queue.
	s.grantSlots()
	s.mutex.Unlock()
	timer := time.NewTimer(time.Until(r.waitDeadline(now)))
	defer timer.Stop()
	select {
	case refusal := <-w.result:
		return s.finishWait(refusal)
	case <-ctx.Done():
	case <-timer.C:
	}
	s.mutex.Lock()
	removed := s.queue.remove(w)
	if removed {
		s.waiting.Add(-1)
	}
	s.mutex.Unlock()
	if removed {
		return full, max(s.MeanServiceTime(), s.pacer.Wait(0, time.Now()))
	}
	return s.finishWait(<-w.result)
}

// waitDeadline returns when the call stops waiting. A call that can no longer meet its latency objective leaves the
// queue to those that can: under overload, serving calls in order of arrival would make all of them miss it.
func (r Request) waitDeadline(now time.Time) time.Time {
	at := r.Deadline
	if r.LatestStart.Before(at) {
		at = r.LatestStart
	}
	if r.MaxWait > 0 && now.Add(r.MaxWait).Before(at) {
		at = now.Add(r.MaxWait)
	}
	return at
}

// refuseEarly returns the refusal of a call whose expected wait is too long, or the empty Refusal.
func refuseEarly(r Request, now time.Time, expected, mean time.Duration) Refusal {
	minRunTime := time.Duration(float64(mean) * minTimeFraction)
	switch {
	case now.Add(expected + minRunTime).After(r.Deadline):
		return DeadlineTooSoon
	case now.Add(expected).After(r.waitDeadline(now)):
		return Full
	}
	return ""
}

func (s *Slotter) finishWait(r Refusal) (Refusal, time.Duration) {
	if r != "" {
		return r, 0
	}
	return s.confirmSlot()
}

// grantSlots hands free slots to waiting calls; the caller holds the mutex.
func (s *Slotter) grantSlots() {
	for s.queue.length() > 0 && s.tryTakeSlot() {
		w := s.queue.pop()
		s.waiting.Add(-1)
		w.result <- ""
	}
	if s.queue.length() > 0 {
		s.wakeWhenAdmitted()
	}
}

// wakeWhenAdmitted has slots granted when the rate admits the next call; the caller holds the mutex. Calls that wait for
// a slot are woken by the release of one.
func (s *Slotter) wakeWhenAdmitted() {
	wait := s.pacer.Wait(0, time.Now())
	switch {
	case wait <= 0:
	case s.wake == nil:
		s.wake = time.AfterFunc(wait, func() {
			s.mutex.Lock()
			s.grantSlots()
			s.mutex.Unlock()
		})
	default:
		s.wake.Reset(wait)
	}
}

// Release returns a slot; took is the call's service time, or zero if the call must not count in the mean.
func (s *Slotter) Release(took time.Duration) {
	if took > 0 {
		old := s.meanServiceTime.Load()
		s.meanServiceTime.Store(old + int64(meanWeight*float64(int64(took)-old)))
	}
	s.freeSlot()
}

func (s *Slotter) freeSlot() {
	s.running.Add(-1)
	if s.waiting.Load() > 0 {
		s.mutex.Lock()
		s.grantSlots()
		s.mutex.Unlock()
	}
}

// Closed reports whether Close was called.
func (s *Slotter) Closed() bool { return s.closed.Load() }

// Close refuses the waiting calls and all later ones.
func (s *Slotter) Close() {
	s.closed.Store(true)
	s.mutex.Lock()
	for s.queue.length() > 0 {
		s.waiting.Add(-1)
		s.queue.pop().result <- Leaving
	}
	if s.wake != nil {
		s.wake.Stop()
	}
	s.mutex.Unlock()
}
