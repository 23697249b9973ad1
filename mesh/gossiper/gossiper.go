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
	"wisteriaspoke.example/mesh/view"
)

func init() {
	kernel.Register("gossiper", 40, func() kernel.Part {
		return &Gossiper{now: time.Now, inputs: make(chan any, inputQueue), peers: map[string]*peer{}, archive: newArchive(), orders: map[string]order.Order{}}
	})
}

const (
	// tick is the interval of checks of peers' silence and of attempts to link with known nodes.
	tick = 200 * time.Millisecond
	// pulseInterval is the longest time between two heartbeats of a peer of the own region, and farFactor the multiple
	// of it for the others, as traffic between regions is dear.
	pulseInterval = time.Second
	farFactor     = 3
	// farPulse is the longest time between two whole pulses to a peer of another region. Changes are sent at once, so it
	// only bounds how long a lost one is missed.
	farPulse = 10 * time.Second
	// silence is how long a node that sends no pulse is taken to be reachable, in intervals: two pulses and a margin.
	silence = 2.6
	// pullInterval is the pause between two questions for missing records, above the time of an answer from afar.
	pullInterval = 250 * time.Millisecond
	// relink is how long an endpoint stays in use after the last link with its node broke, as links are opened again
	// within some 50 ms when the node lives.
	relink = 300 * time.Millisecond
	// forget is how long an address is tried that cannot be reached.
	forget = 45 * time.Second
	// inputQueue bounds the inputs that wait; about a second of pulses from a thousand peers.
	inputQueue = 2048
)

var (
	inputsDropped = metrics.GetOrRegisterCounter("gossip.dropped", nil)
	planVersion   = metrics.GetOrRegisterGauge("plan.version", nil)
	peersLinked   = metrics.GetOrRegisterGauge("peers.linked", nil)
)

// sender sends messages to other nodes.
type sender interface {
	// Send queues m for the node at address peer without blocking.
	Send(peer string, m message.Message)
}

// settler knows which node this is.
type settler interface {
	// Config returns what is known of this node.
	Config() machine.Config
}

// decoder understands the store's encoding.
type decoder interface {
	// Plan returns the configuration in a record's specification.
	Plan(spec []byte) (*plan.Plan, error)
	// Order returns the order in a record.
	Order(r record.Record) (order.Order, error)
}

// splitter knows how calls are split between versions.
type splitter interface {
	// Split returns the split of one service's calls; it does not block.
	Split(service string) composer.Split
}

// loader knows how busy the local upstream is.
type loader interface {
	// Load returns the calls at the upstream and its pace in thousandths.
	Load() (outstanding int, pace int64)
}

// follower learns the orders.
type follower interface {
	// SetOrders takes all orders that are known, after each change; it does not block.
	SetOrders(orders []order.Order)
}

// Gossiper spreads and keeps what nodes know. One goroutine owns its state; calls read the published view.
type Gossiper struct {
	now func() time.Time

	log       *slog.Logger
	sender    sender
	decoder   decoder
	splitter  splitter
	loader    loader
	followers []follower
	config    machine.Config
	inputs    chan any
	view      atomic.Pointer[view.View]
	nodes     atomic.Pointer[[]elector.Candidate]
	store     atomic.Bool
	far       atomic.Int64 // shortest time of an answer of the store, nanoseconds
	leaving   atomic.Bool
	size      atomic.Int64 // largest number of other nodes

	// The rest belongs to the goroutine.
	peers       map[string]*peer
	archive     *archive
	orders      map[string]order.Order
	plan        *plan.Plan
	since       time.Time
	own         peer
	number      uint64
	pulled      time.Time // when missing records were last asked for
	heartbeatAt time.Time // when heartbeats were last sent to other regions
	dirty       bool
}

// Inputs of the goroutine besides events.
type (
	learned  []record.Record
	found    []string
	enrolled struct{ local *enroller.Upstream }
	refresh  struct{}
	pulseNow struct{}
)

// Start begins to link with nodes that are found.
func (g *Gossiper) Start(ctx context.Context, k *kernel.Kernel) (<-chan error, error) {
	var err error
	if g.sender, err = kernel.Need[sender](k); err != nil {
		return nil, err
	}
	if g.decoder, err = kernel.Need[decoder](k); err != nil {
		return nil, err
	}
	if g.splitter, err = kernel.Need[splitter](k); err != nil {
		return nil, err
	}
	if g.loader, err = kernel.Need[loader](k); err != nil {
		return nil, err
	}
	own, err := kernel.Need[settler](k)
	if err != nil {
		return nil, err
	}
	g.config, g.log, g.followers = own.Config(), k.Log, kernel.All[follower](k)
	g.own = peer{address: g.config.Node, linked: true}
	g.view.Store(view.New(nil, time.Time{}, nil))
	g.nodes.Store(&[]elector.Candidate{})
	end := make(chan error, 1)
	go func() { end <- g.run(ctx) }()
	return end, nil
}

// View returns the state that calls read; it is never nil after Start.
func (g *Gossiper) View() *view.View { return g.view.Load() }

// Nodes returns the other nodes that have been heard of.
func (g *Gossiper) Nodes() []elector.Candidate { return *g.nodes.Load() }

// PeakNodeCount returns the largest number of nodes that were known at once, this one included: a node that is cut off must not
// take the whole mesh's part of a bound for its own.
func (g *Gossiper) PeakNodeCount() int { return int(g.size.Load()) + 1 }

// Self returns this node as a candidate.
func (g *Gossiper) Self() elector.Candidate {
	return elector.Candidate{Address: g.config.Node, StoreReachable: g.store.Load() && !g.leaving.Load(), StoreLatency: time.Duration(g.far.Load()), Alive: true}
}

