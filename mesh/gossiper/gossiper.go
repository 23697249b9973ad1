package gossiper

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"wisteriaspoke.example/mesh/composer"
	"wisteriaspoke.example/mesh/elector"
	"wisteriaspoke.example/mesh/enroller"
	"wisteriaspoke.example/mesh/event"
	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/kernel"
	"wisteriaspoke.example/mesh/machine"
	"wisteriaspoke.example/mesh/message"
	"wisteriaspoke.example/mesh/order"
	"wisteriaspoke.example/mesh/plan"
	"wisteriaspoke.example/mesh/record"
	"wisteriaspoke.example/mesh/suspicion"
	"wisteriaspoke.example/mesh/view"
)

func init() {
	kernel.Register("gossiper", 40, func() kernel.Part {
		return &Gossiper{
			now: time.Now, inputs: make(chan any, inputQueueSize), peers: map[string]*peer{}, records: newRecordSet(),
			orders: map[string]order.Order{}, deliveries: map[string]*delivery{},
			planKnown: make(chan struct{}),
		}
	})
}

const (
	// tickInterval is the interval at which peers are checked for missing heartbeats and links are attempted again.
	tickInterval = 200 * time.Millisecond
	// heartbeatInterval is the longest time between two heartbeats of a peer in this node's region. For other regions it
	// is multiplied by remoteIntervalFactor, as traffic between regions is expensive.
	heartbeatInterval    = time.Second
	remoteIntervalFactor = 3
	// remoteStatusInterval is the longest time between two status messages to a peer in another region. Changes are sent
	// at once, so it only bounds how long the loss of one stays unnoticed.
	remoteStatusInterval = 10 * time.Second
	// heartbeatStaleIntervals is the number of intervals without a heartbeat after which a node counts as unreachable: two
	// heartbeats and a margin.
	heartbeatStaleIntervals = 2.6
	// minPullInterval is the shortest time between two pulls, longer than a response from another region takes.
	minPullInterval = 250 * time.Millisecond
	// unlinkedGrace is how long an endpoint stays in use after the last link with its node broke; a node that is still
	// running is linked again within some 50 ms.
	unlinkedGrace = 300 * time.Millisecond
	// forgetAfter is how long an unreachable address is tried before it is removed.
	forgetAfter = 45 * time.Second
	// inputQueueSize bounds the queued inputs; it holds about a second of status messages from a thousand peers.
	inputQueueSize = 2048
)

var (
	inputsDropped = metrics.GetOrRegisterCounter("gossip.dropped", nil)
	planVersion   = metrics.GetOrRegisterGauge("plan.version", nil)
	peersLinked   = metrics.GetOrRegisterGauge("peers.linked", nil)
)

// messageSender sends messages to other nodes.
type messageSender interface {
	// Send queues m for the node at address peer without blocking.
	Send(peer string, m message.Message)
}

// configProvider provides the identity and location of this node.
type configProvider interface {
	// Config returns this node's settings.
	Config() machine.Config
}

// recordDecoder decodes records from the store's encoding.
type recordDecoder interface {
	// Plan returns the configuration in a record's specification.
	Plan(spec []byte) (*plan.Plan, error)
	// Order returns the order in a record.
	Order(r record.Record) (order.Order, error)
}

// splitProvider provides the split of calls between the versions of a service.
type splitProvider interface {
	// Split returns the service's split without blocking.
	Split(service string) composer.Split
}

// loadProvider provides the load of the local upstream.
type loadProvider interface {
	// Load returns the calls in progress and the service time relative to the expected one, per mille.
	Load() (outstanding int, serviceTimeRatio int64)
}

// linkRateProvider provides the rate of the host's network link.
type linkRateProvider interface {
	// Rate returns the millions of bits a second, or 0 if that is not known.
	Rate() float64
}

// registry holds what is known of the local upstream.
type registry interface {
	// Vouch records that an earlier process of this node had the upstream in use; it must not block.
	Vouch(instance string, startMillis int64)
	// Withdraw records that the instance's process which started at startMillis leaves, which is final; it must not block.
	Withdraw(instance string, startMillis int64)
}

// crashHistory holds which requests have crashed upstreams.
type crashHistory interface {
	// TakeChanges returns what changed by calls on this node's upstream since the last call of TakeChanges.
	TakeChanges() []suspicion.Suspicion
	// Suspicions returns everything that is known.
	Suspicions() []suspicion.Suspicion
	// Merge adds what another node knows.
	Merge(ss []suspicion.Suspicion)
}

// orderObserver is notified when orders change.
type orderObserver interface {
	// SetOrders receives the full set of orders after each change; it must not block.
	SetOrders(orders []order.Order)
}

