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
	warmUp             = 8 * time.Second
	recoveryTime       = 30 * time.Second // between the end of all failures and the first final check
	upstreamStartDelay = 100 * time.Millisecond
	rolloutTimeout     = 60 * time.Second
	settleTime         = 3 * time.Second
	nodesPerDataCentre = 3
	slowLatency        = 1500 * time.Millisecond
	lossyAnswerRate    = 0.4
)

var (
	regions  = []string{"obb", "mfr", "swb"}
	services = []string{"startlisten", "meldung", "ergebnis"}
)

// Fleet simulates nodes with all their machines, operators and upstreams. It is not safe for concurrent use; set
// exported fields before Run.
type Fleet struct {
	// Wrap may replace a machine of a node to inject faults; it may be nil.
	Wrap func(machine.Config, machine.Machine) machine.Machine
	// Filter reports whether a value is passed to its node's publisher, to inject faults; it may be nil.
	Filter func(value any) bool
	// DropOperatorWrites makes the store acknowledge operators' writes, except those of the first command, without effect.
	DropOperatorWrites bool

	sim          *simulator.Simulator
	rand         *rand.Rand // random source for calls and upstreams
	dataCentres  []string
	nodes        map[string]*node
	partitioned  map[string]bool // regions partitioned from all others
	stopCommands []func()
	checker      *checker
	commandCount int
	outcomes     map[string]map[outcome.Key]*tally // by node
}

// node holds a node's publisher, configuration and upstream state.
type node struct {
	publisher       *publisher.Publisher
	config          config.Config // latest published since the last start
	upstream        endpoint.State
	upstreamChanged time.Time // when the upstream entered its state
	started         time.Time
	paused          bool
	runningSince    time.Time // when it started or was last resumed
	neededServices  map[string]bool
}

// New returns a fleet whose delays, event order and calls are derived from seed.
func New(seed uint64) *Fleet {
	f := &Fleet{
		sim: simulator.New(seed, regions[0]), rand: rand.New(rand.NewPCG(seed, 3)), nodes: map[string]*node{},
		partitioned: map[string]bool{}, outcomes: map[string]map[outcome.Key]*tally{},
	}
	f.checker = newChecker(f)
	return f
}

// Run starts the fleet, performs the plan, ends all failures, waits 30 s for recovery and returns the violations.
func (f *Fleet) Run(plan []Action) []Violation {
	defer f.stopAllCommands()
	f.start()
	f.advance(warmUp)
	for _, a := range plan {
		f.perform(a)
		f.advance(time.Duration(a.WaitMillis) * time.Millisecond)
	}
	f.healAll()
	f.advance(recoveryTime)
	f.checker.checkFinal()
	f.usePreset(0, commandTimeout)
	f.advance(4 * time.Second)
	f.checker.checkFinal()
	return f.checker.violations
}

// stopAllCommands stops the operators' commands that are still running.
func (f *Fleet) stopAllCommands() {
	for _, s := range f.stopCommands {
		s()
	}
}

// advance advances virtual time by d and checks the store after each event.
func (f *Fleet) advance(d time.Duration) {
	f.sim.RunUntil(d, func() bool {
		f.checker.observeStore()
		return false
	})
}

func (f *Fleet) start() {
	f.sim.Build = f.buildController
	f.sim.OnPublish = f.handlePublished
	f.sim.Partitioned = func(a, b string) bool { return a != b && (f.partitioned[a] || f.partitioned[b]) }
	storePresets(f.sim)
	var seeds []string
	for _, r := range regions {
		f.dataCentres = append(f.dataCentres, r+"-a", r+"-b")
	}
	for _, dc := range f.dataCentres {
		seeds = append(seeds, dc+"-0")
	}
	for i, dc := range f.dataCentres {
		for k := range nodesPerDataCentre {
			c := machine.Config{Node: fmt.Sprintf("%s-%d", dc, k), DataCentre: dc, Region: dc[:3], Slots: 12, Seeds: seeds}
			c.Service, c.Version = upstreamFor(i, k)
			f.nodes[c.Node] = f.newNode(c)
			f.sim.Add(c)
			f.scheduleUpstreamReady(c.Node)
		}
	}
	f.usePreset(0, 0)
	f.every(100*time.Millisecond, f.makeCalls)
	f.every(time.Second, f.reportOutcomes)
}

