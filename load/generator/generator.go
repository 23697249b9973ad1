package generator

import (
	"context"
	"sync"
	"time"

	"wisteriaspoke.example/mesh/fault"
)

// pacer starts calls at their intended times.
type pacer interface {
	// Run calls start at each intended time until all calls have started or ctx is cancelled.
	Run(ctx context.Context, start func(intended time.Time))
}

// caller makes one call.
type caller interface {
	// Call returns the status and Wisteriaspoke-Ran header of the response, within its own time limit.
	Call() (status, ran string)
}

// tally counts the results.
type tally interface {
	AddUnsent()
	Add(status, ran string, latency, lag time.Duration)
}

// Generator is an open-loop load generator: slow calls do not delay later ones.
type Generator struct {
	Outstanding int `help:"Calls in progress above which due calls are counted as unsent." default:"10000"`
}

// Validate returns an error if the setting is out of range, with its remedy.
func (g *Generator) Validate() error {
	if g.Outstanding < 1 {
		return fault.New(fault.Invalid, "--outstanding is not positive", "set it to 1 or more")
	}
	return nil
}

// Run makes the calls and returns when all that were started have ended.
func (g *Generator) Run(ctx context.Context, p pacer, c caller, t tally) {
	var calls sync.WaitGroup
	defer calls.Wait()
	slots := make(chan struct{}, g.Outstanding)
	p.Run(ctx, func(intended time.Time) {
		select {
		case slots <- struct{}{}:
		default:
			t.AddUnsent()
			return
		}
		calls.Go(func() {
			lag := time.Since(intended)
			status, ran := c.Call()
			t.Add(status, ran, time.Since(intended), lag)
			<-slots
		})
	})
}
