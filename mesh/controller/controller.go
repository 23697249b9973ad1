package controller

import (
	"time"

	"wisteriaspoke.example/mesh/effect"
	"wisteriaspoke.example/mesh/event"
	"wisteriaspoke.example/mesh/machine"
)

// Controller is the control plane of one node. It is not safe for concurrent use.
type Controller struct {
	// Machines receive each event in this order. Machines must not be changed after the first Step.
	Machines []machine.Machine
}

// New returns a controller with all registered machines.
func New(c machine.Config) *Controller {
	return &Controller{Machines: machine.New(c)}
}

// Step passes the event to all machines, then each event that they raise. It returns all other effects in order.
func (c *Controller) Step(now time.Time, e event.Event) []effect.Effect {
	var effects []effect.Effect
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
				effects = append(effects, f)
			}
		}
	}
	return effects
}
