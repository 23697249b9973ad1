package oracle

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"wisteriaspoke.example/mesh/accepter"
	"wisteriaspoke.example/mesh/config"
	"wisteriaspoke.example/mesh/controller"
	"wisteriaspoke.example/mesh/endpoint"
	"wisteriaspoke.example/mesh/event"
	"wisteriaspoke.example/mesh/leaser"
	"wisteriaspoke.example/mesh/machine"
	"wisteriaspoke.example/mesh/outcome"
	"wisteriaspoke.example/mesh/publisher"
	"wisteriaspoke.example/mesh/simulator"
	"wisteriaspoke.example/mesh/snapshot"

	// The machines of a node.
	_ "wisteriaspoke.example/mesh/registrar"
	_ "wisteriaspoke.example/mesh/relayer"
	_ "wisteriaspoke.example/mesh/roller"
)

const (
	warmUp      = 8 * time.Second
	recovery    = 30 * time.Second // from the end of all failures to the final check
	upstreamUp  = 100 * time.Millisecond
	moveTime    = 60 * time.Second
	settleTime  = 3 * time.Second
	eachCentre  = 3
	slowLatency = 1500 * time.Millisecond
	lossyShare  = 0.4
)

var (
	regions  = []string{"obb", "mfr", "swb"}
	services = []string{"startlisten", "meldung", "ergebnis"}
)

// Fleet is a simulated fleet with all machines, its operators and its upstreams; one goroutine uses it. Exported fields
// are set before Run.
type Fleet struct {
	// Wrap replaces a machine of a node, for planted faults; nil is allowed.
	Wrap func(machine.Config, machine.Machine) machine.Machine
	// Filter reports whether a value reaches its node's publisher, for planted faults; nil is allowed.
	Filter func(value any) bool
	// DropOperatorWrites makes the store acknowledge operators' writes without effect.
	DropOperatorWrites bool

	sim       *simulator.Simulator
	rand      *rand.Rand // of the callers and the upstreams
	centres   []string
	nodes     map[string]*node
	cut       map[string]bool // regions without contact to the others
	stops     []func()
	promises  *promises
	operators int
	outcomes  map[string]map[outcome.Key]*tally // by node
}

// node is what stands beside a node's machines.
type node struct {
	publisher *publisher.Publisher
	config    config.Config // last published in this life
	upstream  endpoint.State
	changed   time.Time // when the upstream took its state
	started   time.Time
	frozen    bool
	resumed   time.Time // when it started or was last thawed
	demanded  map[string]bool
}

// New returns a fleet whose delays, races and calls are drawn from the seed.
func New(seed uint64) *Fleet {
	f := &Fleet{
		sim: simulator.New(seed, regions[0]), rand: rand.New(rand.NewPCG(seed, 3)), nodes: map[string]*node{},
		cut: map[string]bool{}, outcomes: map[string]map[outcome.Key]*tally{},
	}
	f.promises = newPromises(f)
	return f
}

// Run starts the fleet, performs the plan, ends all failures, lets 30 s pass and returns the broken promises.
func (f *Fleet) Run(plan []Action) []Violation {
	defer f.end()
	f.start()
	f.pass(warmUp)
	for _, a := range plan {
		f.perform(a)
		f.pass(time.Duration(a.WaitMillis) * time.Millisecond)
	}
	f.heal()
	f.pass(recovery)
	f.promises.final()
	f.use(0, patience)
	f.pass(4 * time.Second)
	f.promises.final()
	return f.promises.found
}

// end stops the operators' commands that are still under way.
func (f *Fleet) end() {
	for _, s := range f.stops {
		s()
	}
}

// pass lets time pass and looks at the store after each event.
func (f *Fleet) pass(d time.Duration) {
	f.sim.RunUntil(d, func() bool {
		f.promises.look()
		return false
	})
}

