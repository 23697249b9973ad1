package pacer

import (
	"context"
	"syscall"
	"time"

	"wisteriaspoke.example/mesh/fault"
)

// longest bounds one sleep, so that a cancelled context is noticed.
const longest = 100 * time.Millisecond

// Pacer spaces calls evenly.
type Pacer struct {
	Rate float64       `help:"Calls per second." default:"100"`
	For  time.Duration `help:"Time over which calls start." default:"10s"`

	// Now and Sleep are the clock; nil means the real one.
	Now   func() time.Time    `kong:"-"`
	Sleep func(time.Duration) `kong:"-"`
}

// Validate returns a setting that is out of range with its remedy.
func (p *Pacer) Validate() error {
	if p.Rate <= 0 || p.For <= 0 {
		return fault.New(fault.Invalid, "--rate or --for is not positive", "set both above 0")
	}
	return nil
}

// Run calls start with each intended time, in order and as soon as that time has come; start must not block.
//
// The intended times depend on the rate only. After a stall of the process the missed calls start at once, with their
// intended times in the past.
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
			sleep(min(left, longest))
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

// nanosleep blocks its thread, since the runtime's timers round an idle process's sleep up to 1 ms.
func nanosleep(d time.Duration) {
	t := syscall.NsecToTimespec(int64(d))
	// An interrupted sleep is taken up again by the caller's loop.
	_ = syscall.Nanosleep(&t, nil)
}
