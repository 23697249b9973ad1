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

// Injector holds the faults currently injected; its methods may be called concurrently.
type Injector struct {
	mu         sync.Mutex
	delay      time.Duration // before each call is handled
	lossesLeft int           // writes whose answers are still to be lost
	inOutage   bool
	nextOutage chan struct{} // closed when the next outage begins; nil until Outage is called
}

// Start implements kernel.Part; nothing runs in the background.
func (i *Injector) Start(context.Context, *kernel.Kernel) (<-chan error, error) { return nil, nil }

// SetFaults replaces all faults: a delay before each call, an outage, and the number of writes whose answers are lost.
func (i *Injector) SetFaults(delay time.Duration, inOutage bool, losses int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.delay = delay
	i.lossesLeft = losses
	i.inOutage = inOutage
	if inOutage && i.nextOutage != nil {
		close(i.nextOutage)
		i.nextOutage = nil
	}
}

// Delay returns the time that a call must wait before it is handled.
func (i *Injector) Delay() time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.delay
}

// Outage reports whether an outage is in progress; next is closed when the next one begins.
func (i *Injector) Outage() (inOutage bool, next <-chan struct{}) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.nextOutage == nil {
		i.nextOutage = make(chan struct{})
	}
	return i.inOutage, i.nextOutage
}

// LoseAnswer reports whether the answer of a write that took effect must be dropped, and uses up one loss if so.
func (i *Injector) LoseAnswer() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.lossesLeft == 0 {
		return false
	}
	i.lossesLeft--
	return true
}
