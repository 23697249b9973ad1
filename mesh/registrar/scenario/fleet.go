package scenario

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"wisteriaspoke.example/mesh/config"
	"wisteriaspoke.example/mesh/controller"
	"wisteriaspoke.example/mesh/endpoint"
	"wisteriaspoke.example/mesh/event"
	"wisteriaspoke.example/mesh/machine"
	"wisteriaspoke.example/mesh/registrar"
	"wisteriaspoke.example/mesh/roster"
	"wisteriaspoke.example/mesh/service"
	"wisteriaspoke.example/mesh/simulator"
)

// LeaseTime is the minimum time after a relay's death until another node acquires its lease.
const LeaseTime = 3 * time.Second

// upstreamStartDelay is the time between a node's start and its upstream being ready.
const upstreamStartDelay = 100 * time.Millisecond

// maxRosterDelay is the time within which all nodes receive their new roster after a change of relays.
const maxRosterDelay = 50 * time.Millisecond

// Config is the size of a fleet.
type Config struct {
	Regions      int // with two data centres each
	Nodes        int
	Services     int
	Dependencies int // services that each service depends on; 0 subscribes every node to all
}

// Fleet is a simulated fleet with scripted leases; it is not safe for concurrent use.
type Fleet struct {
	*Observer
	size    Config
	sim     *simulator.Simulator
	rand    *rand.Rand
	centres []string
	nodes   map[string][]string  // addresses by data centre
	leases  map[string]*[2]lease // leases by data centre
	rosters map[string]roster.Roster
	config  config.Config
	paused  map[string]bool
}

type lease struct {
	holder string
	epoch  uint64
}

// New returns a fleet at the start of virtual time; build makes a node's machines, and nil means only its registrar.
func New(seed uint64, s Config, build func(machine.Config) *controller.Controller) *Fleet {
	if build == nil {
		build = func(c machine.Config) *controller.Controller {
			return &controller.Controller{Machines: []machine.Machine{registrar.New(c)}}
		}
	}
	f := &Fleet{
		size: s, sim: simulator.New(seed, "r0"), rand: rand.New(rand.NewPCG(seed, 2)),
		nodes: map[string][]string{}, leases: map[string]*[2]lease{},
		rosters: map[string]roster.Roster{}, paused: map[string]bool{},
	}
	f.Observer = newObserver()
	f.sim.Build = build
	f.sim.OnPublish = f.published
	f.config = f.configure()
	for r := range s.Regions {
		f.centres = append(f.centres, fmt.Sprintf("r%d-a", r), fmt.Sprintf("r%d-b", r))
	}
	for i := range s.Nodes {
		f.add(i)
	}
	for _, dc := range f.centres {
		f.leases[dc] = &[2]lease{{f.nodes[dc][0], 1}, {f.nodes[dc][1], 1}}
	}
	f.Refresh()
	return f
}

// configure returns a configuration in which each service depends on the ones that follow it.
func (f *Fleet) configure() config.Config {
	services := map[string]service.Service{}
	for i := range f.size.Services {
		depends := "[]"
		for d := range f.size.Dependencies {
			if d == 0 {
				depends = "["
			} else {
				depends = depends[:len(depends)-1] + ","
			}
			depends += fmt.Sprintf("%q]", serviceName((i+d+1)%f.size.Services))
		}
		var s service.Service
		spec := fmt.Sprintf(`{"name":%q,"version":"1","depends":%s}`, serviceName(i), depends)
		if err := s.UnmarshalJSON([]byte(spec)); err != nil {
			panic(err)
		}
		services[s.Name()] = s
	}
	return config.New(1, "ordinary", services, nil)
}

func serviceName(i int) string { return fmt.Sprintf("s%d", i) }

func (f *Fleet) add(i int) {
	dc := f.centres[i%len(f.centres)]
	address := fmt.Sprintf("10.%d.%d.%d:7000", i%len(f.centres), i/256, i%256)
	f.nodes[dc] = append(f.nodes[dc], address)
	f.sim.Add(machine.Config{
		Node: address, DataCentre: dc, Region: dc[:len(dc)-2], Service: serviceName(i / len(f.centres) % f.size.Services),
		Version: "1", Slots: 12,
	})
	f.initialise(address)
}

// initialise injects the events that a started node gets from its relayer and its data path.
func (f *Fleet) initialise(address string) {
	f.reset(address)
	f.sim.After(time.Millisecond, func() {
		f.sim.Inject(address, event.NewLocal(event.Config, f.config))
		f.sim.Inject(address, event.NewLocal(event.Roster, f.rosters[address]))
	})
	incarnation := f.sim.Config(address).Incarnation
	f.sim.After(upstreamStartDelay, func() {
		if f.sim.Alive(address) && f.sim.Config(address).Incarnation == incarnation {
			f.sim.Inject(address, event.NewLocal(event.Upstream, endpoint.Ready))
		}
	})
}

// Simulator returns the simulator.
func (f *Fleet) Simulator() *simulator.Simulator { return f.sim }

// DataCentres returns the names of the data centres.
func (f *Fleet) DataCentres() []string { return f.centres }

