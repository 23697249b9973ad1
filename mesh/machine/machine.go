package machine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"wisteriaspoke.example/mesh/effect"
	"wisteriaspoke.example/mesh/event"
)

// Machine is the deterministic state machine of one concern of a node's control plane.
type Machine interface {
	// Step handles an event and returns the effects to apply, in order, or nil if the event does not concern it. It must
	// not block, read a clock or use a random source other than the one in Config.
	Step(now time.Time, e event.Event) []effect.Effect
}

// Config holds the settings of the node that a machine runs on; they are set before New.
type Config struct {
	Node        string // address that peers dial; also identifies the node
	Incarnation uint64 // higher after each restart at the same address
	DataCentre  string
	Region      string
	Service     string   // service of the local upstream, or the empty string without one
	Version     string   // version of the local upstream
	Slots       int      // concurrent calls that the local upstream accepts
	Seeds       []string // addresses of some nodes
	DataCentres []string // data centres of the seeds
	Rand        *rand.Rand
}

type registration struct {
	name     string
	priority int
	factory  func(Config) Machine
}

var registry []registration

// Register adds a machine to every node of the program; machines receive each event in ascending order of priority.
//
// It panics if the name is already registered.
func Register(name string, priority int, factory func(Config) Machine) {
	if slices.ContainsFunc(registry, func(r registration) bool { return r.name == name }) {
		panic(fmt.Sprintf("machine: %q is registered twice", name))
	}
	registry = append(registry, registration{name: name, priority: priority, factory: factory})
	slices.SortStableFunc(registry, func(a, b registration) int { return a.priority - b.priority })
}

// New returns one instance of each registered machine, in order of priority.
func New(c Config) []Machine {
	ms := make([]Machine, 0, len(registry))
	for _, r := range registry {
		ms = append(ms, r.factory(c))
	}
	return ms
}
