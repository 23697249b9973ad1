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

// faulty is a machine with one part made wrong before each step.
type faulty struct {
	machine *relayer
	spoil   func(*relayer, event.Event) event.Event
}

func (f *faulty) Step(now time.Time, e event.Event) []effect.Effect {
	return f.machine.Step(now, f.spoil(f.machine, e))
}

// faults are builds that the scenario must expose, each with the text that the oracle must say.
var faults = []struct {
	name     string
	steps    []string
	expected string
	spoil    func(*relayer, event.Event) event.Event
}{
	{
		name:     "applies any version",
		steps:    []string{"accept", "converge 2s", "replay", "run 1s"},
		expected: "went back",
		spoil: func(r *relayer, e event.Event) event.Event {
			if d, ok := e.Message().Body().(*differ.Delta); ok && d.Version() < r.client.state.Version() {
				r.client.state, r.floor.published = differ.State{}, 0
			}
			return e
		},
	},
	{
		name: "publishes before the floor is known",
		// The region restarts without contact to the others, from one relay that stopped before the last version.
		steps: []string{
			"freeze gateway mfr", "accept", "run 3s", "kill-others mfr", "cut mfr", "run 1s", "thaw", "restart", "run 20s",
		},
		expected: "went back",
		spoil: func(r *relayer, e event.Event) event.Event {
			r.floor.known = true
			return e
		},
	},
	{
		name:     "drops a part",
		steps:    []string{"accept", "run 2s"},
		expected: "without its own service",
		spoil: func(r *relayer, e event.Event) event.Event {
			if d, ok := e.Message().Body().(*differ.Delta); ok && r.seat < 0 {
				full, err := differ.Apply(r.client.state, *d)
				if err != nil {
					return e
				}
				parts := map[string]differ.Definition{}
				for name, p := range full.Definitions() {
					if name != r.config.Service {
						parts[name] = p
					}
				}
				less, _ := differ.New(full.Version(), "ordinary", parts, nil)
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
		spoil: func(r *relayer, e event.Event) event.Event {
			if _, ok := e.Message().Body().(*differ.Delta); ok && r.client.state.Version() > 0 {
				return event.NewTick()
			}
			return e
		},
	},
}

// recorder keeps what a scenario reports instead of failing the test that expects it.
type recorder struct {
	testing.TB
	said []string
}

func (r *recorder) Helper() {}

func (r *recorder) Error(args ...any) { r.said = append(r.said, fmt.Sprint(args...)) }

func (r *recorder) Errorf(format string, args ...any) {
	r.said = append(r.said, fmt.Sprintf(format, args...))
}

// TestOracle guards against an oracle that cannot fail: each faulty build must be caught, and the sound build not.
func TestOracle(t *testing.T) {
	for _, c := range faults {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			spoil := c.spoil
			said := runSpoiled(t, spoil, c.steps)
			if !slices.ContainsFunc(said, func(s string) bool { return strings.Contains(s, c.expected) }) {
				t.Errorf("the oracle did not say %q but %q", c.expected, said)
			}
			sound := runSpoiled(t, func(_ *relayer, e event.Event) event.Event { return e }, c.steps)
			if len(sound) > 0 {
				t.Errorf("the oracle said of the sound build: %q", sound)
			}
		})
	}
}

func runSpoiled(t *testing.T, spoil func(*relayer, event.Event) event.Event, steps []string) []string {
	rec := &recorder{TB: t}
	on := false
	f := newFleet(rec, 1, func(c machine.Config) *controller.Controller {
		m := &faulty{machine: New(c).(*relayer), spoil: func(r *relayer, e event.Event) event.Event {
			if !on {
				return e
			}
			return spoil(r, e)
		}}
		return &controller.Controller{Machines: []machine.Machine{m}}
	})
	f.converge(15 * time.Second)
	f.sim.Run(5 * time.Second)
	on = true
	for _, s := range steps {
		f.perform(s)
	}
	f.finish()
	return rec.said
}

// replay gives every node a whole state of version 1, as a relay that was paused for long would.
func (f *fleet) replay() {
	parts := map[string]differ.Definition{}
	for _, name := range services {
		p, err := differ.DecodeDefinition([]byte(fmt.Sprintf(`{"name":%q,"version":"1"}`, name)))
		if err != nil {
			f.t.Fatal(err)
		}
		parts[name] = p
	}
	old, err := differ.New(1, "ordinary", parts, nil)
	if err != nil {
		f.t.Fatal(err)
	}
	d := differ.Diff(differ.State{}, old)
	for _, n := range f.sim.Nodes() {
		f.sim.Inject(n, event.NewReceived("obb-a-0", message.New(deltaKind, &d)))
	}
}