// NodesIn returns the addresses of a data centre's nodes.
func (f *Fleet) NodesIn(dataCentre string) []string { return f.nodes[dataCentre] }

// LeaseHolder returns the address of the node that holds a lease.
func (f *Fleet) LeaseHolder(dataCentre string, index int) string {
	return f.leases[dataCentre][index].holder
}

// IsRelay reports whether the node holds a lease.
func (f *Fleet) IsRelay(address string) bool {
	dc := f.sim.Config(address).DataCentre
	return f.leases[dc][0].holder == address || f.leases[dc][1].holder == address
}

// Leave makes a node's upstream report that it is leaving.
func (f *Fleet) Leave(address string) {
	f.sim.Inject(address, event.NewLocal(event.Upstream, endpoint.Leaving))
}

// Kill ends a node. If it held a lease, another node acquires it once it has expired.
func (f *Fleet) Kill(address string) {
	delete(f.paused, address)
	f.sim.Kill(address)
	f.ExpireLeases(address)
}

// ExpireLeases lets the leases of a node run out, as when it cannot reach the store.
func (f *Fleet) ExpireLeases(address string) {
	dc := f.sim.Config(address).DataCentre
	for i := range f.leases[dc] {
		if f.leases[dc][i].holder != address {
			continue
		}
		f.sim.After(LeaseTime, func() { f.expireLease(dc, i, address) })
	}
}

// expireLease ends a lease and grants it to another node up to 300 ms later.
func (f *Fleet) expireLease(dc string, index int, address string) {
	s := &f.leases[dc][index]
	if s.holder != address {
		return
	}
	s.holder = ""
	f.Refresh()
	f.sim.After(time.Duration(f.rand.Int64N(int64(300*time.Millisecond))), func() { f.grantLease(dc, index) })
}

func (f *Fleet) grantLease(dc string, index int) {
	s := &f.leases[dc][index]
	if s.holder != "" {
		return
	}
	for _, n := range f.nodes[dc] {
		if f.Running(n) && !f.IsRelay(n) && f.SetCount(n) > 0 {
			s.holder = n
			s.epoch++
			f.Refresh()
			return
		}
	}
	f.sim.After(time.Second, func() { f.grantLease(dc, index) })
}

// Pause pauses a node. A lease that it holds expires.
func (f *Fleet) Pause(address string) {
	f.paused[address] = true
	f.sim.Pause(address)
	f.ExpireLeases(address)
}

// Running reports whether a node is alive and not paused, so that it can choose endpoints for calls.
func (f *Fleet) Running(address string) bool { return f.sim.Alive(address) && !f.paused[address] }

// Resume resumes a paused node. Its relayer then finds the lease expired.
func (f *Fleet) Resume(address string) {
	delete(f.paused, address)
	f.sim.Resume(address)
	f.sim.Inject(address, event.NewTick())
	f.sim.Inject(address, event.NewLocal(event.Roster, f.rosters[address]))
}

// Restart starts a killed node again at the same address.
func (f *Fleet) Restart(address string) {
	f.sim.Restart(address)
	f.initialise(address)
}

// Refresh sends a new roster to every node whose roster changed.
func (f *Fleet) Refresh() {
	gateways := f.gateways()
	for _, dc := range f.centres {
		for _, n := range f.nodes[dc] {
			next := f.roster(n, dc, gateways)
			if next.Equal(f.rosters[n]) && len(f.rosters) == len(f.sim.Nodes()) {
				continue
			}
			f.rosters[n] = next
			f.sim.After(time.Duration(f.rand.Int64N(int64(maxRosterDelay))), func() {
				f.sim.Inject(n, event.NewLocal(event.Roster, f.rosters[n]))
			})
		}
	}
}

// gateways returns the gateway of each region: its first relay.
func (f *Fleet) gateways() map[string]string {
	gs := map[string]string{}
	for _, dc := range f.centres {
		for _, h := range f.relayAddresses(dc) {
			region := dc[:len(dc)-2]
			if gs[region] == "" {
				gs[region] = h
			}
		}
	}
	return gs
}

func (f *Fleet) relayAddresses(dc string) []string {
	var hs []string
	for _, s := range f.leases[dc] {
		if s.holder != "" {
			hs = append(hs, s.holder)
		}
	}
	return hs
}

func (f *Fleet) roster(address, dc string, gateways map[string]string) roster.Roster {
	relays := f.relayAddresses(dc)
	fields := roster.Fields{LeaseIndex: -1, Relays: relays}
	for i, s := range f.leases[dc] {
		if s.holder == address {
			fields.LeaseIndex, fields.Epoch = i, s.epoch
		}
	}
	if fields.LeaseIndex < 0 {
		return roster.New(fields)
	}
	region := dc[:len(dc)-2]
	fields.Owner = relays[0] == address
	fields.Gateway = gateways[region] == address
	for _, other := range f.centres {
		if other != dc && other[:len(other)-2] == region {
			fields.RegionRelays = append(fields.RegionRelays, f.relayAddresses(other)...)
		}
	}
	for r, g := range gateways {
		if r != region {
			fields.RemoteGateways = append(fields.RemoteGateways, g)
		}
	}
	slices.Sort(fields.RemoteGateways)
	return roster.New(fields)
}