// AddRecords takes records from the store.
func (g *Gossiper) AddRecords(rs []record.Record) { g.put(learned(rs)) }

// AddAddresses takes addresses of nodes from the store.
func (g *Gossiper) AddAddresses(addresses []string) { g.put(found(addresses)) }

// SetStoreReachable takes whether this node reaches the store, and the time that a quick answer took or zero; other nodes are told
// of a change at once.
func (g *Gossiper) SetStoreReachable(store bool, took time.Duration) {
	if old := g.far.Load(); took > 0 && (old == 0 || int64(took) < old) {
		g.far.Store(int64(took))
	}
	if g.store.Swap(store) == store {
		return
	}
	if store {
		g.log.Info("store regained")
	} else {
		g.log.Warn("store lost")
	}
	g.put(pulseNow{})
}

// UpstreamChanged takes a change of the local upstream.
func (g *Gossiper) UpstreamChanged(l *enroller.Upstream) { g.put(enrolled{l}) }

// Refresh builds the view anew, after a change of a split.
func (g *Gossiper) Refresh() { g.put(refresh{}) }

// Inject takes an event of the links.
func (g *Gossiper) Inject(e event.Event) { g.put(e) }

// Broadcast sends m to all linked nodes.
func (g *Gossiper) Broadcast(m message.Message) { g.put(m) }

func (g *Gossiper) put(input any) {
	select {
	case g.inputs <- input:
	default:
		inputsDropped.Inc(1)
		g.log.Error("gossip input dropped", "queue", inputQueue)
	}
}

// Ready returns why this node should not get new work, or nil.
func (g *Gossiper) Ready() error {
	switch {
	case g.leaving.Load():
		return fault.New(fault.Unavailable, "this node is stopping", "use another node")
	case g.View().Plan() == nil:
		return fault.New(fault.Unavailable, "no configuration is known yet", "wait until the store or another node answers")
	}
	return nil
}

// Drain tells the other nodes that this one is stopping.
func (g *Gossiper) Drain(context.Context) error {
	g.leaving.Store(true)
	g.put(pulseNow{})
	return nil
}

func (g *Gossiper) run(ctx context.Context) error {
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case in := <-g.inputs:
			g.take(in)
			for len(g.inputs) > 0 && ctx.Err() == nil {
				g.take(<-g.inputs)
			}
		case <-t.C:
			g.tick()
		}
		if g.dirty {
			g.publish()
		}
	}
}

func (g *Gossiper) take(input any) {
	switch in := input.(type) {
	case event.Event:
		g.event(in)
	case learned:
		g.spread(g.keep(g.compressed(in)), g.config.Region, "")
	case found:
		for _, a := range in {
			g.know(a)
		}
	case enrolled:
		g.enrolled(in.local)
	case message.Message:
		for _, p := range g.peers {
			if p.linked {
				g.sender.Send(p.address, in)
			}
		}
	case refresh:
		g.dirty = true
	case pulseNow:
		g.pulse(true)
	}
}

func (g *Gossiper) event(e event.Event) {
	switch e.Kind() {
	case event.Linked:
		p := g.know(e.Peer())
		if p == nil {
			return
		}
		p.linked, p.changed = true, g.now()
		g.log.Info("peer linked", "peer", p.address)
		g.sender.Send(p.address, g.ownPulse())
	case event.Unlinked:
		if p := g.peers[e.Peer()]; p != nil {
			p.linked, p.changed = false, g.now()
			g.log.Warn("peer unlinked", "peer", p.address)
			if p.gauge != nil {
				p.gauge.Eject(g.now())
			}
		}
	case event.Received:
		g.receive(e.Peer(), e.Message())
	}
}

// know returns the peer at the address, or nil for this node itself.
func (g *Gossiper) know(address string) *peer {
	if address == g.config.Node || address == "" {
		return nil
	}
	p := g.peers[address]
	if p == nil {
		p = &peer{address: address, changed: g.now()}
		g.peers[address] = p
		g.sender.Send(address, g.ownPulse())
	}
	return p
}

func (g *Gossiper) receive(from string, m message.Message) {
	p := g.know(from)
	if p == nil {
		return
	}
	switch b := m.Body().(type) {
	case *pulse:
		g.heard(p, b)
	case *records:
		region := ""
		if p.pulse != nil {
			region = p.pulse.Region
		}
		g.spread(g.keep(b.Records), region, from)
	case *pull:
		g.supply(p, b)
	case *heartbeats:
		g.takeHeartbeats(p, b)
	case *nodes:
		for _, a := range b.Addresses {
			g.know(a)
		}
	}
}

func (g *Gossiper) heard(p *peer, u *pulse) {
	old := p.pulse
	changed, taken := p.take(u, g.now())
	if !taken {
		return
	}
	if changed {
		g.dirty = true
		g.logPeer(p)
	}
	if (old == nil || old.Incarnation != u.Incarnation) && (u.Region == g.config.Region || u.ConfigurationRevision == 0) {
		// A node that starts learns the others from its own region, and from anywhere if it knows nothing yet.
		g.sender.Send(p.address, g.addresses())
	}
	if old == nil || old.StoreReachable != u.StoreReachable || old.StoreLatency != u.StoreLatency || old.Leaving != u.Leaving {
		g.publishNodes()
	}
	if g.plan == nil && g.ahead(p) {
		g.catchUp(p)
	}
}

func (g *Gossiper) logPeer(p *peer) {
	if e := p.pulse.Endpoint; e != nil {
		g.log.Info("endpoint changed", "peer", p.address, "instance", e.Instance(), "service", e.Service(),
			"version", e.Version(), "state", e.State(), "leaving", p.pulse.Leaving)
	}
}
