package oracle

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"wisteriaspoke.example/mesh/config"
	"wisteriaspoke.example/mesh/effect"
	"wisteriaspoke.example/mesh/endpoint"
	"wisteriaspoke.example/mesh/event"
	"wisteriaspoke.example/mesh/group"
	"wisteriaspoke.example/mesh/head"
	"wisteriaspoke.example/mesh/machine"
	"wisteriaspoke.example/mesh/object"
	"wisteriaspoke.example/mesh/service"
	"wisteriaspoke.example/mesh/share"
	"wisteriaspoke.example/mesh/verdict"
)

// maxSeeds is the number of seeds tried before an injected fault counts as undetected.
const maxSeeds = 5

// faultyMachine wraps a machine and corrupts its events or effects.
type faultyMachine struct {
	machine machine.Machine
	event   func(time.Time, event.Event) (event.Event, bool) // false drops the event; may be nil
	effect  func(time.Time, effect.Effect) []effect.Effect   // may be nil
}

// Step implements machine.Machine.
func (w *faultyMachine) Step(now time.Time, e event.Event) []effect.Effect {
	if w.event != nil {
		var ok bool
		if e, ok = w.event(now, e); !ok {
			return nil
		}
	}
	fs := w.machine.Step(now, e)
	if w.effect == nil {
		return fs
	}
	var out []effect.Effect
	for _, f := range fs {
		out = append(out, w.effect(now, f)...)
	}
	return out
}

// wrapMachines wraps the machines of one package.
func wrapMachines(name string, wrap func(machine.Config, machine.Machine) machine.Machine) func(*Fleet) {
	return func(f *Fleet) {
		f.Wrap = func(c machine.Config, m machine.Machine) machine.Machine {
			if strings.HasPrefix(fmt.Sprintf("%T", m), "*"+name+".") {
				return wrap(c, m)
			}
			return m
		}
	}
}

// corruptConfigs corrupts each configuration that the relayer publishes.
func corruptConfigs(corrupt func(c config.Config) []config.Config) func(*Fleet) {
	return wrapMachines("relayer", func(_ machine.Config, m machine.Machine) machine.Machine {
		return &faultyMachine{machine: m, effect: func(_ time.Time, f effect.Effect) []effect.Effect {
			c, ok := f.Value().(config.Config)
			if f.Kind() != effect.Publish || !ok {
				return []effect.Effect{f}
			}
			var fs []effect.Effect
			for _, c := range corrupt(c) {
				fs = append(fs, effect.NewPublish(c))
			}
			return fs
		}}
	})
}

// corruptGroups corrupts each endpoint group that the registrar publishes.
func corruptGroups(corrupt func(g group.Group) (group.Group, bool)) func(*Fleet) {
	return wrapMachines("registrar", func(_ machine.Config, m machine.Machine) machine.Machine {
		return &faultyMachine{machine: m, effect: func(_ time.Time, f effect.Effect) []effect.Effect {
			g, ok := f.Value().(group.Group)
			if f.Kind() != effect.Publish || !ok {
				return []effect.Effect{f}
			}
			if g, ok = corrupt(g); !ok {
				return nil
			}
			return []effect.Effect{effect.NewPublish(g)}
		}}
	})
}

// corruptShares corrupts the shares that the roller writes to the head.
func corruptShares(corrupt func(s share.Share) share.Share) func(*Fleet) {
	return wrapMachines("roller", func(_ machine.Config, m machine.Machine) machine.Machine {
		return &faultyMachine{machine: m, effect: func(_ time.Time, f effect.Effect) []effect.Effect {
			if f.Kind() != effect.Update || f.Object().Plural() != head.Plural {
				return []effect.Effect{f}
			}
			return []effect.Effect{effect.NewStoreRequest(f.Kind(), f.ID(), withCorruptShares(f.Object(), corrupt))}
		}}
	})
}

// withCorruptShares returns a head with corrupted shares and the same version.
func withCorruptShares(o object.Object, corrupt func(s share.Share) share.Share) object.Object {
	h, err := head.Decode(o)
	must(err)
	version := fmt.Sprintf(`"version":%d,`, h.Version())
	for name, s := range h.Shares() {
		h = h.WithShare(name, corrupt(s), h.Token(), h.Writer())
	}
	spec, err := h.Encode()
	must(err)
	at := bytes.Index(spec, []byte(`"version":`))
	end := at + bytes.IndexByte(spec[at:], ',') + 1
	return o.WithSpec(slices.Concat(spec[:at], []byte(version), spec[end:]))
}