// Gossiper distributes endpoints and records between nodes and keeps this node's copy of them. One goroutine owns its
// state; calls read the published view.
type Gossiper struct {
	now func() time.Time

	log               *slog.Logger
	sender            messageSender
	decoder           recordDecoder
	splitProvider     splitProvider
	loadProvider      loadProvider
	registry          registry
	crashHistory      crashHistory
	orderObservers    []orderObserver
	prover            prover // nil if no part uses proofs
	config            machine.Config
	inputs            chan any
	view              atomic.Pointer[view.View]
	planKnown         chan struct{} // closed when the first view with a plan is published
	nodes             atomic.Pointer[[]elector.Candidate]
	storeReachable    atomic.Bool
	storeLatencyNanos atomic.Int64              // of the store's fastest response; 0 before the first
	storeFailedAt     atomic.Pointer[time.Time] // the last failed call to the store, or nil
	statusQueued      atomic.Bool               // a statusChanged is among the inputs
	leaving           atomic.Bool
	peakPeerCount     atomic.Int64 // largest number of peers with a status at one time
	addressCount      atomic.Int64 // peers with and without a status, but for those that have said that they stop

	// The fields below are owned by the goroutine.
	peers            map[string]*peer
	records          *recordSet
	orders           map[string]order.Order
	plan             *plan.Plan
	planSince        time.Time
	own              peer // this node
	startedAt        time.Time
	linkRate         int // of this host, in millions of bits a second, or 0 if that is not known
	lastSequence     uint64
	pulledAt         time.Time            // when missing records were last pulled
	heartbeatsSentAt time.Time            // when heartbeats were last sent to other regions
	deliveries       map[string]*delivery // by region, on nodes that read records from the store
	viewStale        bool
	planObject       planObject // in the store
}

// Inputs of the goroutine besides events and messages.
type (
	storeRecords   []record.Record
	storeAddresses []string
	upstreamChange struct{ upstream *enroller.Upstream }
	refreshView    struct{}
	statusChanged  struct{}
)

// Start starts the goroutine that exchanges state with other nodes.
func (g *Gossiper) Start(ctx context.Context, k *kernel.Kernel) (<-chan error, error) {
	var err error
	if g.sender, err = kernel.Need[messageSender](k); err != nil {
		return nil, err
	}
	if g.decoder, err = kernel.Need[recordDecoder](k); err != nil {
		return nil, err
	}
	if g.splitProvider, err = kernel.Need[splitProvider](k); err != nil {
		return nil, err
	}
	if g.loadProvider, err = kernel.Need[loadProvider](k); err != nil {
		return nil, err
	}
	if g.registry, err = kernel.Need[registry](k); err != nil {
		return nil, err
	}
	if g.crashHistory, err = kernel.Need[crashHistory](k); err != nil {
		return nil, err
	}
	own, err := kernel.Need[configProvider](k)
	if err != nil {
		return nil, err
	}
	g.config, g.log, g.orderObservers = own.Config(), k.Log, kernel.All[orderObserver](k)
	g.prover = findProver(k)
	g.own, g.startedAt = peer{address: g.config.Node, linked: true}, g.now()
	g.view.Store(view.New(nil, time.Time{}, nil))
	g.nodes.Store(&[]elector.Candidate{})
	for _, p := range kernel.All[linkRateProvider](k) {
		g.linkRate = int(p.Rate())
	}
	end := make(chan error, 1)
	go func() { end <- g.run(ctx) }()
	return end, nil
}

// View returns the view that calls read; it is never nil after Start.
func (g *Gossiper) View() *view.View { return g.view.Load() }

// PlanKnown returns a channel that is closed once View has a plan.
func (g *Gossiper) PlanKnown() <-chan struct{} { return g.planKnown }

// Nodes returns the other nodes that have sent a status.
func (g *Gossiper) Nodes() []elector.Candidate { return *g.nodes.Load() }

// PeakNodeCount returns the largest number of nodes, including this one, that were known at one time. Limits of the
// whole mesh are divided by it, so that a node cut off from the others does not use their shares.
func (g *Gossiper) PeakNodeCount() int { return int(g.peakPeerCount.Load()) + 1 }

// AddressCount returns the number of nodes, including this one, that are known at present or that this node tries to
// reach, but for those that have said that they stop. A node that has just started and is cut off learns from it that it is not alone.
func (g *Gossiper) AddressCount() int { return int(g.addressCount.Load()) + 1 }

// Self returns this node as a candidate.
func (g *Gossiper) Self() elector.Candidate {
	c := elector.Candidate{
		Address: g.config.Node, Region: g.config.Region, Incarnation: g.config.Incarnation, StoreReachable: g.storeReachable.Load(),
		StoreLatency: time.Duration(g.storeLatencyNanos.Load()), Alive: true, LinkRate: g.linkRate,
	}
	if failedAt := g.storeFailedAt.Load(); failedAt != nil {
		c.StoreFailedAt = *failedAt
	}
	if g.leaving.Load() {
		return rankedLast(c, g.now())
	}
	return c
}

// AddRecords adds records that were read from the store.
func (g *Gossiper) AddRecords(rs []record.Record) { g.enqueue(storeRecords(rs)) }

// AddAddresses adds addresses of nodes that were read from the store.
func (g *Gossiper) AddAddresses(addresses []string) { g.enqueue(storeAddresses(addresses)) }

