package publisher

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"wisteriaspoke.example/mesh/config"
	"wisteriaspoke.example/mesh/endpoint"
	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/group"
	"wisteriaspoke.example/mesh/kernel"
	"wisteriaspoke.example/mesh/machine"
	"wisteriaspoke.example/mesh/router"
	"wisteriaspoke.example/mesh/snapshot"
	"wisteriaspoke.example/mesh/verdict"
)

func init() {
	kernel.Register("publisher", 50, func() kernel.Part { return New(snapshot.Location{}) })
}

// configProvider provides the settings of this node.
type configProvider interface {
	// Config returns the settings of this node.
	Config() machine.Config
}

// connector holds the connections to other nodes.
type connector interface {
	// EndBackoff lets this node dial the node at the address at once, because that node has restarted.
	EndBackoff(address string)
}

// Publisher builds snapshots separately and publishes each by an atomic pointer, so that calls never wait for it.
type Publisher struct {
	log     *slog.Logger
	current atomic.Pointer[snapshot.Snapshot]
	// endpointsComplete is set once all endpoints were published. A node without them would refuse calls that other
	// nodes can run.
	endpointsComplete atomic.Bool

	// mutex guards the fields below, which only Publish uses; calls read current.
	mutex    sync.Mutex
	location snapshot.Location
	links    []connector
	config   config.Config
	table    *router.Table
	groups   map[string]map[string]group.Group // by service, then data centre
	verdicts map[string][]verdict.Verdict      // by service
	counters map[string]map[identity]*snapshot.Counters
	pools    map[string]*snapshot.Pool
}

// identity distinguishes a restarted endpoint from its predecessor, whose failures do not count against it.
type identity struct {
	address     string
	incarnation uint64
}

// New returns a publisher for a node at the location; it logs only after Start.
func New(p snapshot.Location) *Publisher {
	return &Publisher{
		log:      slog.New(slog.DiscardHandler),
		location: p,
		groups:   map[string]map[string]group.Group{},
		verdicts: map[string][]verdict.Verdict{},
		counters: map[string]map[identity]*snapshot.Counters{},
		pools:    map[string]*snapshot.Pool{},
	}
}

// Start sets the node's location and the logger.
func (p *Publisher) Start(_ context.Context, k *kernel.Kernel) (<-chan error, error) {
	s, err := kernel.Need[configProvider](k)
	if err != nil {
		return nil, err
	}
	c := s.Config()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.log = k.Log
	p.location = snapshot.Location{DataCentre: c.DataCentre, Region: c.Region}
	p.links = kernel.All[connector](k)
	return nil, nil
}

// Snapshot returns the snapshot in force, or nil before the first configuration.
func (p *Publisher) Snapshot() *snapshot.Snapshot { return p.current.Load() }

// Ready returns nil once a configuration is in force and all endpoints of its services were published.
func (p *Publisher) Ready() error {
	if p.current.Load() == nil {
		return fault.New(fault.Unavailable, "no configuration is in force on this node", "wait until it has read one from the store or a relay")
	}
	if !p.endpointsComplete.Load() {
		return fault.New(fault.Unavailable, "the endpoints of the services are not known on this node", "wait until a relay has sent them")
	}
	return nil
}

// HasReady reports whether the endpoint of this incarnation at the address is known as ready.
func (p *Publisher) HasReady(service, address string, incarnation uint64) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, g := range p.groups[service] {
		for _, e := range g.Endpoints() {
			if e.Address() == address && e.Incarnation() == incarnation {
				return e.State() == endpoint.Ready
			}
		}
	}
	return false
}

// Publish applies a config.Config, group.Group, group.Complete or verdict.Verdict. It ignores older ones and all other
// values.
func (p *Publisher) Publish(value any) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	switch v := value.(type) {
	case config.Config:
		p.publishConfig(v)
	case group.Group:
		p.publishGroup(v)
	case group.Complete:
		p.endpointsComplete.Store(true)
	case verdict.Verdict:
		p.publishVerdict(v)
	}
}

