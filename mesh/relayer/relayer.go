package relayer

import (
	"time"

	"wisteriaspoke.example/mesh/differ"
	"wisteriaspoke.example/mesh/effect"
	"wisteriaspoke.example/mesh/endpoint"
	"wisteriaspoke.example/mesh/event"
	"wisteriaspoke.example/mesh/leaser"
	"wisteriaspoke.example/mesh/machine"
	"wisteriaspoke.example/mesh/message"
	"wisteriaspoke.example/mesh/roster"
)

const (
	name     = "relayer"
	priority = 10
)

// relayer is the machine; its methods are spread over the package's files by concern.
type relayer struct {
	config  machine.Config
	now     time.Time
	started time.Time
	effects []effect.Effect
	leaving bool

	store   store
	table   *table
	leases  [seatCount]*leaser.Lease
	claim   claim
	seat    int // index of the lease that this node holds or held last, or -1
	roster  roster.Roster
	watch   watch
	supply  supply
	server  server
	client  client
	finder  finder
	floor   floor
	reports reports
	fanout  fanout
	source  source
}

func init() { machine.Register(name, priority, New) }

// New returns the machine of one node.
func New(c machine.Config) machine.Machine {
	r := &relayer{config: c, table: newTable(), seat: -1}
	r.store = newStore()
	r.roster = roster.New(roster.Fields{LeaseIndex: -1})
	for i := range r.leases {
		r.leases[i] = newLease(c, i)
	}
	r.supply = newSupply()
	r.server = newServer()
	r.client = newClient()
	r.floor = floor{answers: map[string]answer{}}
	return r
}

// Step takes one event and returns what should happen, in order.
func (r *relayer) Step(now time.Time, e event.Event) []effect.Effect {
	if r.started.IsZero() {
		r.started = now
	}
	r.now = now
	switch e.Kind() {
	case event.Tick:
		r.tick()
	case event.Received:
		r.receive(e.Peer(), e.Message())
	case event.Unlinked:
		r.unlinked(e.Peer())
	case event.StoreReplied:
		r.answered(e)
	case event.Watched:
		r.watched(e)
	case event.Local:
		r.local(e)
	}
	out := r.effects
	r.effects = nil
	return out
}

func (r *relayer) tick() {
	r.tickStore()
	r.tickLeases()
	r.tickFinder()
	r.tickWatch()
	r.tickSupply()
	r.tickPeers()
	r.tickClient()
	r.tickFloor()
	r.tickServer()
	r.tickFanout()
	r.tickReports()
	r.updateRoster()
}

func (r *relayer) receive(peer string, m message.Message) {
	switch b := m.Body().(type) {
	case *ask:
		r.receiveAsk(peer)
	case *known:
		r.receiveKnown(peer, b)
	case *subscribe:
		r.receiveSubscribe(peer, b)
	case *pulse:
		r.receivePulse(peer, b)
	case *differ.Delta:
		r.receiveDelta(peer, *b)
	case *feed:
		r.receiveFeed(peer, b)
	case *redirect:
		r.receiveRedirect(peer, b)
	case *later:
		r.receiveLater(b)
	case *syncing:
		r.receiveSync(peer, b)
	}
}

func (r *relayer) unlinked(peer string) {
	r.table.unlink(peer, r.now)
	delete(r.server.clients, peer)
	r.client.unlinked(peer)
	r.source.unlinked(peer)
	r.tickClient()
	r.updateRoster()
}

func (r *relayer) local(e event.Event) {
	switch e.ID() {
	case event.SubscriptionNeeded:
		if service, ok := e.Value().(string); ok {
			r.demand(service)
		}
	case event.Upstream:
		if e.Value() == endpoint.Leaving {
			r.leave()
		}
	}
}

func (r *relayer) emit(f effect.Effect) { r.effects = append(r.effects, f) }

func (r *relayer) send(peer, kind string, body any) {
	if peer != r.config.Node {
		r.emit(effect.NewSend(peer, message.New(kind, body)))
	}
}

func (r *relayer) wake(t time.Time) { r.emit(effect.NewWake(t)) }

// jitter returns a random duration of up to d.
func (r *relayer) jitter(d time.Duration) time.Duration {
	return time.Duration(r.config.Rand.Int64N(int64(d) + 1))
}

// merge takes statements on relay leases that a peer sent; the peer's own seat was heard now.
func (r *relayer) merge(seats []seat) {
	for _, s := range seats {
		if s.Holder == r.config.Node && (r.seat < 0 || s.DataCentre != r.config.DataCentre || s.Index != r.seat) {
			// Others still believe in a lease that this node no longer has, or had before a restart.
			continue
		}
		heard := r.now.Add(-time.Duration(s.Age) * time.Millisecond)
		r.table.merge(s, heard)
		if s.DataCentre == r.config.DataCentre && s.Index >= 0 && s.Index < seatCount {
			r.leases[s.Index].ObserveRenewal(heard, s.Epoch, time.UnixMilli(s.Renewed))
		}
	}
}