// SetStoreReachable sets whether this node reaches the store, and sends a change to the other nodes at once. latency is
// the time of one response of the store, or zero; the shortest is kept.
func (g *Gossiper) SetStoreReachable(reachable bool, latency time.Duration) {
	if old := g.storeLatencyNanos.Load(); latency > 0 && (old == 0 || int64(latency) < old) {
		g.storeLatencyNanos.Store(int64(latency))
	}
	if !reachable {
		now := g.now()
		g.storeFailedAt.Store(&now)
	}
	if g.storeReachable.Swap(reachable) == reachable {
		return
	}
	if reachable {
		g.log.Info("store regained")
	} else {
		g.log.Warn("store lost")
	}
	g.queueStatus()
}

// YieldWatch sends the other nodes the time of this node's last failed call to the store at once, as they leave the
// watch to it until they know.
func (g *Gossiper) YieldWatch() { g.queueStatus() }

// queueStatus has this node's status sent to all peers.
func (g *Gossiper) queueStatus() {
	if !g.statusQueued.Swap(true) && !g.enqueue(statusChanged{}) {
		g.statusQueued.Store(false)
	}
}

// UpstreamChanged updates this node's endpoint after a change of the local upstream.
func (g *Gossiper) UpstreamChanged(l *enroller.Upstream) { g.enqueue(upstreamChange{l}) }

// Refresh rebuilds the view after a change of a split.
func (g *Gossiper) Refresh() { g.enqueue(refreshView{}) }

// Inject queues an event of a link.
func (g *Gossiper) Inject(e event.Event) { g.enqueue(e) }

// Broadcast sends m to all linked peers.
func (g *Gossiper) Broadcast(m message.Message) { g.enqueue(m) }

// enqueue reports whether the input was queued.
func (g *Gossiper) enqueue(input any) bool {
	select {
	case g.inputs <- input:
		return true
	default:
		inputsDropped.Inc(1)
		g.log.Error("gossip input dropped", "queue", inputQueueSize)
		return false
	}
}

// Ready returns nil, or the reason why this node should not receive new calls.
func (g *Gossiper) Ready() error {
	switch {
	case g.leaving.Load():
		return fault.New(fault.Unavailable, "this node is stopping", "use another node")
	case g.View().Plan() == nil:
		return fault.New(fault.Unavailable, "no configuration is known yet", "wait until the store or another node answers")
	}
	return nil
}

// Drain notifies the other nodes that this one is stopping.
func (g *Gossiper) Drain(context.Context) error {
	g.leaving.Store(true)
	g.queueStatus()
	return nil
}

func (g *Gossiper) run(ctx context.Context) error {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case in := <-g.inputs:
			g.handle(in)
			for len(g.inputs) > 0 && ctx.Err() == nil {
				g.handle(<-g.inputs)
			}
		case <-t.C:
			g.onTick()
		}
		if g.viewStale {
			g.publishView()
		}
	}
}

func (g *Gossiper) handle(input any) {
	switch in := input.(type) {
	case event.Event:
		g.handleEvent(in)
	case storeRecords:
		g.forwardRecords(g.applyNewer(g.compressSpecs(in), fromStore), g.config.Region, "")
		g.expectDeliveries()
	case storeRead:
		g.handleRead(in)
	case storeAddresses:
		for _, a := range in {
			g.ensurePeer(a)
		}
	case upstreamChange:
		g.updateOwnEndpoint(in.upstream)
	case message.Message:
		g.sendToLinked(in)
	case refreshView:
		g.viewStale = true
	case statusChanged:
		g.statusQueued.Store(false)
		g.sendStatus(true)
	}
}

func (g *Gossiper) handleEvent(e event.Event) {
	switch e.Kind() {
	case event.Linked:
		p := g.ensurePeer(e.Peer())
		if p == nil {
			return
		}
		p.linked, p.linkChangedAt = true, g.now()
		g.log.Info("peer linked", "peer", p.address)
		g.sender.Send(p.address, g.statusMessage())
		if known := g.crashHistory.Suspicions(); len(known) > 0 {
			// The peer may have restarted, or missed messages while it was not linked.
			g.sender.Send(p.address, message.New(kindSuspicions, &suspicions{List: known}))
		}
	case event.Unlinked:
		if p := g.peers[e.Peer()]; p != nil {
			p.linked, p.linkChangedAt = false, g.now()
			g.log.Warn("peer unlinked", "peer", p.address)
			if p.gauge != nil {
				p.gauge.Eject(g.now())
			}
		}
	case event.Received:
		g.handleMessage(e.Peer(), e.Message())
	}
}

// ensurePeer returns the peer at the address and adds it if it is new; for this node's own address it returns nil.
func (g *Gossiper) ensurePeer(address string) *peer {
	if address == g.config.Node || address == "" {
		return nil
	}
	p := g.peers[address]
	if p == nil {
		p = &peer{address: address, linkChangedAt: g.now()}
		g.peers[address] = p
		g.addressCount.Add(1)
		g.sender.Send(address, g.statusMessage())
	}
	return p
}
