package registrar

import (
	"time"

	"wisteriaspoke.example/mesh/endpoint"
	"wisteriaspoke.example/mesh/notice"
)

// Times for probing silent nodes. Probing starts before the limits of package suspecter, so that a reply arrives in
// time.
const (
	relayProbeAfter  = 1500 * time.Millisecond // silence after which the other relay is asked when it last heard the node
	probeAfter       = 4 * time.Second         // silence after which the node itself is probed
	relayProbePeriod = time.Second
	probeTimeout     = time.Second      // a probe unanswered for this long has failed
	memberTimeout    = 60 * time.Second // silence after which a relay that is not the owner removes a node
)

// departureGrace is how long a relay waits for the owner's set to show a departure before it broadcasts the departure.
// With a live owner one copy is sent to each region; with a dead one the departure still takes under 500 ms.
const departureGrace = 300 * time.Millisecond

// member is a relay's state of one node of its data centre.
type member struct {
	endpoint      endpoint.Endpoint
	sequence      uint64
	heard         time.Time
	unlinked      bool
	unlinkedAt    time.Time // when the last connection was lost
	relayProbedAt time.Time
	probeSentAt   time.Time // zero if no probe is outstanding
}

// members holds the nodes with an upstream in the relay's data centre.
type members struct {
	byAddress         map[string]*member
	byService         map[string]map[string]*member
	pendingDepartures map[string]time.Time // departures the sets may not show yet: time of the announcement by address

	// outdated reports whether an announcement is older than the address's member; tests replace it.
	outdated func(m *member, e endpoint.Endpoint, sequence uint64) bool
}

func newMembers() *members {
	return &members{
		byAddress: map[string]*member{}, byService: map[string]map[string]*member{},
		pendingDepartures: map[string]time.Time{}, outdated: outdated,
	}
}

// put adds or replaces the member at an address.
func (ms *members) put(m *member) {
	ms.remove(m.endpoint.Address())
	ms.byAddress[m.endpoint.Address()] = m
	s := ms.byService[m.endpoint.Service()]
	if s == nil {
		s = map[string]*member{}
		ms.byService[m.endpoint.Service()] = s
	}
	s[m.endpoint.Address()] = m
}

func (ms *members) remove(address string) {
	m := ms.byAddress[address]
	if m == nil {
		return
	}
	delete(ms.byAddress, address)
	delete(ms.byService[m.endpoint.Service()], address)
	delete(ms.pendingDepartures, address)
}

// markHeard records that a node was heard by a message without an incarnation.
func (ms *members) markHeard(now time.Time, address string) {
	if m := ms.byAddress[address]; m != nil {
		m.markHeard(now)
	}
}

func (m *member) markHeard(now time.Time) {
	m.heard = now
	m.unlinked = false
	m.probeSentAt = time.Time{}
}

// markLeaving marks an address's member as leaving, unless it is of a later incarnation.
func (ms *members) markLeaving(address string, incarnation uint64) {
	m := ms.byAddress[address]
	if m != nil && m.endpoint.Incarnation() <= incarnation {
		m.endpoint = m.endpoint.WithState(endpoint.Leaving)
	}
}

// markAllHeard treats every member as heard now, since a process that was paused has no evidence of silence.
func (ms *members) markAllHeard(now time.Time) {
	for _, m := range ms.byAddress {
		m.markHeard(now)
	}
}

// prune removes members silent for longer than memberTimeout. Owners must not call it: they keep silent members as the
// last known good set.
func (ms *members) prune(now time.Time) {
	for a, m := range ms.byAddress {
		if now.Sub(m.heard) > memberTimeout {
			ms.remove(a)
		}
	}
}

// handleAnnouncement acknowledges a node's announcement and updates its member.
func (r *Registrar) handleAnnouncement(now time.Time, peer string, a *notice.Announcement) {
	if !r.isRelay() || a.Endpoint().DataCentre() != r.config.DataCentre {
		return
	}
	e := a.Endpoint()
	r.send(peer, notice.KindReceipt, notice.NewReceipt(e.Incarnation(), a.Sequence()))
	old := r.members.byAddress[e.Address()]
	if old != nil && r.members.outdated(old, e, a.Sequence()) {
		return
	}
	if old != nil && old.endpoint.Incarnation() == e.Incarnation() && old.sequence == a.Sequence() {
		old.markHeard(now)
		return
	}
	if old != nil && old.endpoint.Incarnation() < e.Incarnation() {
		// A late announcement of the previous incarnation must be ignored once this one is gone.
		r.catalogue.recordDeparture(now, departureOf(old.endpoint))
	}
	if r.catalogue.hasDeparted(e.Address(), e.Incarnation()) {
		e = e.WithState(endpoint.Leaving)
	}
	r.members.put(&member{endpoint: e, sequence: a.Sequence(), heard: now})
	if e.State() == endpoint.Leaving {
		r.catalogue.recordDeparture(now, departureOf(e))
		r.members.pendingDepartures[e.Address()] = now
	}
	r.decideService(now, e.Service())
}

