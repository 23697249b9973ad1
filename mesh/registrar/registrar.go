package registrar

import (
	"slices"
	"time"

	"wisteriaspoke.example/mesh/config"
	"wisteriaspoke.example/mesh/effect"
	"wisteriaspoke.example/mesh/endpoint"
	"wisteriaspoke.example/mesh/event"
	"wisteriaspoke.example/mesh/group"
	"wisteriaspoke.example/mesh/machine"
	"wisteriaspoke.example/mesh/message"
	"wisteriaspoke.example/mesh/notice"
	"wisteriaspoke.example/mesh/roster"
)

// Name and Priority identify and order the machine in its registration.
const (
	Name     = "registrar"
	Priority = 20
)

// pauseThreshold is the gap between two steps above which the process is taken to have been paused: ticks come every
// 100 ms. Meanwhile the lease may have passed to another node, and missing messages are no evidence that a peer was
// silent.
const pauseThreshold = time.Second

// pauseDecisionDelay is how long a relay waits for its current lease after a pause before it makes decisions.
const pauseDecisionDelay = 200 * time.Millisecond

// tickPeriod is the maximum time between ticks.
const tickPeriod = 100 * time.Millisecond

func init() {
	machine.Register(Name, Priority, func(c machine.Config) machine.Machine { return New(c) })
}

// Registrar is the membership machine of one node.
type Registrar struct {
	config            machine.Config
	roster            roster.Roster
	catalogue         *catalogue
	announcer         *announcer
	subscriber        *subscriber
	members           *members
	clients           map[string]*client
	owner             *owner
	archive           *archive
	bootstrap         bootstrap
	completePublished bool // a Complete has been published to the data path
	deputy            *deputy

	lastStep     time.Time
	wakeAt       time.Time // latest requested wake-up
	decideAfter  time.Time // no decisions on sets before this time, after a pause
	effects      []effect.Effect
	selfMessages []message.Message // sent to itself, as a relay may have an upstream too
}

// New returns the machine of a node that has just started.
func New(c machine.Config) *Registrar {
	return &Registrar{
		config: c, roster: roster.New(roster.Fields{LeaseIndex: -1}),
		catalogue: newCatalogue(), announcer: newAnnouncer(c), subscriber: newSubscriber(c),
		members: newMembers(), clients: map[string]*client{}, archive: newArchive(c), deputy: newDeputy(),
	}
}

// Step processes one event and returns the effects to apply, in order.
func (r *Registrar) Step(now time.Time, e event.Event) []effect.Effect {
	r.effects = nil
	r.detectPause(now)
	switch e.Kind() {
	case event.Tick:
		r.tick(now)
	case event.Received:
		r.deputy.markHeard(now, e.Peer())
		r.receive(now, e.Peer(), e.Message())
	case event.Linked:
		r.subscriber.setDown(now, e.Peer(), false)
	case event.Unlinked:
		r.handleUnlinked(now, e.Peer())
	case event.StoreReplied:
		r.handleStoreReply(now, e)
	case event.Local:
		r.handleLocal(now, e)
	}
	for len(r.selfMessages) > 0 {
		m := r.selfMessages[0]
		r.selfMessages = r.selfMessages[1:]
		r.receive(now, r.config.Node, m)
	}
	if !r.completePublished && r.synced(now) {
		r.completePublished = true
		r.effects = append(r.effects, effect.NewPublish(group.Complete{}))
	}
	return r.effects
}

// synced reports whether this node holds every set it subscribes to that its relays hold.
func (r *Registrar) synced(now time.Time) bool {
	if r.isRelay() {
		return r.subscriber.configured && r.settled(now)
	}
	return r.subscriber.configured && r.subscriber.answered && len(r.subscriber.differences) == 0
}

// detectPause delays decisions and restarts the silence timers after the process was paused.
func (r *Registrar) detectPause(now time.Time) {
	if !r.lastStep.IsZero() && now.Sub(r.lastStep) > pauseThreshold {
		r.decideAfter = now.Add(pauseDecisionDelay)
		r.members.markAllHeard(now)
		r.deputy.markAllHeard(now)
	}
	r.lastStep = now
}

