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

// relayer is the machine of one node; each file of the package has the methods for one concern.
type relayer struct {
	config  machine.Config
	now     time.Time
	started time.Time
	effects []effect.Effect
	leaving bool

	store        store
	leaseTable   *leaseTable
	leases       [leasesPerDataCentre]*leaser.Lease
	claim        claim
	leaseIndex   int // index of the lease that this node holds or held last, or -1
	roster       roster.Roster
	watch        watch
	distribution distribution
	server       server
	client       client
	finder       finder
	versionFloor versionFloor
	reports      reports
	fanout       fanout
	fanoutRole   fanoutRole
}

func init() { machine.Register(name, priority, New) }

// New returns the relayer machine of one node.
func New(c machine.Config) machine.Machine {
	r := &relayer{config: c, leaseTable: newLeaseTable(), leaseIndex: -1}
	r.store = newStore()
	r.roster = roster.New(roster.Fields{LeaseIndex: -1})
	for i := range r.leases {
		r.leases[i] = newLease(c, i)
	}
	r.distribution = newDistribution()
	r.server = newServer()
	r.client = newClient()
	r.versionFloor = versionFloor{peerVersions: map[string]peerVersion{}}
	return r
}

// Step handles one event and returns the effects to execute, in order.
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
		r.handleUnlinked(e.Peer())
	case event.StoreReplied:
		r.handleStoreReply(e)
	case event.Watched:
		r.handleWatchEvent(e)
	case event.Local:
		r.handleLocal(e)
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
	r.tickDistribution()
	r.tickPeers()
	r.tickClient()
	r.tickVersionFloor()
	r.tickServer()
	r.tickFanout()
	r.tickReports()
	r.updateRoster()
}

func (r *relayer) receive(peer string, m message.Message) {
	switch b := m.Body().(type) {
	case *relayQuery:
		r.receiveRelayQuery(peer)
	case *relayAnswer:
		r.receiveRelayAnswer(peer, b)
	case *subscribe:
		r.receiveSubscribe(peer, b)
	case *heartbeat:
		r.receiveHeartbeat(peer, b)
	case *differ.Delta:
		r.receiveDelta(peer, *b)
	case *unfilteredDelta:
		r.receiveUnfilteredDelta(peer, b)
	case *redirect:
		r.receiveRedirect(peer, b)
	case *retryLater:
		r.receiveRetryLater(b)
	case *relayStatus:
		r.receiveRelayStatus(peer, b)
	}
}

func (r *relayer) handleUnlinked(peer string) {
	r.leaseTable.unlink(peer, r.now)
	delete(r.server.clients, peer)
	r.client.unlinked(peer)
	r.fanoutRole.unlinked(peer)
	r.tickClient()
	r.updateRoster()
}

func (r *relayer) handleLocal(e event.Event) {
	switch e.ID() {
	case event.SubscriptionNeeded:
		if service, ok := e.Value().(string); ok {
			r.demandService(service)
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

// mergeLeases merges what a peer sent about relay leases into the table; Age says how old each statement is.
func (r *relayer) mergeLeases(infos []leaseInfo) {
	for _, info := range infos {
		if info.Holder == r.config.Node && (r.leaseIndex < 0 || info.DataCentre != r.config.DataCentre ||
			info.Index != r.leaseIndex) {
			// Ignore outdated statements on a lease that this node no longer holds, or held before a restart.
			continue
		}
		heard := r.now.Add(-time.Duration(info.Age) * time.Millisecond)
		r.leaseTable.merge(info, heard)
		if info.DataCentre == r.config.DataCentre && info.Index >= 0 && info.Index < leasesPerDataCentre {
			r.leases[info.Index].ObserveRenewal(heard, info.Epoch, time.UnixMilli(info.Renewed))
		}
	}
}
