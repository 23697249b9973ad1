package relayer

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"wisteriaspoke.example/mesh/config"
	"wisteriaspoke.example/mesh/controller"
	"wisteriaspoke.example/mesh/head"
	"wisteriaspoke.example/mesh/machine"
	"wisteriaspoke.example/mesh/service"
	"wisteriaspoke.example/mesh/simulator"
)

// fleet is 18 nodes in 3 regions with 2 data centres each, and an oracle on what they publish.
type fleet struct {
	t         testing.TB
	sim       *simulator.Simulator
	head      head.Head
	published map[string]uint64
	forced    map[string]config.Config
	when      map[string]time.Time
	cut       map[string]bool // regions without contact to the others
	faults    []string
	frozen    []string
	killed    []string            // by the step "kill"
	machines  map[string]*relayer // of each node's present life, in a fleet of newLargeFleet
}

var (
	regions  = []string{"obb", "mfr", "swb"}
	services = []string{"startlisten", "meldung", "ergebnis"}
)

func newFleet(t testing.TB, seed uint64, build func(machine.Config) *controller.Controller) *fleet {
	return newFleetOf(t, seed, build, allCentres(), 3)
}

func allCentres() []string {
	var centres []string
	for _, region := range regions {
		centres = append(centres, region+"-a", region+"-b")
	}
	return centres
}

// newLargeFleet is a fleet with enough nodes in each data centre for sub-relays.
func newLargeFleet(t testing.TB, seed uint64, centres []string, size int) *fleet {
	machines := map[string]*relayer{}
	f := newFleetOf(t, seed, func(c machine.Config) *controller.Controller {
		machines[c.Node] = New(c).(*relayer)
		return &controller.Controller{Machines: []machine.Machine{machines[c.Node]}}
	}, centres, size)
	f.machines = machines
	return f
}

// newFleetOf is a fleet of the given data centres with size nodes each.
func newFleetOf(
	t testing.TB, seed uint64, build func(machine.Config) *controller.Controller, centres []string, size int,
) *fleet {
	f := &fleet{
		t: t, sim: simulator.New(seed, regions[0]), published: map[string]uint64{}, forced: map[string]config.Config{},
		when: map[string]time.Time{}, cut: map[string]bool{},
	}
	if build != nil {
		f.sim.Build = build
	}
	f.sim.OnPublish = f.check
	f.sim.Partitioned = func(a, b string) bool { return a != b && (f.cut[a] || f.cut[b]) }
	f.accept(nil)
	var seeds []string
	for _, dc := range centres {
		seeds = append(seeds, dc+"-0")
	}
	for _, dc := range centres {
		for i := range size {
			f.sim.Add(machine.Config{
				Node: fmt.Sprintf("%s-%d", dc, i), DataCentre: dc, Region: strings.SplitN(dc, "-", 2)[0],
				Service: services[i%len(services)], Version: "1", Seeds: seeds,
			})
		}
	}
	return f
}

// check is the oracle on single values: versions never go back at an address, and no part is missing.
func (f *fleet) check(now time.Time, node string, value any) {
	c, ok := value.(config.Config)
	if !ok {
		return
	}
	if c.Version() < f.published[node] {
		f.fault("%s went back from version %d to %d", node, f.published[node], c.Version())
	}
	own := f.sim.Config(node).Service
	if _, ok := c.Services()[own]; !ok {
		f.fault("%s published version %d without its own service %s", node, c.Version(), own)
	}
	for name := range c.Shares() {
		if _, ok := c.Services()[name]; !ok {
			f.fault("%s published a share for the missing service %s", node, name)
		}
	}
	f.published[node] = max(f.published[node], c.Version())
	f.forced[node] = c
	f.when[node] = now
}

func (f *fleet) fault(format string, args ...any) {
	f.faults = append(f.faults, fmt.Sprintf(format, args...))
}

// accept puts a new version into the store as the accepter does: parts first, then the head.
func (f *fleet) accept(change func(parts map[string]string)) {
	parts := map[string]string{}
	version := f.head.Version() + 1
	for _, name := range services {
		spec := fmt.Sprintf(`{"name":%q,"version":"%d","routes":[{"name":"r","path":"/%s"}]}`, name, version, name)
		parts[name] = f.part(spec)
	}
	if change != nil {
		change(parts)
	}
	f.put(f.head.WithPreset("ordinary", parts, fmt.Sprint("token", version), "test"))
}

func (f *fleet) part(spec string) string {
	var s service.Service
	if err := json.Unmarshal([]byte(spec), &s); err != nil {
		f.t.Fatal(err)
	}
	data, _ := json.Marshal(s)
	digest, _ := s.Digest()
	f.sim.Store().Put("parts", digest, data)
	return digest
}

func (f *fleet) put(h head.Head) {
	spec, err := h.Encode()
	if err != nil {
		f.t.Fatal(err)
	}
	f.head = h
	f.sim.Store().Put(head.Plural, head.Name, spec)
}

// laggingWithout returns the living nodes, but for the skipped ones, that are not on the version.
func (f *fleet) laggingWithout(version uint64, skip func(string) bool) []string {
	var ls []string
	for _, n := range f.sim.Nodes() {
		if !skip(n) && f.sim.Alive(n) && f.forced[n].Version() != version {
			ls = append(ls, fmt.Sprintf("%s on %d", n, f.forced[n].Version()))
		}
	}
	return ls
}

// converge requires that all living nodes reach the accepted version within the limit and returns how long they took.
func (f *fleet) converge(limit time.Duration) time.Duration {
	f.t.Helper()
	return f.convergeWithout(limit, func(string) bool { return false })
}

// convergeWithout is converge for the nodes that are not skipped.
func (f *fleet) convergeWithout(limit time.Duration, skip func(string) bool) time.Duration {
	f.t.Helper()
	start := f.sim.Now()
	if !f.sim.RunUntil(limit, func() bool { return len(f.laggingWithout(f.head.Version(), skip)) == 0 }) {
		f.t.Errorf("after %v not on version %d: %v", limit, f.head.Version(), f.laggingWithout(f.head.Version(), skip))
	}
	return f.sim.Now().Sub(start)
}

// finish reports the oracle's findings.
func (f *fleet) finish() {
	f.t.Helper()
	for _, m := range f.faults {
		f.t.Error(m)
	}
}

// holder returns the address in the lease of the data centre.
func (f *fleet) holder(dc string, index int) string {
	var w struct {
		Holder string `json:"holder"`
	}
	o := f.sim.Store().Object("leases", leaseName(dc, index))
	if o.Revision() == "" {
		return ""
	}
	_ = json.Unmarshal(o.Spec(), &w)
	return w.Holder
}
