package relayer

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"wisteriaspoke.example/mesh/differ"
	"wisteriaspoke.example/mesh/event"
	"wisteriaspoke.example/mesh/message"
)

// largeSeeds is the number of seeds that each case under testdata/fanout runs with.
const largeSeeds = 3

var twoCentres = []string{"obb-a", "mfr-a"}

// TestFanout runs the cases under testdata/fanout in two data centres of 60 nodes; the first line of each file says
// which failure it guards against.
func TestFanout(t *testing.T) {
	runLarge(t, "testdata/fanout/*.txt", largeSeeds, func(t *testing.T, seed uint64) *fleet {
		return newLargeFleet(t, seed, twoCentres, 60)
	})
}

// TestScenariosWithFanout guards against nodes that recover from a failure without sub-relays but not with them.
func TestScenariosWithFanout(t *testing.T) {
	runLarge(t, "testdata/scenarios/*.txt", 1, func(t *testing.T, seed uint64) *fleet {
		return newLargeFleet(t, seed, allCentres(), 40)
	})
}

func runLarge(t *testing.T, pattern string, seeds uint64, build func(*testing.T, uint64) *fleet) {
	files, err := filepath.Glob(pattern)
	if err != nil || len(files) == 0 {
		t.Fatalf("no scenarios: %v", err)
	}
	for _, file := range files {
		steps := readSteps(t, file)
		for seed := uint64(1); seed <= seeds; seed++ {
			t.Run(fmt.Sprint(strings.TrimSuffix(filepath.Base(file), ".txt"), "/seed", seed), func(t *testing.T) {
				t.Parallel()
				f := build(t, seed)
				f.converge(15 * time.Second)
				f.sim.Run(10 * time.Second)
				f.requireFanout()
				for _, s := range steps {
					f.perform(s)
				}
				f.finish()
			})
		}
	}
}

// subRelays returns the running sub-relays of the data centre.
func (f *fleet) subRelays(dc string) []string {
	var ss []string
	for _, n := range f.nodesNamed("centre", []string{dc}) {
		if f.sim.Alive(n) && f.machines[n].fanoutRole.isSubRelay {
			ss = append(ss, n)
		}
	}
	if len(ss) == 0 {
		f.t.Fatalf("%s has no sub-relay", dc)
	}
	return ss
}

// leaf returns one running node of the data centre that serves no other nodes.
func (f *fleet) leaf(dc string) []string {
	for _, n := range f.nodesNamed("centre", []string{dc}) {
		if f.sim.Alive(n) && !f.machines[n].servesNodes() {
			return []string{n}
		}
	}
	f.t.Fatalf("%s has no leaf", dc)
	return nil
}

// requireFanout requires, in each data centre, that each leaf has two running sub-relays, that no sub-relay serves
// another sub-relay, and that no relay serves more than fanoutThreshold nodes itself.
func (f *fleet) requireFanout() {
	f.t.Helper()
	for _, dc := range f.centres() {
		subs := map[string]bool{}
		for _, s := range f.subRelays(dc) {
			subs[s] = true
		}
		for _, n := range f.nodesNamed("centre", []string{dc}) {
			m := f.machines[n]
			if !f.sim.Alive(n) {
				continue
			}
			if !m.servesNodes() && (len(m.client.relays) != subRelaysPerClient || !subs[m.client.relays[0]] ||
				!subs[m.client.relays[1]]) {
				f.t.Errorf("the leaf %s has the sub-relays %v", n, m.client.relays)
			}
			if m.leaseIndex >= 0 && len(m.server.clients) > fanoutThreshold {
				f.t.Errorf("the relay %s serves %d nodes itself", n, len(m.server.clients))
			}
			for c := range m.server.clients {
				if m.leaseIndex < 0 && subs[n] && subs[c] {
					f.t.Errorf("the sub-relay %s serves the sub-relay %s", n, c)
				}
			}
		}
	}
}

// requireNodesCounted requires that each report counts all running nodes of its data centre on the newest version.
func (f *fleet) requireNodesCounted() {
	f.t.Helper()
	for _, dc := range f.centres() {
		living := 0
		for _, n := range f.nodesNamed("centre", []string{dc}) {
			if f.sim.Alive(n) {
				living++
			}
		}
		if got := f.countedOnNewest(dc); got != living {
			f.t.Errorf("the report of %s counts %d nodes on version %d, want %d", dc, got, f.head.Version(), living)
		}
	}
}

// TestFilteredDelta guards against a new relay that applies a delta that was filtered for it while it was a client, and
// serves this part of the configuration to its clients as the whole.
func TestFilteredDelta(t *testing.T) {
	f := newLargeFleet(t, 1, twoCentres, 60)
	f.converge(15 * time.Second)
	relay := f.holder("obb-a", 0)
	definition, err := differ.DecodeDefinition([]byte(`{"name":"startlisten","version":"2"}`))
	if err != nil {
		t.Fatal(err)
	}
	filtered, err := differ.New(2, "ordinary", map[string]differ.Definition{"startlisten": definition}, nil)
	if err != nil {
		t.Fatal(err)
	}
	d := differ.Diff(differ.State{}, filtered)
	f.sim.Inject(relay, event.NewReceived("mfr-a-0", message.New(deltaKind, &d)))
	if got := f.machines[relay].distribution.latestState.Version(); got != 1 {
		t.Errorf("the relay has version %d, want 1: it applied a delta for a client", got)
	}
}