func withoutService(c config.Config, name string) config.Config {
	services := map[string]service.Service{}
	for n, s := range c.Services() {
		if n != name {
			services[n] = s
		}
	}
	return config.New(c.Version(), c.Preset(), services, c.Shares())
}

// Plans that expose the injected faults.
var (
	presetsPlan = []Action{{UsePreset, 1, 3000}, {UsePreset, 2, 3000}, {UsePreset, 0, 3000}}
	restartPlan = []Action{{UsePreset, 1, 3000}, {KillHalf, 0, 500}, {Restart, 0, 5000}}
	leavePlan   = []Action{{UpstreamLeaves, 3, 500}, {UpstreamLeaves, 5, 5000}}
	badPlan     = []Action{{MoveBad, 0, 1500}, {StoreOutage, 0, 20000}, {StoreRestored, 0, 5000}}
	goodPlan    = []Action{{MoveGood, 0, 30000}}
	pausePlan   = []Action{{MoveGood, 0, 12000}, {PauseRoller, 0, 6000}, {Resume, 0, 20000}}
)

// plantedFaults lists faults that the oracle must detect, each with the guarantee that it violates.
var plantedFaults = []struct {
	name    string
	promise string
	plan    []Action
	plant   func(*Fleet)
}{
	{"relayer applies out of order", "P1", presetsPlan, corruptConfigs(func() func(config.Config) []config.Config {
		var first config.Config
		return func(c config.Config) []config.Config {
			if first.Version() == 0 {
				first = c
			}
			return []config.Config{c, first}
		}
	}())},
	{"relayer skips the floor after a restart", "P1", restartPlan, func(f *Fleet) {
		first := map[string]config.Config{}
		wrapMachines("relayer", func(n machine.Config, m machine.Machine) machine.Machine {
			old, restarted := first[n.Node]
			return &faultyMachine{machine: m, effect: func(_ time.Time, e effect.Effect) []effect.Effect {
				c, ok := e.Value().(config.Config)
				if e.Kind() != effect.Publish || !ok {
					return []effect.Effect{e}
				}
				if !restarted {
					restarted = true
					if _, known := first[n.Node]; !known {
						first[n.Node] = c
					}
					return []effect.Effect{e}
				}
				if old.Version() > 0 {
					stale := old
					old = config.Config{}
					return []effect.Effect{effect.NewPublish(stale), e}
				}
				return []effect.Effect{e}
			}}
		})(f)
	}},
	{"relayer files a definition under another name", "P2", presetsPlan, corruptConfigs(func(c config.Config) []config.Config {
		all := map[string]service.Service{}
		for n, s := range c.Services() {
			all[n+"x"] = s
		}
		return []config.Config{config.New(c.Version(), c.Preset(), all, c.Shares())}
	})},
	{"relayer applies a part of a version", "P3", presetsPlan, corruptConfigs(func(c config.Config) []config.Config {
		return []config.Config{withoutService(c, rolloutService)}
	})},
	{"relayer mixes definitions of two versions", "P3", presetsPlan, corruptConfigs(func() func(config.Config) []config.Config {
		var old service.Service
		return func(c config.Config) []config.Config {
			all := map[string]service.Service{}
			for n, s := range c.Services() {
				all[n] = s
			}
			if old.Name() != "" {
				all[rolloutService] = old
			}
			old = c.Services()[rolloutService]
			return []config.Config{config.New(c.Version(), c.Preset(), all, c.Shares())}
		}
	}())},
	{"relayer drops the shares of a version", "P3", goodPlan, corruptConfigs(func(c config.Config) []config.Config {
		return []config.Config{config.New(c.Version(), c.Preset(), c.Services(), nil)}
	})},
	{"publisher drops a verdict", "P4", badPlan, func(f *Fleet) {
		f.Filter = func(value any) bool { return !isVerdict(value) }
	}},
	{"roller starts with half of all calls", "P4", goodPlan, corruptShares(func(s share.Share) share.Share {
		if s.Candidate() == "" {
			return s
		}
		return share.New(s.Stable(), s.Candidate(), 500, s.Rollout(), s.Epoch())
	})},
	// The fault corrupts only one write: with more, the holders would keep correcting each other's shares.
	{"roller forgets the epoch", "P4", pausePlan, corruptShares(func() func(share.Share) share.Share {
		done := false
		return func(s share.Share) share.Share {
			if done || s.Epoch() < 2 || s.Permille() < 250 {
				return s
			}
			done = true
			return share.New(s.Stable(), s.Candidate(), s.Permille(), s.Rollout(), s.Epoch()-1)
		}
	}())},
	{"roller writes a share without a head before it", "P10", goodPlan, wrapMachines("roller", func(_ machine.Config, m machine.Machine) machine.Machine {
		return &faultyMachine{machine: m, effect: func(_ time.Time, f effect.Effect) []effect.Effect {
			if f.Kind() != effect.Update || f.Object().Plural() != head.Plural {
				return []effect.Effect{f}
			}
			spec := bytes.Replace(f.Object().Spec(), []byte(`"version":`), []byte(`"version":1`), 1)
			return []effect.Effect{effect.NewStoreRequest(f.Kind(), f.ID(), f.Object().WithSpec(spec))}
		}}
	})},
	{"registrar ignores that its upstream leaves", "P8", leavePlan, wrapMachines("registrar", func(_ machine.Config, m machine.Machine) machine.Machine {
		return &faultyMachine{machine: m, event: func(_ time.Time, e event.Event) (event.Event, bool) {
			return e, e.Value() != endpoint.Leaving
		}}
	})},
	{"registrar hands over a leaving upstream as ready", "P8", leavePlan, corruptGroups(func(g group.Group) (group.Group, bool) {
		var es []endpoint.Endpoint
		for _, e := range g.Endpoints() {
			es = append(es, e.WithState(endpoint.Ready))
		}
		return group.New(g.DataCentre(), g.Service(), g.Epoch(), g.Sequence(), es), true
	})},
	{"registrar keeps the first sets", "sets", restartPlan, corruptGroups(func() func(group.Group) (group.Group, bool) {
		count := 0
		return func(g group.Group) (group.Group, bool) {
			count++
			return g, count < 400
		}
	}())},
	{"relayer hands over nothing after the first version", "P10", presetsPlan, corruptConfigs(func(c config.Config) []config.Config {
		if c.Version() > 1 {
			return nil
		}
		return []config.Config{c}
	})},
	{"relayer puts another preset in force", "P10", presetsPlan, corruptConfigs(func(c config.Config) []config.Config {
		return []config.Config{config.New(c.Version(), "ordinary", c.Services(), c.Shares())}
	})},
	{"store acknowledges a write without effect", "P10", presetsPlan, func(f *Fleet) { f.DropOperatorWrites = true }},
}

