package relayer

import (
	"maps"
	"slices"
	"strings"
	"time"

	"wisteriaspoke.example/mesh/differ"
)

const (
	// pulsePeriod bounds the silence to clients while the store takes no renewals; it is longer than renewPeriod so
	// that a renewal triggers the pulse in ordinary times.
	pulsePeriod = 1200 * time.Millisecond
	// secondPulse is the shortest time between pulses to a client that takes its deltas from another relay. New
	// versions are told at once; this only shows that the relay lives.
	secondPulse = 1500 * time.Millisecond
	// clientTimeout is how long a silent client is counted and served.
	clientTimeout = 5 * time.Second
	// wholeRate bounds whole-state answers per second, from the design page.
	wholeRate = 200
)

// subscriber is a node that this relay serves.
type subscriber struct {
	sub     subscribe
	heard   time.Time
	sent    time.Time // of the last delta
	version uint64    // of the last delta, or as the subscriber said
	digest  uint64
	changes int // of the table that the subscriber has
	pulsed  time.Time
	waits   bool // for the floor
	sum     *sum // of a sub-relay that has the whole configuration
}

type deltaKey struct {
	subscription string
	base, target uint64
	digest       uint64
}

type server struct {
	clients  map[string]*subscriber
	whole    bucket
	deltas   map[deltaKey]*differ.Delta // of the confirmed version only
	cached   uint64                     // version that the cache leads to
	pulsedAt time.Time
}

func newServer() server {
	return server{
		clients: map[string]*subscriber{}, whole: newBucket(wholeRate, wholeRate), deltas: map[deltaKey]*differ.Delta{},
	}
}

func (r *relayer) tickServer() {
	if !r.serves() {
		return
	}
	for address, c := range r.server.clients {
		if r.now.Sub(c.heard) > clientTimeout {
			delete(r.server.clients, address)
		}
	}
	if r.now.Sub(r.server.pulsedAt) >= pulsePeriod {
		r.pulseAll()
	}
}

func (r *relayer) receiveSubscribe(from string, m *subscribe) {
	if !r.serves() || (r.seat < 0 && (m.Relay || m.SubRelay)) {
		return
	}
	if m.Relay {
		r.answerRelay(from, m)
		return
	}
	c := r.server.clients[from]
	fresh := c == nil
	if m.Unchanged {
		if fresh {
			r.send(from, pulseKind, &pulse{ResendSubscription: true})
			return
		}
		m = c.sub.refreshed(m)
	}
	if fresh {
		c = &subscriber{changes: -1}
		r.server.clients[from] = c
	}
	resent := c.sub.Push == m.Push && r.now.Sub(c.sent) < lagPatience
	c.sub, c.heard = *m, r.now
	if !resent || m.Pull {
		c.version, c.digest = m.Version, m.Digest
	}
	if m.ClientSummary != nil || !m.SubRelay {
		c.sum = m.ClientSummary
	}
	c.waits = m.UptimeMillis > 0 && r.seat >= 0
	if c.waits && !r.answerFloor(from, c) && r.now.Sub(r.watch.readAt) >= floorPeriod {
		// One read confirms the head for all nodes that wait, so a mass restart does not use up the store budget.
		r.readHead()
	}
	if fresh {
		r.pulse(from, c)
	}
	if m.Pull || (m.Push && !resent) {
		r.push(from, c)
	}
	r.redirect(from, c)
}

// refreshed returns the subscription with the changing fields of a short one.
func (s subscribe) refreshed(m *subscribe) *subscribe {
	s.Version, s.Digest, s.Push, s.Pull, s.UptimeMillis = m.Version, m.Digest, m.Push, m.Pull, m.UptimeMillis
	s.ClientSummary = m.ClientSummary
	return &s
}

func (r *relayer) answerRelay(from string, m *subscribe) {
	latest := r.supply.latest
	if m.Version >= latest.Version() {
		return
	}
	base, ok := r.supply.at(m.Version)
	if !ok || base.Digest() != m.Digest {
		base = differ.State{}
	}
	r.send(from, feedKind, &feed{Delta: differ.Diff(base, latest)})
}

