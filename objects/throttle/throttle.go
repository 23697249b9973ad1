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

// Throttle has one token bucket for reads and one for writes; each holds the calls of one second.
type Throttle struct {
	Writes int `help:"Writes per second before 429." default:"300" env:"WISTERIASPOKE_OBJECTS_WRITES"`
	Reads  int `help:"Reads and watches per second before 429." default:"2000" env:"WISTERIASPOKE_OBJECTS_READS"`

	// Now is the clock; set before the first call.
	Now func() time.Time `kong:"-"`

	once          sync.Once
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

// Start has nothing to run.
func (t *Throttle) Start(context.Context, *kernel.Kernel) (<-chan error, error) { return nil, nil }

// TakeRead reports whether a read is within the rate, and spends one if so.
func (t *Throttle) TakeRead() bool {
	t.once.Do(t.fill)
	return t.reads.AllowN(t.Now(), 1)
}

// TakeWrite reports whether a write is within the rate, and spends one if so.
func (t *Throttle) TakeWrite() bool {
	t.once.Do(t.fill)
	return t.writes.AllowN(t.Now(), 1)
}

func (t *Throttle) fill() {
	t.reads = rate.NewLimiter(rate.Limit(t.Reads), t.Reads)
	t.writes = rate.NewLimiter(rate.Limit(t.Writes), t.Writes)
}
