package generator

import (
	"context"
	"sync"
	"time"

	"wisteriaspoke.example/mesh/fault"
)

// pacer says when calls start.
type pacer interface {
	// Run calls start at each intended time until all have started or ctx ends.
	Run(ctx context.Context, start func(intended time.Time))
}

// caller makes one call.
type caller interface {
	// Call returns within its own time limit.
	Call() (status, ran string)
}

// tally takes the results.
type tally interface {
	Skip()
	Add(status, ran string, latency, lag time.Duration)
}

// Generator is an open loop: slow calls do not hold back later ones.
type Generator struct {
	Outstanding int `help:"Calls in progress above which due calls are counted as unsent." default:"10000"`
}

// Validate returns a setting that is out of range with its remedy.
func (g *Generator) Validate() error {
	if g.Outstanding < 1 {
		return fault.New(fault.Invalid, "--outstanding is not positive", "set it to 1 or more")
	}
	return nil
}

// Run returns when all started calls have ended.
func (g *Generator) Run(ctx context.Context, p pacer, c caller, t tally) {
	var calls sync.WaitGroup
	defer calls.Wait()
	places := make(chan struct{}, g.Outstanding)
	p.Run(ctx, func(intended time.Time) {
		select {
		case places <- struct{}{}:
		default:
			t.Skip()
			return
		}
		calls.Go(func() {
			lag := time.Since(intended)
			status, ran := c.Call()
			t.Add(status, ran, time.Since(intended), lag)
			<-places
		})
	})
}