func (f *Fleet) start() {
	f.sim.Build = f.build
	f.sim.OnPublish = f.published
	f.sim.Partitioned = func(a, b string) bool { return a != b && (f.cut[a] || f.cut[b]) }
	prepare(f.sim)
	var seeds []string
	for _, r := range regions {
		f.centres = append(f.centres, r+"-a", r+"-b")
	}
	for _, dc := range f.centres {
		seeds = append(seeds, dc+"-0")
	}
	for i, dc := range f.centres {
		for k := range eachCentre {
			c := machine.Config{Node: fmt.Sprintf("%s-%d", dc, k), DataCentre: dc, Region: dc[:3], Slots: 12, Seeds: seeds}
			c.Service, c.Version = role(i, k)
			f.nodes[c.Node] = f.begin(c)
			f.sim.Add(c)
			f.welcome(c.Node)
		}
	}
	f.use(0, 0)
	f.every(100*time.Millisecond, f.call)
	f.every(time.Second, f.report)
}

// role returns what upstream stands beside the node at a place of a data centre.
func role(centre, place int) (service, version string) {
	switch {
	case place == 0:
		return mover, firstGood
	case place == 1 && centre%2 == 0:
		return mover, secondGood
	case place == 1:
		return mover, badVersion
	case centre%2 == 0:
		return "meldung", "1"
	}
	return "ergebnis", "1"
}

func (f *Fleet) begin(c machine.Config) *node {
	now := f.sim.Now()
	return &node{
		publisher: publisher.New(snapshot.Location{DataCentre: c.DataCentre, Region: c.Region}),
		started:   now, resumed: now, changed: now, demanded: map[string]bool{},
	}
}

// welcome lets the upstream of a node that has just started become ready.
func (f *Fleet) welcome(address string) {
	n := f.nodes[address]
	f.sim.After(upstreamUp, func() {
		if f.nodes[address] == n && n.upstream == "" {
			f.become(address, endpoint.Ready)
		}
	})
}

func (f *Fleet) become(address string, s endpoint.State) {
	n := f.nodes[address]
	if !f.sim.Alive(address) || n.upstream == s || n.upstream == endpoint.Leaving {
		return
	}
	n.upstream, n.changed = s, f.sim.Now()
	f.sim.Inject(address, event.NewLocal(event.Upstream, s))
}

func (f *Fleet) build(c machine.Config) *controller.Controller {
	k := controller.New(c)
	if f.Wrap != nil {
		for i, m := range k.Machines {
			k.Machines[i] = f.Wrap(c, m)
		}
	}
	return k
}

func (f *Fleet) published(now time.Time, address string, value any) {
	f.promises.published(now, address, value)
	n := f.nodes[address]
	if c, ok := value.(config.Config); ok && c.Version() >= n.config.Version() {
		n.config = c
	}
	if f.Filter == nil || f.Filter(value) {
		n.publisher.Publish(value)
	}
	f.promises.seen(address, n.publisher.Snapshot())
}

func (f *Fleet) every(d time.Duration, run func()) {
	var again func()
	again = func() {
		run()
		f.sim.After(d, again)
	}
	f.sim.After(d, again)
}

// running reports whether a node is alive and not paused, so that it takes calls.
func (f *Fleet) running(address string) bool { return f.sim.Alive(address) && !f.nodes[address].frozen }

// command runs an operator's command.
func (f *Fleet) command(run func(a *accepter.Accepter, writer string)) {
	f.operators++
	writer := fmt.Sprintf("operator-%d", f.operators)
	o := &operator{swear: f.DropOperatorWrites && f.operators > 1}
	f.stops = append(f.stops, begin(f.sim, o, func(a *accepter.Accepter) { run(a, writer) }))
}

// seat is what all kinds of leases say of their holder.
type seat struct {
	Holder string `json:"holder"`
	Epoch  uint64 `json:"epoch"`
}

// lease returns who holds a lease; the zero seat if it does not stand.
func (f *Fleet) lease(name string) seat {
	var s seat
	if o := f.sim.Store().Object(leaser.Plural, name); o.Revision() != "" {
		must(json.Unmarshal(o.Spec(), &s))
	}
	return s
}

// holder returns the address in a lease, or the empty string.
func (f *Fleet) holder(name string) string { return f.lease(name).Holder }