// upstreamFor returns the service and version of the upstream beside a node.
func upstreamFor(dataCentre, index int) (service, version string) {
	switch {
	case index == 0:
		return rolloutService, firstGoodVersion
	case index == 1 && dataCentre%2 == 0:
		return rolloutService, secondGoodVersion
	case index == 1:
		return rolloutService, badVersion
	case dataCentre%2 == 0:
		return "meldung", "1"
	}
	return "ergebnis", "1"
}

func (f *Fleet) newNode(c machine.Config) *node {
	now := f.sim.Now()
	return &node{
		publisher: publisher.New(snapshot.Location{DataCentre: c.DataCentre, Region: c.Region}),
		started:   now, runningSince: now, upstreamChanged: now, neededServices: map[string]bool{},
	}
}

// scheduleUpstreamReady makes the upstream of a newly started node ready after upstreamStartDelay.
func (f *Fleet) scheduleUpstreamReady(address string) {
	n := f.nodes[address]
	f.sim.After(upstreamStartDelay, func() {
		if f.nodes[address] == n && n.upstream == "" {
			f.setUpstreamState(address, endpoint.Ready)
		}
	})
}

func (f *Fleet) setUpstreamState(address string, s endpoint.State) {
	n := f.nodes[address]
	if !f.sim.Alive(address) || n.upstream == s || n.upstream == endpoint.Leaving {
		return
	}
	n.upstream, n.upstreamChanged = s, f.sim.Now()
	f.sim.Inject(address, event.NewLocal(event.Upstream, s))
}

func (f *Fleet) buildController(c machine.Config) *controller.Controller {
	k := controller.New(c)
	if f.Wrap != nil {
		for i, m := range k.Machines {
			k.Machines[i] = f.Wrap(c, m)
		}
	}
	return k
}

func (f *Fleet) handlePublished(now time.Time, address string, value any) {
	f.checker.observePublished(now, address, value)
	n := f.nodes[address]
	if c, ok := value.(config.Config); ok && c.Version() >= n.config.Version() {
		n.config = c
	}
	if f.Filter == nil || f.Filter(value) {
		n.publisher.Publish(value)
	}
	f.checker.checkRoutes(address, n.publisher.Snapshot())
}

func (f *Fleet) every(d time.Duration, run func()) {
	var repeat func()
	repeat = func() {
		run()
		f.sim.After(d, repeat)
	}
	f.sim.After(d, repeat)
}

// running reports whether a node is alive and not paused, and so can process calls.
func (f *Fleet) running(address string) bool { return f.sim.Alive(address) && !f.nodes[address].paused }

// runCommand runs an operator's command under a new writer name.
func (f *Fleet) runCommand(run func(a *accepter.Accepter, writer string)) {
	f.commandCount++
	writer := fmt.Sprintf("operator-%d", f.commandCount)
	o := &operator{dropWrites: f.DropOperatorWrites && f.commandCount > 1}
	f.stopCommands = append(f.stopCommands, startCommand(f.sim, o, func(a *accepter.Accepter) { run(a, writer) }))
}

// leaseRecord holds the fields common to all kinds of leases.
type leaseRecord struct {
	Holder string `json:"holder"`
	Epoch  uint64 `json:"epoch"`
}

// lease returns the holder and epoch of a lease, or the zero leaseRecord if it does not exist.
func (f *Fleet) lease(name string) leaseRecord {
	var s leaseRecord
	if o := f.sim.Store().Object(leaser.Plural, name); o.Revision() != "" {
		must(json.Unmarshal(o.Spec(), &s))
	}
	return s
}

// holder returns the address of the lease holder, or the empty string if there is none.
func (f *Fleet) holder(name string) string { return f.lease(name).Holder }