func (r *Registrar) tick(now time.Time) {
	r.sendAnnouncements(now)
	r.sendDue(now)
	r.catalogue.expireDepartures(now)
	if !r.isRelay() {
		return
	}
	r.requestSets(now)
	r.standIn(now)
	r.pullDifferences(now)
	r.sendDepartures(now)
	r.decide(now)
	r.sendStoreRequests(now)
	if r.owner == nil {
		r.members.prune(now)
	}
	r.pruneClients(now)
}

func (r *Registrar) handleLocal(now time.Time, e event.Event) {
	switch v := e.Value().(type) {
	case roster.Roster:
		r.setRoster(now, v)
	case config.Config:
		r.applyConfig(now, v)
	case endpoint.State:
		r.announcer.setState(v)
		r.sendAnnouncements(now)
	case string:
		if e.ID() == event.SubscriptionNeeded {
			r.subscribeTo(now, v)
		}
	}
}

func (r *Registrar) receive(now time.Time, peer string, m message.Message) {
	switch b := m.Body().(type) {
	case *notice.Announcement:
		r.handleAnnouncement(now, peer, b)
	case *notice.Receipt:
		r.announcer.confirm(peer, b)
	case *notice.Heartbeat:
		r.handleHeartbeat(now, peer, b)
	case *notice.Query:
		r.handleQuery(now, peer, b)
	case *notice.Subscription:
		r.handleSubscription(now, peer, b)
	case *notice.Digest:
		r.handleDigest(now, peer, b)
	case *notice.Pull:
		r.handlePull(now, peer, b)
	case *notice.Sets:
		r.handleSets(now, peer, b)
	case *notice.Probe:
		r.handleProbe(now, peer, b)
	case *notice.ProbeReply:
		r.handleProbeReply(now, b)
	}
}

// isRelay reports whether this node serves as a relay: it holds a lease or is still listed as a relay in the roster,
// since a relay whose lease expired during a store outage continues to distribute sets.
func (r *Registrar) isRelay() bool {
	return r.roster.LeaseIndex() >= 0 || slices.Contains(r.roster.Relays(), r.config.Node)
}

// peers returns the other relays of this node's data centre and region.
func (r *Registrar) peers() []string {
	ps := make([]string, 0, len(r.roster.Relays())+len(r.roster.RegionRelays()))
	for _, p := range slices.Concat(r.roster.Relays(), r.roster.RegionRelays()) {
		if p != r.config.Node && !slices.Contains(ps, p) {
			ps = append(ps, p)
		}
	}
	return ps
}

func (r *Registrar) send(peer, kind string, body any) {
	m := message.New(kind, body)
	if peer == r.config.Node {
		r.selfMessages = append(r.selfMessages, m)
		return
	}
	r.effects = append(r.effects, effect.NewSend(peer, m))
}

// setRoster applies a new roster and the change of role that follows from it.
func (r *Registrar) setRoster(now time.Time, next roster.Roster) {
	old, wasRelay := r.roster, r.isRelay()
	r.roster = next
	r.announcer.setRelays(now, next.Relays())
	r.subscriber.setRelays(now, next.Relays())
	if !r.isRelay() {
		if wasRelay {
			r.stepDown(now)
		}
		return
	}
	if !wasRelay {
		clear(r.subscriber.differences)
		r.bootstrap.start(now)
	}
	r.deputy.setPeers(now, r.peers())
	r.updateOwnership(old)
	r.requestSets(now)
}

// stepDown turns a relay into an ordinary node, which holds only the sets it subscribes to.
func (r *Registrar) stepDown(now time.Time) {
	r.owner = nil
	r.members = newMembers()
	r.archive.reset()
	r.deputy = newDeputy()
	clear(r.clients)
	clear(r.subscriber.differences)
	r.catalogue.retainServices(r.subscriber.wants)
	r.subscriber.scheduleAll(now)
}

// publish publishes a set to the data path if the node subscribes to it.
func (r *Registrar) publish(g group.Group) {
	if !r.subscriber.wants(g.Service()) {
		return
	}
	r.effects = append(r.effects, effect.NewPublish(r.catalogue.withDepartures(g)))
}
