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

// Name and Priority are those under which the machine registers.
const (
	Name     = "registrar"
	Priority = 20
)

// pauseLimit is the gap between two steps after which the process was paused: ticks come every 100 ms. The lease may
// have passed to another node meanwhile, and what was not heard is no evidence of silence.
const pauseLimit = time.Second

// pauseHold is how long a relay waits after a pause for word of its lease before it decides anything.
const pauseHold = 200 * time.Millisecond

// tickPeriod is the longest time between ticks.
const tickPeriod = 100 * time.Millisecond

func init() {
	machine.Register(Name, Priority, func(c machine.Config) machine.Machine { return New(c) })
}

// Registrar is the membership machine of one node.
type Registrar struct {
	config    machine.Config
	roster    roster.Roster
	catalogue *catalogue
	announcer *announcer
	reader    *reader
	members   *members
	clients   map[string]*client
	owner     *owner
	archive   *archive
	bootstrap bootstrap
	complete  bool // the data path was told that all sets were handed over
	deputy    *deputy

	last      time.Time // time of the latest step
	woken     time.Time // latest requested step
	heldUntil time.Time // no decision on ownership before, after a pause
	out       []effect.Effect
	own       []message.Message // to itself, as a relay has an upstream too
}

// New returns the machine of a node that has just started.
func New(c machine.Config) *Registrar {
	return &Registrar{
		config: c, roster: roster.New(roster.Fields{LeaseIndex: -1}),
		catalogue: newCatalogue(), announcer: newAnnouncer(c), reader: newReader(c),
		members: newMembers(), clients: map[string]*client{}, archive: newArchive(c), deputy: newDeputy(),
	}
}

// Step takes one event and returns what should happen, in order.
func (r *Registrar) Step(now time.Time, e event.Event) []effect.Effect {
	r.out = nil
	r.noticePause(now)
	switch e.Kind() {
	case event.Tick:
		r.tick(now)
	case event.Received:
		r.deputy.listen(now, e.Peer())
		r.receive(now, e.Peer(), e.Message())
	case event.Linked:
		r.reader.mark(now, e.Peer(), false)
	case event.Unlinked:
		r.unlinked(now, e.Peer())
	case event.StoreReplied:
		r.answered(now, e)
	case event.Local:
		r.local(now, e)
	}
	for len(r.own) > 0 {
		m := r.own[0]
		r.own = r.own[1:]
		r.receive(now, r.config.Node, m)
	}
	if !r.complete && r.synced(now) {
		r.complete = true
		r.out = append(r.out, effect.NewPublish(group.Complete{}))
	}
	return r.out
}

// synced reports whether this node holds all sets that its relays know and it subscribes to.
func (r *Registrar) synced(now time.Time) bool {
	if r.relay() {
		return r.reader.known && r.settled(now)
	}
	return r.reader.known && r.reader.compared && len(r.reader.differences) == 0
}

// noticePause resets what silence would prove after the process was paused.
func (r *Registrar) noticePause(now time.Time) {
	if !r.last.IsZero() && now.Sub(r.last) > pauseLimit {
		r.heldUntil = now.Add(pauseHold)
		r.members.excuse(now)
		r.deputy.excuse(now)
	}
	r.last = now
}

func (r *Registrar) tick(now time.Time) {
	r.announce(now)
	r.follow(now)
	r.catalogue.expire(now)
	if !r.relay() {
		return
	}
	r.learn(now)
	r.standIn(now)
	r.compare(now)
	r.depart(now)
	r.decide(now)
	r.save(now)
	if r.owner == nil {
		r.members.prune(now)
	}
	r.pruneClients(now)
}

func (r *Registrar) local(now time.Time, e event.Event) {
	switch v := e.Value().(type) {
	case roster.Roster:
		r.seat(now, v)
	case config.Config:
		r.configure(now, v)
	case endpoint.State:
		r.announcer.change(v)
		r.announce(now)
	case string:
		if e.ID() == event.SubscriptionNeeded {
			r.demand(now, v)
		}
	}
}

func (r *Registrar) receive(now time.Time, peer string, m message.Message) {
	switch b := m.Body().(type) {
	case *notice.Announcement:
		r.announced(now, peer, b)
	case *notice.Receipt:
		r.announcer.confirm(peer, b)
	case *notice.Heartbeat:
		r.beaten(now, peer, b)
	case *notice.Query:
		r.queried(now, peer, b)
	case *notice.Subscription:
		r.subscribed(now, peer, b)
	case *notice.Digest:
		r.note(now, peer, b)
	case *notice.Pull:
		r.pulled(now, peer, b)
	case *notice.Sets:
		r.accept(now, peer, b)
	case *notice.Probe:
		r.probed(now, peer, b)
	case *notice.ProbeReply:
		r.echoed(now, b)
	}
}

// relay reports whether this node serves as a relay: it holds a lease, or did so last and the others still say so, since
// a relay whose lease expired with the store out goes on distributing.
func (r *Registrar) relay() bool {
	return r.roster.LeaseIndex() >= 0 || slices.Contains(r.roster.Relays(), r.config.Node)
}

// peers returns the other relays of the own data centre and of the own region.
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
		r.own = append(r.own, m)
		return
	}
	r.out = append(r.out, effect.NewSend(peer, m))
}

// seat takes a new view of the relays.
func (r *Registrar) seat(now time.Time, next roster.Roster) {
	old, was := r.roster, r.relay()
	r.roster = next
	r.announcer.follow(now, next.Relays())
	r.reader.follow(now, next.Relays())
	if !r.relay() {
		if was {
			r.resign(now)
		}
		return
	}
	if !was {
		clear(r.reader.differences)
		r.bootstrap.begin(now)
	}
	r.deputy.follow(now, r.peers())
	r.assume(old)
	r.learn(now)
}

// resign turns a relay into an ordinary node, which holds the sets of its subscription.
func (r *Registrar) resign(now time.Time) {
	r.owner = nil
	r.members = newMembers()
	r.archive.resign()
	r.deputy = newDeputy()
	clear(r.clients)
	clear(r.reader.differences)
	r.catalogue.forget(r.reader.wants)
	r.reader.resend(now)
}

// publish hands a set to the data path if the node wants it.
func (r *Registrar) publish(g group.Group) {
	if !r.reader.wants(g.Service()) {
		return
	}
	r.out = append(r.out, effect.NewPublish(r.catalogue.visible(g)))
}
