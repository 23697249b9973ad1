package relayer

import (
	"maps"
	"slices"
	"time"

	"wisteriaspoke.example/mesh/differ"
)

const (
	syncPeriod = 500 * time.Millisecond
	// tablePeriod is how often a gateway sends the whole table of leases to its region's relays.
	tablePeriod = 2 * time.Second
	// callerTimeout is how long a relay answers another that is not in its own set of peers.
	callerTimeout = 2 * time.Second
	// lagPatience is how long a node or a relay waits for a push before it pulls.
	lagPatience = 300 * time.Millisecond
)

// peer is what a relay knows of another relay.
type peer struct {
	latest    uint64
	confirmed uint64
	digest    uint64
	published uint64
	refused   uint64
	reason    string
	heard     time.Time
	called    time.Time // last heard without Reply, so that large fleets do not answer answers for ever
}

func (r *relayer) tickPeers() {
	if r.seat < 0 {
		return
	}
	r.noteSelf()
	if !r.now.Before(r.supply.syncAt) {
		r.syncAll()
	}
	r.catchUp()
}

// peerAddresses returns the relays to keep in touch with; the value is false for those that are only answered.
func (r *relayer) peerAddresses() map[string]bool {
	set := map[string]bool{}
	for _, h := range r.regionPeers() {
		set[h.holder] = true
	}
	if r.acting() {
		for _, h := range r.remoteGateways() {
			set[h.holder] = true
		}
		for _, h := range r.lostGateways() {
			set[h.holder] = true
		}
	}
	for address, p := range r.supply.peers {
		if r.now.Sub(p.called) < callerTimeout && !set[address] {
			set[address] = false
		}
	}
	delete(set, r.config.Node)
	return set
}

// syncAll tells the other relays which version and lease this one has.
func (r *relayer) syncAll() {
	if r.seat < 0 {
		return
	}
	r.supply.syncAt = r.now.Add(syncPeriod)
	whole := r.acting() && !r.now.Before(r.supply.tableAt)
	if whole {
		r.supply.tableAt = r.now.Add(tablePeriod)
	}
	regional := map[string]bool{}
	for _, h := range r.regionPeers() {
		regional[h.holder] = true
	}
	var refused uint64
	var reason string
	if r.supply.refusals[r.supply.refused] && r.supply.refused > r.supply.latest.Version() {
		refused, reason = r.supply.refused, r.supply.reason
	}
	peers := r.peerAddresses()
	for _, address := range slices.Sorted(maps.Keys(peers)) {
		r.send(address, syncKind, &syncing{
			Reply:          !peers[address] && r.fleet() > fanoutThreshold,
			RefusedVersion: refused, Reason: reason, LatestVersion: r.supply.latest.Version(), ConfirmedVersion: r.supply.confirmed, Digest: r.supply.latest.Digest(),
			PublishedVersion: r.floor.published,
			Leases: r.table.seats(r.now, func(h *holding) bool {
				own := h.centre == r.config.DataCentre && h.index == r.seat
				return own || (regional[address] && whole) || (!regional[address] && h.region == r.config.Region)
			}),
		})
	}
}

func (r *relayer) receiveSync(from string, m *syncing) {
	r.merge(m.Leases)
	if r.seat < 0 {
		return
	}
	s := &r.supply
	p := s.peers[from]
	if p == nil {
		p = &peer{}
		s.peers[from] = p
	}
	p.latest, p.confirmed, p.digest, p.heard = m.LatestVersion, m.ConfirmedVersion, m.Digest, r.now
	if !m.Reply {
		p.called = r.now
	}
	p.published, p.refused, p.reason = m.PublishedVersion, m.RefusedVersion, m.Reason
	if m.RefusedVersion > 0 && !s.refusals[m.RefusedVersion] {
		r.refuse(m.RefusedVersion, m.Reason)
		r.answerFloors()
	}
	if _, ok := s.at(m.ConfirmedVersion); ok {
		r.confirm(m.ConfirmedVersion)
	}
	if v := s.withheld.Version(); v > 0 && v <= m.ConfirmedVersion && v > s.latest.Version() {
		r.release()
	}
	r.catchUp()
}

// release distributes a withheld version after another relay has confirmed it.
func (r *relayer) release() {
	state := r.supply.withheld
	r.supply.withheld = differ.State{}
	delete(r.supply.suspects, state.Version())
	if r.supply.refused == state.Version() {
		r.supply.refused, r.supply.reason = 0, ""
		r.client.refused, r.client.reason = 0, ""
	}
	r.accept(state)
}

// confirmedElsewhere reports whether another relay has run the version for trialPeriod.
func (r *relayer) confirmedElsewhere(version uint64) bool {
	for _, p := range r.supply.peers {
		if p.confirmed >= version {
			return true
		}
	}
	return false
}

// catchUp pulls from the relay with the newest version once this one has lagged for lagPatience.
func (r *relayer) catchUp() {
	s := &r.supply
	best := ""
	newest := max(s.latest.Version(), s.withheld.Version())
	for _, address := range slices.Sorted(maps.Keys(s.peers)) {
		if p := s.peers[address]; p.latest > newest && r.now.Sub(p.heard) < callerTimeout {
			best, newest = address, p.latest
		}
	}
	if best == "" {
		s.lagging = time.Time{}
		return
	}
	if s.lagging.IsZero() {
		s.lagging = r.now
		r.wake(r.now.Add(lagPatience))
	}
	if r.now.Sub(s.lagging) < lagPatience || r.now.Before(s.pullAt) {
		return
	}
	s.pullAt = r.now.Add(lagPatience)
	r.pullFrom(best)
}

func (r *relayer) pullFrom(address string) {
	r.send(address, subscribeKind, &subscribe{
		DataCentre: r.config.DataCentre, Version: r.supply.latest.Version(), Digest: r.supply.latest.Digest(), Pull: true, Relay: true,
	})
}

// pushRelays sends the newest state to the relays of the region that lack it, and its version to the other peers.
func (r *relayer) pushRelays() {
	if r.acting() {
		for _, h := range r.regionPeers() {
			p := r.supply.peers[h.holder]
			if p == nil || p.latest >= r.supply.latest.Version() {
				continue
			}
			if base, ok := r.supply.at(p.latest); ok && base.Digest() == p.digest {
				r.send(h.holder, feedKind, &feed{Delta: differ.Diff(base, r.supply.latest)})
				// The push counts as received; the peer's next heartbeat says what it has.
				p.latest, p.digest = r.supply.latest.Version(), r.supply.latest.Digest()
			}
		}
	}
	r.syncAll()
}

// receiveRelayDelta takes a delta from another relay.
func (r *relayer) receiveRelayDelta(from string, d differ.Delta) {
	s := &r.supply
	if d.Version() <= s.latest.Version() {
		return
	}
	state, err := differ.Apply(s.latest, d)
	if err != nil {
		r.rejectDelta(d, err, func() { r.pullWhole(from) })
		return
	}
	r.accept(state)
}

func (r *relayer) pullWhole(address string) {
	if r.now.Before(r.supply.pullAt) {
		return
	}
	r.supply.pullAt = r.now.Add(lagPatience)
	r.send(address, subscribeKind, &subscribe{DataCentre: r.config.DataCentre, Pull: true, Relay: true})
}
