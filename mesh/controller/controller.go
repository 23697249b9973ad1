package controller

import (
	"time"

	"wisteriaspoke.example/mesh/effect"
	"wisteriaspoke.example/mesh/event"
	"wisteriaspoke.example/mesh/machine"
)

// Controller is the control plane of one node; one goroutine at a time may use it.
type Controller struct {
	// Machines see each event in this order; set before the first Step.
	Machines []machine.Machine
}

// New returns a controller with all registered machines.
func New(c machine.Config) *Controller {
	return &Controller{Machines: machine.New(c)}
}

// Step gives the event to all machines, resolves raised events, and returns the other effects in order.
func (c *Controller) Step(now time.Time, e event.Event) []effect.Effect {
	var out []effect.Effect
	queue := []event.Event{e}
	for len(queue) > 0 {
		next := queue[0]
		queue = queue[1:]
		for _, m := range c.Machines {
			for _, f := range m.Step(now, next) {
				if f.Kind() == effect.Raise {
					queue = append(queue, f.Event())
					continue
				}
				out = append(out, f)
			}
		}
	}
	return out
}
