package isolator

import (
	"time"

	"wisteriaspoke.example/mesh/effect"
	"wisteriaspoke.example/mesh/event"
	"wisteriaspoke.example/mesh/machine"
	"wisteriaspoke.example/mesh/roster"
)

func init() {
	machine.Register("guard", 90, func(machine.Config) machine.Machine { return rosterPublisher{} })
}

// rosterPublisher publishes the roster, an event local to the control machines, to the data path.
type rosterPublisher struct{}

// Step publishes each new roster.
func (rosterPublisher) Step(_ time.Time, e event.Event) []effect.Effect {
	if r, ok := e.Value().(roster.Roster); ok && e.Kind() == event.Local {
		return []effect.Effect{effect.NewPublish(r)}
	}
	return nil
}
