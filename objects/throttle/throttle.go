package throttle

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/kernel"
)

func init() {
	kernel.Register("throttle", 10, func() kernel.Part { return &Throttle{Now: time.Now} })
}

// Throttle has one token bucket for reads and one for writes; each holds the calls of one second.
type Throttle struct {
	Writes int `help:"Writes per second before 429." default:"300" env:"WISTERIASPOKE_OBJECTS_WRITES"`
	Reads  int `help:"Reads and watches per second before 429." default:"2000" env:"WISTERIASPOKE_OBJECTS_READS"`

	// Now is the clock; set before the first call.
	Now func() time.Time `kong:"-"`

	mu            sync.Mutex
	reads, writes bucket
}

type bucket struct {
	tokens float64
	at     time.Time // of the last refill; zero for a bucket that is full
}

// Check returns every bad setting with its remedy.
func (t *Throttle) Check() error {
	var errs []error
	if t.Writes < 1 {
		errs = append(errs, fault.New(fault.Invalid, fmt.Sprintf("--writes is %d", t.Writes), "set it to 1 or more"))
	}
	if t.Reads < 1 {
		errs = append(errs, fault.New(fault.Invalid, fmt.Sprintf("--reads is %d", t.Reads), "set it to 1 or more"))
	}
	return errors.Join(errs...)
}

// Start has nothing to run.
func (t *Throttle) Start(context.Context, *kernel.Kernel) (<-chan error, error) { return nil, nil }

// TakeRead reports whether a read is within the rate, and spends one if so.
func (t *Throttle) TakeRead() bool { return t.take(&t.reads, float64(t.Reads)) }

// TakeWrite reports whether a write is within the rate, and spends one if so.
func (t *Throttle) TakeWrite() bool { return t.take(&t.writes, float64(t.Writes)) }

func (t *Throttle) take(b *bucket, rate float64) bool {
	now := t.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if b.at.IsZero() {
		b.tokens = rate
		b.at = now
	}
	// Concurrent calls may take the lock in another order than they read the clock.
	if passed := now.Sub(b.at); passed > 0 {
		b.tokens = min(rate, b.tokens+passed.Seconds()*rate)
		b.at = now
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
