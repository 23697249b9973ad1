package injector

import (
	"context"
	"sync"
	"time"

	"wisteriaspoke.example/mesh/kernel"
)

func init() {
	kernel.Register("objects-injector", 10, func() kernel.Part { return &Injector{} })
}

// Injector holds the faults that are in force.
type Injector struct {
	mu    sync.Mutex
	delay time.Duration
	lose  int
	out   bool
	cut   chan struct{} // closed by the next outage; nil until asked for
}

// Start has nothing to run.
func (i *Injector) Start(context.Context, *kernel.Kernel) (<-chan error, error) { return nil, nil }

// Set replaces all faults: a delay before each call, an outage, and the number of writes whose answers are lost.
func (i *Injector) Set(delay time.Duration, out bool, lose int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.delay = delay
	i.lose = lose
	i.out = out
	if out && i.cut != nil {
		close(i.cut)
		i.cut = nil
	}
}

// Delay returns how long a call waits before it is handled.
func (i *Injector) Delay() time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.delay
}

// Out reports whether the store is out; cut is closed when the next outage begins.
func (i *Injector) Out() (out bool, cut <-chan struct{}) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cut == nil {
		i.cut = make(chan struct{})
	}
	return i.out, i.cut
}

// Lose reports whether the answer of a write that took effect is lost, and spends one loss if so.
func (i *Injector) Lose() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.lose == 0 {
		return false
	}
	i.lose--
	return true
}
