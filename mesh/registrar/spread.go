package registrar

import (
	"maps"
	"slices"
	"time"

	"wisteriaspoke.example/mesh/effect"
	"wisteriaspoke.example/mesh/event"
	"wisteriaspoke.example/mesh/group"
	"wisteriaspoke.example/mesh/notice"
)

// setsPerMessage is the maximum number of sets in one message, about 50 KB at 4 endpoints each.
const setsPerMessage = 128

// client is a node that subscribes at this relay.
type client struct {
	subscription *notice.Subscription
	heard        time.Time
}

// wants reports whether the client subscribes to the service.
func (c *client) wants(service string) bool {
	return c.subscription.All() || slices.Contains(c.subscription.Services(), service)
}

// clientTimeout is the silence after which a relay no longer sends changes to a node.
const clientTimeout = 10 * time.Second

// pruneClients removes clients that were silent for longer than clientTimeout.
func (r *Registrar) pruneClients(now time.Time) {
	maps.DeleteFunc(r.clients, func(_ string, c *client) bool { return now.Sub(c.heard) > clientTimeout })
}

// handleHeartbeat queries the node if its announcement or subscription differs from the stored one. If only the sets
// differ, it sends a digest.
func (r *Registrar) handleHeartbeat(now time.Time, peer string, b *notice.Heartbeat) {
	if !r.isRelay() {
		return
	}
	r.members.markHeard(now, peer)
	var incarnation, sequence uint64
	if m := r.members.byAddress[peer]; m != nil {
		incarnation, sequence = m.endpoint.Incarnation(), m.sequence
	}
	var subscription *notice.Subscription
	c := r.clients[peer]
	if c != nil {
		c.heard = now
		subscription = c.subscription
	}
	if !b.SameIdentity(identityOf(incarnation, sequence, subscription)) {
		r.send(peer, notice.KindQuery, notice.NewQuery(true, true))
		return
	}
	if c != nil && !b.SameSum(r.catalogue.sum(subscription)) {
		r.sendDigest(peer, subscription)
	}
}

// sendDigest sends a node the digest of the sets it subscribes to, one per data centre if it subscribes to all.
func (r *Registrar) sendDigest(peer string, i *notice.Subscription) {
	if i.All() {
		r.send(peer, notice.KindDigest, notice.NewDigest(r.sums()))
		return
	}
	r.send(peer, notice.KindDigest, notice.NewDigest(map[string]uint64{"": r.catalogue.sum(i)}))
}

// sums returns a copy of the sums by data centre.
func (r *Registrar) sums() map[string]uint64 {
	sums := make(map[string]uint64, len(r.catalogue.byCentre))
	for dc, s := range r.catalogue.byCentre {
		sums[dc] = s
	}
	return sums
}

// handleSubscription stores a node's subscription and replies with its digest; one without services ends it.
func (r *Registrar) handleSubscription(now time.Time, peer string, i *notice.Subscription) {
	if !r.isRelay() {
		return
	}
	if !i.All() && len(i.Services()) == 0 {
		delete(r.clients, peer)
		return
	}
	r.clients[peer] = &client{subscription: i, heard: now}
	r.members.markHeard(now, peer)
	r.sendDigest(peer, i)
	if ds := r.departures(r.clients[peer].wants); len(ds) > 0 {
		r.send(peer, notice.KindSets, notice.NewSets(nil, ds, false))
	}
}

// departures returns the broadcast departures of the services for which want is true, ordered by address.
func (r *Registrar) departures(want func(service string) bool) []notice.Departure {
	var ds []notice.Departure
	for _, d := range r.catalogue.departures {
		if d.broadcast && want(d.notice.Service()) {
			ds = append(ds, d.notice)
		}
	}
	sortDepartures(ds)
	return ds
}

// sendDigests sends the other relays the digests of the sets held. Digests cross regions only from owners, for their
// own data centre's sets, and between gateways.
func (r *Registrar) sendDigests() {
	for _, p := range r.peers() {
		r.send(p, notice.KindDigest, notice.NewDigest(r.sums()))
	}
	if r.owner == nil {
		return
	}
	own := map[string]uint64{r.config.DataCentre: r.catalogue.byCentre[r.config.DataCentre]}
	for _, p := range r.roster.RemoteGateways() {
		r.send(p, notice.KindDigest, notice.NewDigest(own))
	}
}

