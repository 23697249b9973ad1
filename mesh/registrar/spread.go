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

// chunk is the number of sets in one message, about 50 KB at 4 endpoints each.
const chunk = 128

// client is a node that this relay serves.
type client struct {
	interest *notice.Subscription
	heard    time.Time
}

// wants reports whether the client subscribes to the service.
func (c *client) wants(service string) bool {
	return c.interest.All() || slices.Contains(c.interest.Services(), service)
}

// clientLimit is the silence after which a relay no longer sends changes to a node.
const clientLimit = 10 * time.Second

// pruneClients forgets nodes that were silent for long.
func (r *Registrar) pruneClients(now time.Time) {
	maps.DeleteFunc(r.clients, func(_ string, c *client) bool { return now.Sub(c.heard) > clientLimit })
}

// beaten takes a node's heartbeat and asks for what this relay lacks. If only the sets differ, it tells its own sums.
func (r *Registrar) beaten(now time.Time, peer string, b *notice.Heartbeat) {
	if !r.relay() {
		return
	}
	r.members.alive(now, peer)
	var incarnation, number uint64
	if m := r.members.byAddress[peer]; m != nil {
		incarnation, number = m.endpoint.Incarnation(), m.number
	}
	var interest *notice.Subscription
	c := r.clients[peer]
	if c != nil {
		c.heard = now
		interest = c.interest
	}
	if !b.SameIdentity(identityOf(incarnation, number, interest)) {
		r.send(peer, notice.KindQuery, notice.NewQuery(true, true))
		return
	}
	if c != nil && !b.SameSum(r.catalogue.sum(interest)) {
		r.digest(peer, interest)
	}
}

// digest tells a node the sums of its subscription, for each data centre if it has all services.
func (r *Registrar) digest(peer string, i *notice.Subscription) {
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

// subscribed notes a node's subscription and answers with its digest; one without services ends it.
func (r *Registrar) subscribed(now time.Time, peer string, i *notice.Subscription) {
	if !r.relay() {
		return
	}
	if !i.All() && len(i.Services()) == 0 {
		delete(r.clients, peer)
		return
	}
	r.clients[peer] = &client{interest: i, heard: now}
	r.members.alive(now, peer)
	r.digest(peer, i)
	if ds := r.departures(r.clients[peer].wants); len(ds) > 0 {
		r.send(peer, notice.KindSets, notice.NewSets(nil, ds, false))
	}
}

// departures returns those of the services for which want holds, by address.
func (r *Registrar) departures(want func(service string) bool) []notice.Departure {
	var ds []notice.Departure
	for _, d := range r.catalogue.departures {
		if d.spread && want(d.notice.Service()) {
			ds = append(ds, d.notice)
		}
	}
	sortDepartures(ds)
	return ds
}

// gossip tells the other relays which sets this one holds. Digests cross regions only from owners, about their own sets,
// and between gateways.
func (r *Registrar) gossip() {
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

// pulled answers with the sets that are newer than those the sender holds.
func (r *Registrar) pulled(now time.Time, peer string, p *notice.Pull) {
	if !r.relay() {
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
	for len(gs) > chunk {
		r.send(peer, notice.KindSets, notice.NewSets(gs[:chunk], nil, false))
		gs = gs[chunk:]
	}
	if len(gs) > 0 || len(ds) > 0 || all {
		r.send(peer, notice.KindSets, notice.NewSets(gs, ds, all && r.settled(now)))
	}
}

// accept takes sets and departures from a peer and passes on what is new.
func (r *Registrar) accept(now time.Time, peer string, s *notice.Sets) {
	var gs []group.Group
	for _, g := range s.Groups() {
		if r.admit(g) {
			gs = append(gs, g)
		}
	}
	var ds []notice.Departure
	for _, d := range s.Departures() {
		if r.goes(now, d) {
			ds = append(ds, d)
		}
	}
	if s.Complete() {
		r.bootstrap.whole = true
	}
	if !r.relay() {
		return
	}
	if (r.roster.IsGateway() || r.deputy.acting) && !slices.Contains(r.peers(), peer) {
		r.forward(r.peers(), gs, ds)
	}
	r.push(gs, ds)
}

// admit stores a set if it is wanted and newer, and hands it to the data path.
func (r *Registrar) admit(g group.Group) bool {
	if !r.relay() && !r.reader.wants(g.Service()) {
		return false
	}
	if !r.catalogue.put(g) {
		return false
	}
	if r.owner != nil && g.DataCentre() == r.config.DataCentre {
		r.owner.contested = true
	}
	r.show(g)
	return true
}

// show hands a set to the data path and to the other machines.
func (r *Registrar) show(g group.Group) {
	r.publish(g)
	r.out = append(r.out, effect.NewRaise(event.NewLocal(event.Groups, r.catalogue.visible(g))))
}

// goes notes a departure and shows the set that it changes.
func (r *Registrar) goes(now time.Time, d notice.Departure) bool {
	if !r.relay() && !r.reader.wants(d.Service()) {
		return false
	}
	fresh := r.catalogue.depart(now, d)
	if !r.catalogue.broadcast(d) && !fresh {
		return false
	}
	r.members.leave(d.Address(), d.Incarnation())
	if g, known := r.catalogue.sets[setKey{dataCentre: d.DataCentre(), service: d.Service()}]; known {
		r.show(g)
	}
	return true
}

// forward sends sets and departures to other relays.
func (r *Registrar) forward(peers []string, gs []group.Group, ds []notice.Departure) {
	for _, p := range peers {
		r.deliver(p, gs, ds)
	}
}

// deliver sends sets in messages of bounded size.
func (r *Registrar) deliver(peer string, gs []group.Group, ds []notice.Departure) {
	if len(gs) == 0 && len(ds) == 0 {
		return
	}
	for len(gs) > chunk {
		r.send(peer, notice.KindSets, notice.NewSets(gs[:chunk], nil, false))
		gs = gs[chunk:]
	}
	r.send(peer, notice.KindSets, notice.NewSets(gs, ds, false))
}

// push sends each node what it subscribes to: sets from the relay that it chose, departures from every relay.
func (r *Registrar) push(gs []group.Group, ds []notice.Departure) {
	if len(gs) == 0 && len(ds) == 0 {
		return
	}
	for _, p := range slices.Sorted(maps.Keys(r.clients)) {
		c := r.clients[p]
		var sets []group.Group
		if c.interest.Active() {
			sets = selectGroups(gs, c)
		}
		r.deliver(p, sets, selectDepartures(ds, c))
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
