package registrar_test

import (
	"testing"
	"time"

	"wisteriaspoke.example/mesh/endpoint"
	"wisteriaspoke.example/mesh/registrar/scenario"
)

// departureBound is guarantee P8: a leaving upstream gets no new calls after this time.
const departureBound = 3 * time.Second

// notChosen reports whether no running node would choose the endpoint.
func notChosen(f *scenario.Fleet, address string) bool {
	for _, n := range f.Simulator().Nodes() {
		if f.Running(n) && n != address && f.State(n, address) == endpoint.Ready {
			return false
		}
	}
	return true
}

// ordinaryNode returns a live node of the data centre that holds no lease.
func ordinaryNode(f *scenario.Fleet, dataCentre string) string {
	for _, n := range f.NodesIn(dataCentre) {
		if !f.IsRelay(n) && f.Simulator().Alive(n) {
			return n
		}
	}
	return ""
}

// Guards against calls to a leaving upstream when relays or the store fail at the same moment.
func TestDepartureIsOutInTime(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name  string
		fault func(f *scenario.Fleet, dc string)
	}{
		{"no fault", func(*scenario.Fleet, string) {}},
		{"owner killed", func(f *scenario.Fleet, dc string) { f.Kill(f.LeaseHolder(dc, 0)) }},
		{"owner killed 1 ms later", func(f *scenario.Fleet, dc string) {
			owner := f.LeaseHolder(dc, 0)
			f.Simulator().After(time.Millisecond, func() { f.Kill(owner) })
		}},
		{"owner paused", func(f *scenario.Fleet, dc string) {
			f.Pause(f.LeaseHolder(dc, 0))
		}},
		{"second relay killed", func(f *scenario.Fleet, dc string) { f.Kill(f.LeaseHolder(dc, 1)) }},
		{"gateway of another region paused", func(f *scenario.Fleet, _ string) { f.Pause(f.LeaseHolder("r2-a", 0)) }},
		{"gateway of another region killed", func(f *scenario.Fleet, _ string) { f.Kill(f.LeaseHolder("r2-a", 0)) }},
		{"owner and a gateway of another region killed", func(f *scenario.Fleet, dc string) {
			f.Kill(f.LeaseHolder("r2-a", 0))
			f.Kill(f.LeaseHolder(dc, 0))
		}},
		{"two gateways killed, one of them the owner's", func(f *scenario.Fleet, dc string) {
			f.Kill(f.LeaseHolder("r2-a", 0))
			f.Kill(f.LeaseHolder("r0-a", 0))
			f.Kill(f.LeaseHolder(dc, 0))
		}},
		{"first relay of another data centre paused", func(f *scenario.Fleet, _ string) {
			f.Pause(f.LeaseHolder("r2-b", 0))
		}},
		{"store out", func(f *scenario.Fleet, _ string) { f.Simulator().Store().SetUnavailable(true) }},
	}
	shapes := []scenario.Config{deployed, {Regions: 3, Nodes: 60, Services: 5, Dependencies: 2}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for _, shape := range shapes {
				for _, seed := range seeds {
					f := startFleet(t, seed, shape)
					leaver := ordinaryNode(f, "r0-b")
					c.fault(f, "r0-b")
					f.Leave(leaver)
					if !f.Simulator().RunUntil(departureBound, func() bool { return notChosen(f, leaver) }) {
						t.Errorf("seed %d, %d nodes: %s is still chosen after %v", seed, shape.Nodes, leaver, departureBound)
					}
					// Long enough for the leases to pass to other nodes and the new owner to send its sets.
					f.Simulator().Run(8 * time.Second)
					if !notChosen(f, leaver) {
						t.Errorf("seed %d, %d nodes: %s came back", seed, shape.Nodes, leaver)
					}
					checkViolations(t, seed, f)
				}
			}
		})
	}
}