// handlePull replies with the sets that are newer than those the sender holds.
func (r *Registrar) handlePull(now time.Time, peer string, p *notice.Pull) {
	if !r.isRelay() {
		return
	}
	held := map[setKey]group.Group{}
	for _, m := range p.HeldVersions() {
		held[keyOf(m.EmptyGroup())] = m.EmptyGroup()
	}
	want := func(string) bool { return true }
	if slices.Contains(p.Scopes(), "") {
		c := r.clients[peer]
		if c == nil {
			return
		}
		want = c.wants
	}
	gs := r.catalogue.list(func(g group.Group) bool {
		return want(g.Service()) && inScope(g, p.Scopes()) && g.Replaces(held[keyOf(g)])
	})
	all := len(p.Scopes()) == 0
	ds := r.departures(want)
	for len(gs) > setsPerMessage {
		r.send(peer, notice.KindSets, notice.NewSets(gs[:setsPerMessage], nil, false))
		gs = gs[setsPerMessage:]
	}
	if len(gs) > 0 || len(ds) > 0 || all {
		r.send(peer, notice.KindSets, notice.NewSets(gs, ds, all && r.settled(now)))
	}
}

// handleSets stores sets and departures from a peer and forwards the new ones.
func (r *Registrar) handleSets(now time.Time, peer string, s *notice.Sets) {
	var gs []group.Group
	for _, g := range s.Groups() {
		if r.storeSet(g) {
			gs = append(gs, g)
		}
	}
	var ds []notice.Departure
	for _, d := range s.Departures() {
		if r.applyDeparture(now, d) {
			ds = append(ds, d)
		}
	}
	if s.Complete() {
		r.bootstrap.peerComplete = true
	}
	if !r.isRelay() {
		return
	}
	if (r.roster.IsGateway() || r.deputy.acting) && !slices.Contains(r.peers(), peer) {
		r.forward(r.peers(), gs, ds)
	}
	r.pushToClients(gs, ds)
}

// storeSet stores and publishes a set if it is subscribed to and newer, and reports whether it did.
func (r *Registrar) storeSet(g group.Group) bool {
	if !r.isRelay() && !r.subscriber.wants(g.Service()) {
		return false
	}
	if !r.catalogue.put(g) {
		return false
	}
	if r.owner != nil && g.DataCentre() == r.config.DataCentre {
		r.owner.contested = true
	}
	r.publishAndRaise(g)
	return true
}

// publishAndRaise publishes a set to the data path and raises it to the other machines.
func (r *Registrar) publishAndRaise(g group.Group) {
	r.publish(g)
	r.effects = append(r.effects, effect.NewRaise(event.NewLocal(event.Groups, r.catalogue.withDepartures(g))))
}

// applyDeparture stores a departure, publishes the set it changes and reports whether it or its broadcast was new.
func (r *Registrar) applyDeparture(now time.Time, d notice.Departure) bool {
	if !r.isRelay() && !r.subscriber.wants(d.Service()) {
		return false
	}
	fresh := r.catalogue.recordDeparture(now, d)
	if !r.catalogue.markBroadcast(d) && !fresh {
		return false
	}
	r.members.markLeaving(d.Address(), d.Incarnation())
	if g, known := r.catalogue.sets[setKey{dataCentre: d.DataCentre(), service: d.Service()}]; known {
		r.publishAndRaise(g)
	}
	return true
}

// forward sends sets and departures to other relays.
func (r *Registrar) forward(peers []string, gs []group.Group, ds []notice.Departure) {
	for _, p := range peers {
		r.sendSets(p, gs, ds)
	}
}

// sendSets sends sets and departures in messages of bounded size.
func (r *Registrar) sendSets(peer string, gs []group.Group, ds []notice.Departure) {
	if len(gs) == 0 && len(ds) == 0 {
		return
	}
	for len(gs) > setsPerMessage {
		r.send(peer, notice.KindSets, notice.NewSets(gs[:setsPerMessage], nil, false))
		gs = gs[setsPerMessage:]
	}
	r.send(peer, notice.KindSets, notice.NewSets(gs, ds, false))
}

// pushToClients sends each node the sets and departures it subscribes to: sets only if it chose this relay as active,
// departures always.
func (r *Registrar) pushToClients(gs []group.Group, ds []notice.Departure) {
	if len(gs) == 0 && len(ds) == 0 {
		return
	}
	for _, p := range slices.Sorted(maps.Keys(r.clients)) {
		c := r.clients[p]
		var sets []group.Group
		if c.subscription.Active() {
			sets = selectGroups(gs, c)
		}
		r.sendSets(p, sets, selectDepartures(ds, c))
	}
}

func selectGroups(gs []group.Group, c *client) []group.Group {
	var wanted []group.Group
	for _, g := range gs {
		if c.wants(g.Service()) {
			wanted = append(wanted, g)
		}
	}
	return wanted
}

func selectDepartures(ds []notice.Departure, c *client) []notice.Departure {
	var wanted []notice.Departure
	for _, d := range ds {
		if c.wants(d.Service()) {
			wanted = append(wanted, d)
		}
	}
	return wanted
}
