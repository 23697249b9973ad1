package registrar

import (
	"time"

	"wisteriaspoke.example/mesh/endpoint"
	"wisteriaspoke.example/mesh/notice"
)

// Periods of the questions about silent nodes. Asking starts before the limits of package suspecter, so that an answer
// is there in time.
const (
	askAfter    = 1500 * time.Millisecond // the other relay is asked when it last heard the node
	probeAfter  = 4 * time.Second         // the node itself is probed
	askPeriod   = time.Second
	probeWait   = time.Second      // a probe unanswered for this long has failed
	memberLimit = 60 * time.Second // silence after which a relay that is not the owner forgets a node
)

// departureGrace is how long a relay waits for the owner's set to show a departure before it spreads the departure by
// itself. With a live owner one copy crosses into each region; with a dead one the departure still takes under 500 ms.
const departureGrace = 300 * time.Millisecond

// member is what a relay knows of one node of its data centre.
type member struct {
	endpoint endpoint.Endpoint
	number   uint64
	heard    time.Time
	unlinked bool
	closed   time.Time // when the last connection was lost
	asked    time.Time
	probed   time.Time // zero if no probe waits for an answer
}

// members are the nodes with an upstream in the relay's data centre.
type members struct {
	byAddress map[string]*member
	byService map[string]map[string]*member
	leaving   map[string]time.Time // departures that the sets may not show yet, with the time of the announcement

	// outdated reports whether an announcement is older than what is known of the address; tests replace it.
	outdated func(m *member, e endpoint.Endpoint, number uint64) bool
}

