package relayer

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"wisteriaspoke.example/mesh/controller"
	"wisteriaspoke.example/mesh/differ"
	"wisteriaspoke.example/mesh/effect"
	"wisteriaspoke.example/mesh/event"
	"wisteriaspoke.example/mesh/machine"
	"wisteriaspoke.example/mesh/message"
)

// faultyMachine is a machine whose state or event is changed before each step.
type faultyMachine struct {
	machine *relayer
	inject  func(*relayer, event.Event) event.Event
}

func (f *faultyMachine) Step(now time.Time, e event.Event) []effect.Effect {
	return f.machine.Step(now, f.inject(f.machine, e))
}

// faultyBuilds are faults that the checks must find with the given steps; expected is part of the finding's text.
var faultyBuilds = []struct {
	name     string
	steps    []string
	expected string
	inject   func(*relayer, event.Event) event.Event
}{
	{
		name:     "applies any version",
		steps:    []string{"accept", "converge 2s", "replay", "run 1s"},
		expected: "went back",
		inject: func(r *relayer, e event.Event) event.Event {
			if d, ok := e.Message().Body().(*differ.Delta); ok && d.Version() < r.client.state.Version() {
				r.client.state, r.versionFloor.published = differ.State{}, 0
			}
			return e
		},
	},
	{
		name: "publishes before the floor is known",
		// The region restarts while it cannot reach other regions, from one relay that was paused before the last version.
		steps: []string{
			"freeze gateway mfr", "accept", "run 3s", "kill-others mfr", "cut mfr", "run 1s", "thaw", "restart", "run 20s",
		},
		expected: "went back",
		inject: func(r *relayer, e event.Event) event.Event {
			r.versionFloor.known = true
			return e
		},
	},
	{
		name:     "drops a part",
		steps:    []string{"accept", "run 2s"},
		expected: "without its own service",
		inject: func(r *relayer, e event.Event) event.Event {
			if d, ok := e.Message().Body().(*differ.Delta); ok && r.leaseIndex < 0 {
				full, err := differ.Apply(r.client.state, *d)
				if err != nil {
					return e
				}
				definitions := map[string]differ.Definition{}
				for name, p := range full.Definitions() {
					if name != r.config.Service {
						definitions[name] = p
					}
				}
				less, _ := differ.New(full.Version(), "ordinary", definitions, nil)
				wrong := differ.Diff(differ.State{}, less)
				return event.NewReceived(e.Peer(), message.New(deltaKind, &wrong))
			}
			return e
		},
	},
	{
		name:     "never pulls and takes no delta",
		steps:    []string{"accept", "converge 2s"},
		expected: "not on version 2",
		inject: func(r *relayer, e event.Event) event.Event {
			if _, ok := e.Message().Body().(*differ.Delta); ok && r.client.state.Version() > 0 {
				return event.NewTick()
			}
			return e
		},
	},
}

// recorder records the errors of a scenario instead of failing the test.
type recorder struct {
	testing.TB
	messages []string
}

func (r *recorder) Helper() {}

func (r *recorder) Error(args ...any) { r.messages = append(r.messages, fmt.Sprint(args...)) }

func (r *recorder) Errorf(format string, args ...any) {
	r.messages = append(r.messages, fmt.Sprintf(format, args...))
}

// TestOracle guards against checks that cannot fail: they must find each injected fault, and nothing without a fault.
func TestOracle(t *testing.T) {
	for _, c := range faultyBuilds {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			inject := c.inject
			findings := runFaulty(t, inject, c.steps)
			if !slices.ContainsFunc(findings, func(s string) bool { return strings.Contains(s, c.expected) }) {
				t.Errorf("the checks did not find %q but %q", c.expected, findings)
			}
			correct := runFaulty(t, func(_ *relayer, e event.Event) event.Event { return e }, c.steps)
			if len(correct) > 0 {
				t.Errorf("the checks found without a fault: %q", correct)
			}
		})
	}
}

func runFaulty(t *testing.T, inject func(*relayer, event.Event) event.Event, steps []string) []string {
	rec := &recorder{TB: t}
	enabled := false
	f := newFleet(rec, 1, func(c machine.Config) *controller.Controller {
		m := &faultyMachine{machine: New(c).(*relayer), inject: func(r *relayer, e event.Event) event.Event {
			if !enabled {
				return e
			}
			return inject(r, e)
		}}
		return &controller.Controller{Machines: []machine.Machine{m}}
	})
	f.converge(15 * time.Second)
	f.sim.Run(5 * time.Second)
	enabled = true
	for _, s := range steps {
		f.perform(s)
	}
	f.finish()
	return rec.messages
}

// replay sends every node a whole state of version 1, as a relay does that was paused for long.
func (f *fleet) replay() {
	definitions := map[string]differ.Definition{}
	for _, name := range services {
		p, err := differ.DecodeDefinition([]byte(fmt.Sprintf(`{"name":%q,"version":"1"}`, name)))
		if err != nil {
			f.t.Fatal(err)
		}
		definitions[name] = p
	}
	old, err := differ.New(1, "ordinary", definitions, nil)
	if err != nil {
		f.t.Fatal(err)
	}
	d := differ.Diff(differ.State{}, old)
	for _, n := range f.sim.Nodes() {
		f.sim.Inject(n, event.NewReceived("obb-a-0", message.New(deltaKind, &d)))
	}
}
