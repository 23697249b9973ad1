package distribution

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"wisteriaspoke.example/mesh/config"
	"wisteriaspoke.example/mesh/controller"
	"wisteriaspoke.example/mesh/head"
	"wisteriaspoke.example/mesh/machine"
	"wisteriaspoke.example/mesh/relayer"
	"wisteriaspoke.example/mesh/service"
	"wisteriaspoke.example/mesh/simulator"
)

// dependencies is the number of services that each service calls.
const dependencies = 5

// fleet is a simulated fleet with two data centres in each region.
type fleet struct {
	sim       *simulator.Simulator
	size      int
	regions   []string
	services  []string
	head      head.Head
	accepted  time.Time
	published map[string]uint64
	when      map[string]time.Time
	cut       string // region without contact to the others, or empty
}

// shape returns the number of regions and services of a fleet of the size: today's up to 1,000 nodes, then the target's.
func shape(size int) (regions, services int) {
	switch {
	case size <= 18:
		return 3, 3
	case size <= 1000:
		return 3, 48
	}
	return 5, 480
}

func newFleet(size int, seed uint64, poll bool) *fleet {
	f := &fleet{sim: simulator.New(seed, "r0"), size: size, published: map[string]uint64{}, when: map[string]time.Time{}}
	regions, services := shape(size)
	for i := range regions {
		f.regions = append(f.regions, fmt.Sprint("r", i))
	}
	for i := range services {
		f.services = append(f.services, fmt.Sprintf("service-%03d", i))
	}
	f.sim.Build = func(c machine.Config) *controller.Controller {
		m := relayer.New(c)
		if poll {
			m = newPoller(c, size)
		}
		return &controller.Controller{Machines: []machine.Machine{m}}
	}
	f.sim.OnPublish = f.publish
	f.sim.Partitioned = func(a, b string) bool { return a != b && (a == f.cut || b == f.cut) }
	f.change(f.services)
	f.add()
	return f
}

func (f *fleet) add() {
	var centres, seeds []string
	for _, region := range f.regions {
		centres = append(centres, region+"-a", region+"-b")
	}
	for _, dc := range centres {
		seeds = append(seeds, dc+"-n0000")
	}
	for i := range f.size {
		dc := centres[i%len(centres)]
		f.sim.Add(machine.Config{
			Node: fmt.Sprintf("%s-n%04d", dc, i/len(centres)), DataCentre: dc, Region: strings.SplitN(dc, "-", 2)[0],
			Service: f.services[(i/len(centres))%len(f.services)], Version: "1", Seeds: seeds,
		})
	}
}

func (f *fleet) publish(now time.Time, node string, value any) {
	c, ok := value.(config.Config)
	if !ok || c.Version() <= f.published[node] {
		return
	}
	f.published[node] = c.Version()
	f.when[node] = now
}

// change accepts a version with new definitions of the named services.
func (f *fleet) change(names []string) {
	parts := maps.Clone(f.head.DefinitionDigests())
	if parts == nil {
		parts = map[string]string{}
	}
	version := f.head.Version() + 1
	for _, name := range names {
		i := slices.Index(f.services, name)
		data, digest := definition(f.services, i, version)
		f.sim.Store().Put("parts", digest, data)
		parts[name] = digest
	}
	f.head = f.head.WithPreset("ordinary", parts, fmt.Sprint("token", version), "bench")
	spec, err := f.head.Encode()
	if err != nil {
		panic(err)
	}
	f.sim.Store().Put(head.Plural, head.Name, spec)
	f.accepted = f.sim.Now()
}

// definition returns a definition of about 1 KB, as the design page assumes, and its digest.
func definition(services []string, i int, version uint64) ([]byte, string) {
	var depends []string
	for d := range min(dependencies, len(services)) {
		depends = append(depends, services[(i+d+1)%len(services)])
	}
	var routes []map[string]any
	for n := range 8 {
		routes = append(routes, map[string]any{
			"name": fmt.Sprint("route-", n), "path": fmt.Sprintf("/%s/%d", services[i], n), "methods": []string{"GET", "POST"}, "timeout": 2000,
		})
	}
	raw, err := json.Marshal(map[string]any{"name": services[i], "version": fmt.Sprint(version), "depends": depends, "routes": routes})
	if err != nil {
		panic(err)
	}
	var s service.Service
	if err := json.Unmarshal(raw, &s); err != nil {
		panic(err)
	}
	data, err := json.Marshal(s)
	if err != nil {
		panic(err)
	}
	return data, service.DigestOf(data)
}

// next accepts a version that changes one service.
func (f *fleet) next() { f.change([]string{f.services[int(f.head.Version())%len(f.services)]}) }

// settle lets the fleet start and reach the first version.
func (f *fleet) settle() {
	f.wait(60 * time.Second)
	f.sim.Run(8 * time.Second)
}

// wait lets time pass until all living nodes have the newest version, looked at each 5 ms so that large fleets are not
// scanned after each event, and reports whether they did.
func (f *fleet) wait(limit time.Duration) bool {
	end := f.sim.Now().Add(limit)
	for !f.done() {
		if !f.sim.Now().Before(end) {
			return false
		}
		f.sim.Run(5 * time.Millisecond)
	}
	return true
}

func (f *fleet) done() bool {
	for _, n := range f.sim.Nodes() {
		if f.sim.Alive(n) && f.published[n] != f.head.Version() {
			return false
		}
	}
	return true
}

// times returns how long each living node took to the newest version since it was accepted, or since the given time
// where that is later and the node did not have it before; nodes that lack it count with the limit.
func (f *fleet) times(since time.Time, limit time.Duration) []time.Duration {
	var ts []time.Duration
	for _, n := range f.sim.Nodes() {
		if !f.sim.Alive(n) {
			continue
		}
		t := limit
		if f.published[n] == f.head.Version() {
			start := f.accepted
			if f.when[n].After(since) && since.After(start) {
				start = since
			}
			t = f.when[n].Sub(start)
		}
		ts = append(ts, t)
	}
	return ts
}

// holder returns the address in a relay lease.
func (f *fleet) holder(dc string, index int) string {
	var w struct {
		Holder string `json:"holder"`
	}
	o := f.sim.Store().Object("leases", fmt.Sprintf("relay-%s-%d", dc, index))
	if len(o.Spec()) == 0 || json.Unmarshal(o.Spec(), &w) != nil {
		return ""
	}
	return w.Holder
}
