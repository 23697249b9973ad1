package throttle

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/kernel"
)

func init() {
	kernel.Register("objects-throttle", 10, func() kernel.Part { return &Throttle{Now: time.Now} })
}

// Throttle has one token bucket for reads and one for writes; each bucket holds one second's worth of calls.
type Throttle struct {
	Writes int `help:"Writes per second before 429." default:"300" env:"WISTERIASPOKE_OBJECTS_WRITES"`
	Reads  int `help:"Reads and watches per second before 429." default:"2000" env:"WISTERIASPOKE_OBJECTS_READS"`

	// Now returns the current time; it must be set before the first call.
	Now func() time.Time `kong:"-"`

	initOnce      sync.Once
	reads, writes *rate.Limiter
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

// Start implements kernel.Part; nothing runs in the background.
func (t *Throttle) Start(context.Context, *kernel.Kernel) (<-chan error, error) { return nil, nil }

// AllowRead reports whether a read is within the rate, and consumes a token if so.
func (t *Throttle) AllowRead() bool {
	t.initOnce.Do(t.createLimiters)
	return t.reads.AllowN(t.Now(), 1)
}

// AllowWrite reports whether a write is within the rate, and consumes a token if so.
func (t *Throttle) AllowWrite() bool {
	t.initOnce.Do(t.createLimiters)
	return t.writes.AllowN(t.Now(), 1)
}

func (t *Throttle) createLimiters() {
	t.reads = rate.NewLimiter(rate.Limit(t.Reads), t.Reads)
	t.writes = rate.NewLimiter(rate.Limit(t.Writes), t.Writes)
}