func newMembers() *members {
	return &members{
		byAddress: map[string]*member{}, byService: map[string]map[string]*member{}, leaving: map[string]time.Time{},
		outdated: outdated,
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
	delete(ms.leaving, address)
}

// alive notes a sign of life that carries no incarnation.
func (ms *members) alive(now time.Time, address string) {
	if m := ms.byAddress[address]; m != nil {
		m.listen(now)
	}
}

func (m *member) listen(now time.Time) {
	m.heard = now
	m.unlinked = false
	m.probed = time.Time{}
}

// leave marks one incarnation as leaving.
func (ms *members) leave(address string, incarnation uint64) {
	m := ms.byAddress[address]
	if m != nil && m.endpoint.Incarnation() <= incarnation {
		m.endpoint = m.endpoint.WithState(endpoint.Leaving)
	}
}

// excuse counts every member as heard now, as a paused observer has no evidence of silence.
func (ms *members) excuse(now time.Time) {
	for _, m := range ms.byAddress {
		m.listen(now)
	}
}

// prune forgets members that were silent for long. An owner must not: it keeps silent members as last known good.
func (ms *members) prune(now time.Time) {
	for a, m := range ms.byAddress {
		if now.Sub(m.heard) > memberLimit {
			ms.remove(a)
		}
	}
}

// announced takes a node's announcement.
func (r *Registrar) announced(now time.Time, peer string, a *notice.Announcement) {
	if !r.relay() || a.Endpoint().DataCentre() != r.config.DataCentre {
		return
	}
	e := a.Endpoint()
	r.send(peer, notice.KindReceipt, notice.NewReceipt(e.Incarnation(), a.Sequence()))
	old := r.members.byAddress[e.Address()]
	if old != nil && r.members.outdated(old, e, a.Sequence()) {
		return
	}
	if old != nil && old.endpoint.Incarnation() == e.Incarnation() && old.number == a.Sequence() {
		old.listen(now)
		return
	}
	if old != nil && old.endpoint.Incarnation() < e.Incarnation() {
		// A late announcement of the incarnation before must not count once this one is gone.
		r.catalogue.depart(now, departureOf(old.endpoint))
	}
	if r.catalogue.left(e.Address(), e.Incarnation()) {
		e = e.WithState(endpoint.Leaving)
	}
	r.members.put(&member{endpoint: e, number: a.Sequence(), heard: now})
	if e.State() == endpoint.Leaving {
		r.catalogue.depart(now, departureOf(e))
		r.members.leaving[e.Address()] = now
	}
	r.decideService(now, e.Service())
}

// outdated reports whether an announcement is older than what is known of the address.
func outdated(m *member, e endpoint.Endpoint, number uint64) bool {
	if m.endpoint.Incarnation() != e.Incarnation() {
		return e.Incarnation() < m.endpoint.Incarnation()
	}
	return number < m.number
}

func departureOf(e endpoint.Endpoint) notice.Departure {
	return notice.NewDeparture(e.Address(), e.DataCentre(), e.Service(), e.Incarnation())
}

// unlinked notes the loss of the last connection with a peer.
func (r *Registrar) unlinked(now time.Time, peer string) {
	delete(r.clients, peer)
	r.deputy.lose(peer)
	if r.relay() {
		r.standIn(now)
	}
	r.reader.mark(now, peer, true)
	r.announcer.again(now, peer)
	m := r.members.byAddress[peer]
	if m == nil {
		return
	}
	m.unlinked = true
	m.closed = now
	r.decideService(now, m.endpoint.Service())
}

// depart spreads departures that the owner's sets have not shown within the grace.
func (r *Registrar) depart(now time.Time) {
	var ds []notice.Departure
	for a, at := range r.members.leaving {
		m := r.members.byAddress[a]
		if r.shows(m.endpoint) {
			delete(r.members.leaving, a)
			continue
		}
		if now.Sub(at) < departureGrace {
			continue
		}
		delete(r.members.leaving, a)
		if d := departureOf(m.endpoint); r.goes(now, d) {
			ds = append(ds, d)
		}
	}
	if len(ds) == 0 {
		return
	}
	sortDepartures(ds)
	r.forward(r.peers(), nil, ds)
	r.forward(r.roster.RemoteGateways(), nil, ds)
	r.push(nil, ds)
}

// shows reports whether the set held has the endpoint leaving or no longer at all.
func (r *Registrar) shows(e endpoint.Endpoint) bool {
	g := r.catalogue.sets[setKey{dataCentre: e.DataCentre(), service: e.Service()}]
	for _, o := range g.Endpoints() {
		if o.Address() == e.Address() && o.Incarnation() <= e.Incarnation() {
			return o.State() == endpoint.Leaving
		}
	}
	return true
}

// probed answers for itself, or tells another relay when it last heard a node.
func (r *Registrar) probed(now time.Time, peer string, p *notice.Probe) {
	if p.Address() == r.config.Node {
		r.send(peer, notice.KindProbeReply, notice.NewProbeReply(p.Address(), 0))
		return
	}
	m := r.members.byAddress[p.Address()]
	if m == nil || !r.relay() {
		return
	}
	r.send(peer, notice.KindProbeReply, notice.NewProbeReply(p.Address(), now.Sub(m.heard).Milliseconds()))
}

// echoed takes a sign of life from a node or from the other relay.
func (r *Registrar) echoed(now time.Time, e *notice.ProbeReply) {
	m := r.members.byAddress[e.Address()]
	if m == nil {
		return
	}
	heard := now.Add(-time.Duration(e.MillisSinceHeard()) * time.Millisecond)
	if !heard.After(m.heard) {
		return
	}
	if m.unlinked && !heard.After(m.closed) {
		// The other relay heard the node before the connection was lost, which does not prove that it lives.
		m.heard = heard
		return
	}
	m.listen(heard)
}

// ask sends the questions about silent nodes that are due.
func (r *Registrar) ask(now time.Time, m *member) {
	silence := now.Sub(m.heard)
	if silence < askAfter && !m.unlinked {
		return
	}
	address := m.endpoint.Address()
	if now.Sub(m.asked) >= askPeriod {
		m.asked = now
		for _, p := range r.roster.Relays() {
			if p != r.config.Node && p != address {
				r.send(p, notice.KindProbe, notice.NewProbe(address))
			}
		}
	}
	if silence >= probeAfter && m.probed.IsZero() {
		m.probed = now
		r.send(address, notice.KindProbe, notice.NewProbe(address))
	}
}
