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

// dependenciesPerService is the number of services that each service calls.
const dependenciesPerService = 5

// fleet is a simulated fleet with two data centres in each region.
type fleet struct {
	sim               *simulator.Simulator
	size              int
	regions           []string
	services          []string
	head              head.Head
	acceptedAt        time.Time
	publishedVersions map[string]uint64
	publishedAt       map[string]time.Time
	partitionedRegion string // region partitioned from the others, or empty
}

// fleetShape returns the number of regions and services for a fleet size: today's up to 1,000 nodes, then the target's.
func fleetShape(size int) (regions, services int) {
	switch {
	case size <= 18:
		return 3, 3
	case size <= 1000:
		return 3, 48
	}
	return 5, 480
}

func newFleet(size int, seed uint64, poll bool) *fleet {
	f := &fleet{sim: simulator.New(seed, "r0"), size: size, publishedVersions: map[string]uint64{}, publishedAt: map[string]time.Time{}}
	regions, services := fleetShape(size)
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
	f.sim.OnPublish = f.handlePublished
	f.sim.Partitioned = func(a, b string) bool { return a != b && (a == f.partitionedRegion || b == f.partitionedRegion) }
	f.acceptChange(f.services)
	f.addNodes()
	return f
}

func (f *fleet) addNodes() {
	var dataCentres, seeds []string
	for _, region := range f.regions {
		dataCentres = append(dataCentres, region+"-a", region+"-b")
	}
	for _, dc := range dataCentres {
		seeds = append(seeds, dc+"-n0000")
	}
	for i := range f.size {
		dc := dataCentres[i%len(dataCentres)]
		f.sim.Add(machine.Config{
			Node: fmt.Sprintf("%s-n%04d", dc, i/len(dataCentres)), DataCentre: dc, Region: strings.SplitN(dc, "-", 2)[0],
			Service: f.services[(i/len(dataCentres))%len(f.services)], Version: "1", Seeds: seeds,
		})
	}
}

func (f *fleet) handlePublished(now time.Time, node string, value any) {
	c, ok := value.(config.Config)
	if !ok || c.Version() <= f.publishedVersions[node] {
		return
	}
	f.publishedVersions[node] = c.Version()
	f.publishedAt[node] = now
}

// acceptChange stores a new head version with new definitions of the named services.
func (f *fleet) acceptChange(names []string) {
	digests := maps.Clone(f.head.DefinitionDigests())
	if digests == nil {
		digests = map[string]string{}
	}
	version := f.head.Version() + 1
	for _, name := range names {
		i := slices.Index(f.services, name)
		data, digest := definition(f.services, i, version)
		f.sim.Store().Put("parts", digest, data)
		digests[name] = digest
	}
	f.head = f.head.WithPreset("ordinary", digests, fmt.Sprint("token", version), "bench")
	spec, err := f.head.Encode()
	if err != nil {
		panic(err)
	}
	f.sim.Store().Put(head.Plural, head.Name, spec)
	f.acceptedAt = f.sim.Now()
}

// definition returns a definition of about 1 KB, as the design page assumes, and its digest.
func definition(services []string, i int, version uint64) ([]byte, string) {
	var depends []string
	for d := range min(dependenciesPerService, len(services)) {
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

// changeOneService stores a new head version that changes one service.
func (f *fleet) changeOneService() {
	f.acceptChange([]string{f.services[int(f.head.Version())%len(f.services)]})
}

// waitInitialVersion waits until the fleet has started and applied the first version.
func (f *fleet) waitInitialVersion() {
	f.waitConverged(60 * time.Second)
	f.sim.Run(8 * time.Second)
}

// waitConverged waits until all running nodes have the latest version and reports whether they did within limit. It
// checks every 5 ms, so that large fleets are not scanned after each event.
func (f *fleet) waitConverged(limit time.Duration) bool {
	end := f.sim.Now().Add(limit)
	for !f.converged() {
		if !f.sim.Now().Before(end) {
			return false
		}
		f.sim.Run(5 * time.Millisecond)
	}
	return true
}

func (f *fleet) converged() bool {
	for _, n := range f.sim.Nodes() {
		if f.sim.Alive(n) && f.publishedVersions[n] != f.head.Version() {
			return false
		}
	}
	return true
}

// convergenceTimes returns how long each running node took to publish the latest version, from its acceptance or, if
// later, from since for nodes that published it after that time. Nodes without the version count as limit.
func (f *fleet) convergenceTimes(since time.Time, limit time.Duration) []time.Duration {
	var ts []time.Duration
	for _, n := range f.sim.Nodes() {
		if !f.sim.Alive(n) {
			continue
		}
		t := limit
		if f.publishedVersions[n] == f.head.Version() {
			start := f.acceptedAt
			if f.publishedAt[n].After(since) && since.After(start) {
				start = since
			}
			t = f.publishedAt[n].Sub(start)
		}
		ts = append(ts, t)
	}
	return ts
}

// relayHolder returns the address of the holder of a relay lease, or the empty string.
func (f *fleet) relayHolder(dc string, index int) string {
	var w struct {
		Holder string `json:"holder"`
	}
	o := f.sim.Store().Object("leases", fmt.Sprintf("relay-%s-%d", dc, index))
	if len(o.Spec()) == 0 || json.Unmarshal(o.Spec(), &w) != nil {
		return ""
	}
	return w.Holder
}