func (p *Publisher) publishConfig(c config.Config) {
	// The same version is published again with more or fewer services when the node's subscription changes.
	if p.table != nil && c.Version() < p.config.Version() {
		p.log.Debug("older configuration ignored", "version", c.Version(), "inforce", p.config.Version())
		return
	}
	p.config = c
	p.table = router.New(c.Services())
	p.removeOldVerdicts()
	p.pools = make(map[string]*snapshot.Pool, len(c.Services()))
	for name := range c.Services() {
		p.pools[name] = p.buildPool(name)
	}
	p.storeSnapshot()
	p.log.Info("configuration in force", "version", c.Version(), "preset", c.Preset(), "services", len(c.Services()))
}

func (p *Publisher) publishGroup(g group.Group) {
	centres := p.groups[g.Service()]
	if centres == nil {
		centres = map[string]group.Group{}
		p.groups[g.Service()] = centres
	}
	old, exists := centres[g.DataCentre()]
	switch {
	case !exists || g.Replaces(old):
	case old.Replaces(g):
		return
	default:
		g = mergeDepartures(old, g)
	}
	centres[g.DataCentre()] = g
	p.rebuildPool(g.Service())
}

// mergeDepartures returns the current set, in which the endpoints that are leaving in next are leaving too; next has
// the same epoch and sequence. An endpoint that left does not return in the same incarnation.
func mergeDepartures(current, next group.Group) group.Group {
	es := slices.Clone(current.Endpoints())
	for i, e := range es {
		leaves := slices.ContainsFunc(next.Endpoints(), func(n endpoint.Endpoint) bool {
			return n.Address() == e.Address() && n.Incarnation() == e.Incarnation() && n.State() == endpoint.Leaving
		})
		if leaves {
			es[i] = e.WithState(endpoint.Leaving)
		}
	}
	return group.New(current.DataCentre(), current.Service(), current.Epoch(), current.Sequence(), es)
}

func (p *Publisher) publishVerdict(v verdict.Verdict) {
	for _, k := range p.verdicts[v.Service()] {
		if k.Rollout() == v.Rollout() && k.Version() == v.Version() {
			return
		}
	}
	p.verdicts[v.Service()] = append(p.verdicts[v.Service()], v)
	p.rebuildPool(v.Service())
	p.log.Warn("version excluded", "service", v.Service(), "version", v.Version(), "rollout", v.Rollout(), "reason", v.Reason())
}

// removeOldVerdicts removes the verdicts on rollouts that are not those of their service's share, except the last of
// each service: it may have arrived before the version of the configuration that contains its rollout.
func (p *Publisher) removeOldVerdicts() {
	for name, vs := range p.verdicts {
		split, ok := p.config.Shares()[name]
		if !ok {
			continue
		}
		var kept []verdict.Verdict
		for i, v := range vs {
			if v.Rollout() == split.Rollout() || i == len(vs)-1 {
				kept = append(kept, v)
			}
		}
		p.verdicts[name] = kept
	}
}

// rebuildPool replaces the pool of one service; the other pools are shared with the previous snapshot.
func (p *Publisher) rebuildPool(service string) {
	if _, ok := p.config.Services()[service]; !ok {
		return
	}
	p.pools = maps.Clone(p.pools)
	p.pools[service] = p.buildPool(service)
	p.storeSnapshot()
}

func (p *Publisher) storeSnapshot() {
	p.current.Store(snapshot.New(p.config.Version(), p.config.Preset(), p.table, p.pools))
}

func (p *Publisher) buildPool(service string) *snapshot.Pool {
	old := p.counters[service]
	counters := map[identity]*snapshot.Counters{}
	countersOf := func(e endpoint.Endpoint) *snapshot.Counters {
		id := identity{address: e.Address(), incarnation: e.Incarnation()}
		c := old[id]
		if c == nil {
			c = &snapshot.Counters{}
			// Dials may have failed while the endpoint's node restarted.
			for _, l := range p.links {
				l.EndBackoff(e.Address())
			}
		}
		counters[id] = c
		return c
	}
	var endpoints []endpoint.Endpoint
	centres := p.groups[service]
	for _, name := range slices.Sorted(maps.Keys(centres)) {
		endpoints = append(endpoints, centres[name].Endpoints()...)
	}
	pool := snapshot.NewPool(p.config.Services()[service], p.config.Shares()[service], p.verdicts[service], endpoints, p.location, countersOf)
	p.counters[service] = counters
	return pool
}
