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

// fleet is a simulated set of nodes, by default 18 in 3 regions with 2 data centres each, with checks of what they
// publish.
type fleet struct {
	t           testing.TB
	sim         *simulator.Simulator
	head        head.Head
	published   map[string]uint64
	inForce     map[string]config.Config
	publishedAt map[string]time.Time
	cutRegions  map[string]bool // regions that cannot reach other regions
	findings    []string
	frozen      []string
	killed      []string            // by the step "kill"
	machines    map[string]*relayer // by node, of its current incarnation; only set by newLargeFleet
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

// newLargeFleet returns a fleet of the given data centres, with access to the machines for checks of sub-relays.
func newLargeFleet(t testing.TB, seed uint64, centres []string, size int) *fleet {
	machines := map[string]*relayer{}
	f := newFleetOf(t, seed, func(c machine.Config) *controller.Controller {
		machines[c.Node] = New(c).(*relayer)
		return &controller.Controller{Machines: []machine.Machine{machines[c.Node]}}
	}, centres, size)
	f.machines = machines
	return f
}

// newFleetOf returns a fleet of the given data centres with size nodes each.
func newFleetOf(
	t testing.TB, seed uint64, build func(machine.Config) *controller.Controller, centres []string, size int,
) *fleet {
	f := &fleet{
		t: t, sim: simulator.New(seed, regions[0]), published: map[string]uint64{}, inForce: map[string]config.Config{},
		publishedAt: map[string]time.Time{}, cutRegions: map[string]bool{},
	}
	if build != nil {
		f.sim.Build = build
	}
	f.sim.OnPublish = f.checkPublished
	f.sim.Partitioned = func(a, b string) bool { return a != b && (f.cutRegions[a] || f.cutRegions[b]) }
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

// checkPublished checks each published value: a node's versions never decrease, and no definition is missing.
func (f *fleet) checkPublished(now time.Time, node string, value any) {
	c, ok := value.(config.Config)
	if !ok {
		return
	}
	if c.Version() < f.published[node] {
		f.addFinding("%s went back from version %d to %d", node, f.published[node], c.Version())
	}
	ownService := f.sim.Config(node).Service
	if _, ok := c.Services()[ownService]; !ok {
		f.addFinding("%s published version %d without its own service %s", node, c.Version(), ownService)
	}
	for name := range c.Shares() {
		if _, ok := c.Services()[name]; !ok {
			f.addFinding("%s published a share for the missing service %s", node, name)
		}
	}
	f.published[node] = max(f.published[node], c.Version())
	f.inForce[node] = c
	f.publishedAt[node] = now
}

func (f *fleet) addFinding(format string, args ...any) {
	f.findings = append(f.findings, fmt.Sprintf(format, args...))
}

// accept writes a new version to the store as its writers do: definitions first, then the head.
func (f *fleet) accept(modify func(digests map[string]string)) {
	digests := map[string]string{}
	version := f.head.Version() + 1
	for _, name := range services {
		spec := fmt.Sprintf(`{"name":%q,"version":"%d","routes":[{"name":"r","path":"/%s"}]}`, name, version, name)
		digests[name] = f.storeDefinition(spec)
	}
	if modify != nil {
		modify(digests)
	}
	f.storeHead(f.head.WithPreset("ordinary", digests, fmt.Sprint("token", version), "test"))
}

func (f *fleet) storeDefinition(spec string) string {
	var s service.Service
	if err := json.Unmarshal([]byte(spec), &s); err != nil {
		f.t.Fatal(err)
	}
	data, _ := json.Marshal(s)
	digest, _ := s.Digest()
	f.sim.Store().Put("parts", digest, data)
	return digest
}

func (f *fleet) storeHead(h head.Head) {
	spec, err := h.Encode()
	if err != nil {
		f.t.Fatal(err)
	}
	f.head = h
	f.sim.Store().Put(head.Plural, head.Name, spec)
}

// laggingExcept returns the running nodes, except the skipped ones, that do not have the version in force.
func (f *fleet) laggingExcept(version uint64, skip func(string) bool) []string {
	var ls []string
	for _, n := range f.sim.Nodes() {
		if !skip(n) && f.sim.Alive(n) && f.inForce[n].Version() != version {
			ls = append(ls, fmt.Sprintf("%s on %d", n, f.inForce[n].Version()))
		}
	}
	return ls
}

// converge requires that all running nodes reach the accepted version within the limit and returns how long they took.
func (f *fleet) converge(limit time.Duration) time.Duration {
	f.t.Helper()
	return f.convergeExcept(limit, func(string) bool { return false })
}

// convergeExcept is converge for the nodes that are not skipped.
func (f *fleet) convergeExcept(limit time.Duration, skip func(string) bool) time.Duration {
	f.t.Helper()
	start := f.sim.Now()
	if !f.sim.RunUntil(limit, func() bool { return len(f.laggingExcept(f.head.Version(), skip)) == 0 }) {
		f.t.Errorf("after %v not on version %d: %v", limit, f.head.Version(), f.laggingExcept(f.head.Version(), skip))
	}
	return f.sim.Now().Sub(start)
}

// finish reports the findings of checkPublished.
func (f *fleet) finish() {
	f.t.Helper()
	for _, m := range f.findings {
		f.t.Error(m)
	}
}

// holder returns the holder's address in the data centre's lease with the index.
func (f *fleet) holder(dc string, index int) string {
	var record struct {
		Holder string `json:"holder"`
	}
	o := f.sim.Store().Object("leases", leaseName(dc, index))
	if o.Revision() == "" {
		return ""
	}
	_ = json.Unmarshal(o.Spec(), &record)
	return record.Holder
}
