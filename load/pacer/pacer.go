package pacer

import (
	"context"
	"syscall"
	"time"

	"wisteriaspoke.example/mesh/fault"
)

// maxSleep limits one sleep, so that a cancelled context is noticed in time.
const maxSleep = 100 * time.Millisecond

// Pacer starts calls at even intervals.
type Pacer struct {
	Rate float64       `help:"Calls per second." default:"100"`
	For  time.Duration `help:"Time over which calls start." default:"10s"`

	// Now and Sleep replace the real clock if they are not nil.
	Now   func() time.Time    `kong:"-"`
	Sleep func(time.Duration) `kong:"-"`
}

// Validate returns an error if a setting is out of range, with its remedy.
func (p *Pacer) Validate() error {
	if p.Rate <= 0 || p.For <= 0 {
		return fault.New(fault.Invalid, "--rate or --for is not positive", "set both above 0")
	}
	return nil
}

// Run calls start with each intended time, in order and as soon as that time is reached; start must not block.
//
// The intended times depend only on the rate. After a stall of the process the overdue calls start at once, with their
// intended times in the past, so that the stall counts in their latencies.
func (p *Pacer) Run(ctx context.Context, start func(intended time.Time)) {
	now, sleep := p.Now, p.Sleep
	if now == nil {
		now = time.Now
	}
	if sleep == nil {
		sleep = nanosleep
	}
	begin := now()
	count := int(p.Rate * p.For.Seconds())
	for i := range count {
		intended := begin.Add(time.Duration(float64(i) / p.Rate * float64(time.Second)))
		for left := intended.Sub(now()); left > 0; left = intended.Sub(now()) {
			sleep(min(left, maxSleep))
			if ctx.Err() != nil {
				return
			}
		}
		if ctx.Err() != nil {
			return
		}
		start(intended)
	}
}

// nanosleep blocks its thread instead of using the runtime's timers, which round sleeps of an idle process up to 1 ms.
func nanosleep(d time.Duration) {
	t := syscall.NsecToTimespec(int64(d))
	// If a signal interrupts the sleep, the caller's loop sleeps for the rest.
	_ = syscall.Nanosleep(&t, nil)
}