// outdated reports whether an announcement is older than the address's member.
func outdated(m *member, e endpoint.Endpoint, sequence uint64) bool {
	if m.endpoint.Incarnation() != e.Incarnation() {
		return e.Incarnation() < m.endpoint.Incarnation()
	}
	return sequence < m.sequence
}

func departureOf(e endpoint.Endpoint) notice.Departure {
	return notice.NewDeparture(e.Address(), e.DataCentre(), e.Service(), e.Incarnation())
}

// handleUnlinked processes the loss of the last connection with a peer.
func (r *Registrar) handleUnlinked(now time.Time, peer string) {
	delete(r.clients, peer)
	r.deputy.markLost(peer)
	if r.isRelay() {
		r.standIn(now)
	}
	r.subscriber.setDown(now, peer, true)
	r.announcer.schedule(now, peer)
	m := r.members.byAddress[peer]
	if m == nil {
		return
	}
	m.unlinked = true
	m.unlinkedAt = now
	r.decideService(now, m.endpoint.Service())
}

// sendDepartures broadcasts departures that the owner's sets have not shown within departureGrace.
func (r *Registrar) sendDepartures(now time.Time) {
	var ds []notice.Departure
	for a, at := range r.members.pendingDepartures {
		m := r.members.byAddress[a]
		if r.showsDeparture(m.endpoint) {
			delete(r.members.pendingDepartures, a)
			continue
		}
		if now.Sub(at) < departureGrace {
			continue
		}
		delete(r.members.pendingDepartures, a)
		if d := departureOf(m.endpoint); r.applyDeparture(now, d) {
			ds = append(ds, d)
		}
	}
	if len(ds) == 0 {
		return
	}
	sortDepartures(ds)
	r.forward(r.peers(), nil, ds)
	r.forward(r.roster.RemoteGateways(), nil, ds)
	r.pushToClients(nil, ds)
}

// showsDeparture reports whether the endpoint is leaving in the held set or absent from it.
func (r *Registrar) showsDeparture(e endpoint.Endpoint) bool {
	g := r.catalogue.sets[setKey{dataCentre: e.DataCentre(), service: e.Service()}]
	for _, o := range g.Endpoints() {
		if o.Address() == e.Address() && o.Incarnation() <= e.Incarnation() {
			return o.State() == endpoint.Leaving
		}
	}
	return true
}

// handleProbe replies for this node itself, or with the time since this relay last heard the probed node.
func (r *Registrar) handleProbe(now time.Time, peer string, p *notice.Probe) {
	if p.Address() == r.config.Node {
		r.send(peer, notice.KindProbeReply, notice.NewProbeReply(p.Address(), 0))
		return
	}
	m := r.members.byAddress[p.Address()]
	if m == nil || !r.isRelay() {
		return
	}
	r.send(peer, notice.KindProbeReply, notice.NewProbeReply(p.Address(), now.Sub(m.heard).Milliseconds()))
}

// handleProbeReply updates when a node was last heard, as reported by itself or by the other relay.
func (r *Registrar) handleProbeReply(now time.Time, e *notice.ProbeReply) {
	m := r.members.byAddress[e.Address()]
	if m == nil {
		return
	}
	heard := now.Add(-time.Duration(e.MillisSinceHeard()) * time.Millisecond)
	if !heard.After(m.heard) {
		return
	}
	if m.unlinked && !heard.After(m.unlinkedAt) {
		// The other relay heard the node before the connection was lost, which does not prove that it is alive.
		m.heard = heard
		return
	}
	m.markHeard(heard)
}

// sendProbes sends the due probes for a silent node, to the other relay and to the node itself.
func (r *Registrar) sendProbes(now time.Time, m *member) {
	silence := now.Sub(m.heard)
	if silence < relayProbeAfter && !m.unlinked {
		return
	}
	address := m.endpoint.Address()
	if now.Sub(m.relayProbedAt) >= relayProbePeriod {
		m.relayProbedAt = now
		for _, p := range r.roster.Relays() {
			if p != r.config.Node && p != address {
				r.send(p, notice.KindProbe, notice.NewProbe(address))
			}
		}
	}
	if silence >= probeAfter && m.probeSentAt.IsZero() {
		m.probeSentAt = now
		r.send(address, notice.KindProbe, notice.NewProbe(address))
	}
}