// Guards against an oracle that misses violations: it must detect each injected fault.
func TestPlanted(t *testing.T) {
	t.Parallel()
	results := make([]string, len(plantedFaults))
	t.Run("faults", func(t *testing.T) {
		for i, p := range plantedFaults {
			t.Run(p.name, func(t *testing.T) {
				t.Parallel()
				results[i] = fmt.Sprintf("%s: not found", p.name)
				for seed := uint64(1); seed <= maxSeeds; seed++ {
					f := New(seed)
					p.plant(f)
					found := f.Run(p.plan)
					if slices.ContainsFunc(found, func(f Violation) bool { return f.Promise() == p.promise }) {
						results[i] = fmt.Sprintf("%s: %s, seed %d", p.name, p.promise, seed)
						t.Log(found[0])
						return
					}
				}
				t.Errorf("not found with %d seeds", maxSeeds)
			})
		}
	})
	goldie.New(t).Assert(t, "planted", []byte(strings.Join(results, "\n")+"\n"))
}

// Guards against plans that violate a guarantee even without an injected fault.
func TestPlansWithoutFault(t *testing.T) {
	t.Parallel()
	for _, plan := range [][]Action{presetsPlan, restartPlan, leavePlan, badPlan, goodPlan, pausePlan} {
		for _, f := range New(1).Run(plan) {
			t.Errorf("%v: %v", plan, f)
		}
	}
}

func isVerdict(value any) bool {
	_, ok := value.(verdict.Verdict)
	return ok
}