// push sends the subscriber what it lacks of the confirmed state.
func (r *relayer) push(address string, c *subscriber) {
	target := r.supply.current()
	if target.Version() == 0 || c.version > target.Version() {
		return
	}
	d := r.delta(c, target)
	if d == nil {
		return
	}
	if d.Base() == 0 && !r.server.whole.take(r.now, 0) {
		r.send(address, laterKind, &later{RetryAfterMillis: (lagPatience + r.jitter(lagPatience)).Milliseconds()})
		return
	}
	c.sent, c.version, c.digest = r.now, target.Version(), d.Digest()
	if c.sub.SubRelay {
		r.send(address, feedKind, &feed{Delta: *d})
		return
	}
	r.send(address, deltaKind, d)
}

// delta returns what leads the subscriber to the target: nil if nothing does, the whole if its base is unknown.
func (r *relayer) delta(c *subscriber, target differ.State) *differ.Delta {
	if r.server.cached != target.Version() {
		r.server.cached = target.Version()
		clear(r.server.deltas)
	}
	key := deltaKey{c.sub.Service + " " + strings.Join(c.sub.Demanded, " "), c.version, target.Version(), c.digest}
	if d, ok := r.server.deltas[key]; ok {
		return d
	}
	next := target.Filter(c.sub.Service, c.sub.Demanded)
	var d *differ.Delta
	if next.Version() != c.version || next.Digest() != c.digest {
		base, ok := r.supply.at(c.version)
		base = base.Filter(c.sub.Service, c.sub.Demanded)
		if !ok || base.Digest() != c.digest || base.Version() == next.Version() {
			base = differ.State{}
		}
		between := differ.Diff(base, next)
		d = &between
	}
	r.server.deltas[key] = d
	return d
}

// pushClients spreads a newly confirmed version: deltas to those that take them, the version alone to the others.
func (r *relayer) pushClients() {
	for _, address := range slices.Sorted(maps.Keys(r.server.clients)) {
		c := r.server.clients[address]
		if c.sub.Push {
			r.push(address, c)
		} else {
			r.pulse(address, c)
		}
	}
}

func (r *relayer) pulseAll() {
	r.server.pulsedAt = r.now
	for _, address := range slices.Sorted(maps.Keys(r.server.clients)) {
		c := r.server.clients[address]
		if c.sub.Push || c.sub.SubRelay || r.seat < 0 || r.now.Sub(c.pulsed) >= secondPulse {
			r.pulse(address, c)
		}
	}
}

// pulse tells a subscriber the confirmed version, and the relays when a holder changed.
func (r *relayer) pulse(address string, c *subscriber) {
	whole := c.changes != r.table.changes
	c.changes = r.table.changes
	gateways := map[string]bool{}
	if whole {
		for _, h := range r.remoteGateways() {
			gateways[h.holder] = true
		}
	}
	c.pulsed = r.now
	p := &pulse{
		Version: r.supply.confirmed, NodeCount: r.fleet(), StoreUnreachable: r.store.out, Renewed: r.lease().Record().Renewed().UnixMilli(),
	}
	if r.seat < 0 {
		p.Renewed, p.StoreUnreachable, p.RelayLiveness = 0, r.floor.out, r.vitals()
	}
	if whole {
		p.Leases = r.table.seats(r.now, func(h *holding) bool {
			if h.centre == r.config.DataCentre || h.centre == c.sub.DataCentre {
				return true
			}
			return h.live(r.now) && (h.region == r.config.Region || gateways[h.holder])
		})
	}
	r.send(address, pulseKind, p)
}

// fleet returns the number of nodes of the data centre that this relay hears, itself or through sub-relays, with itself.
func (r *relayer) fleet() int {
	if r.seat < 0 {
		return r.claim.fleet
	}
	n := 1
	for _, c := range r.server.clients {
		if c.sub.DataCentre == r.config.DataCentre {
			n += 1 + c.sum.total()
		}
	}
	return n
}
