package relayer

import (
	"maps"
	"slices"
	"time"

	"wisteriaspoke.example/mesh/differ"
)

const (
	statusPeriod = 500 * time.Millisecond
	// tablePeriod is the time between a gateway's statuses with the whole lease table to its region's relays.
	tablePeriod = 2 * time.Second
	// peerTimeout is how long a relay answers another that is not among its own peers, and uses what it sent.
	peerTimeout = 2 * time.Second
	// pushTimeout is how long a node or a relay waits for a push before it pulls.
	pushTimeout = 300 * time.Millisecond
)

// peer is a relay's view of another relay, from its last status.
type peer struct {
	latestVersion    uint64
	confirmedVersion uint64
	latestDigest     uint64
	publishedVersion uint64
	refusedVersion   uint64
	refusedReason    string
	heardAt          time.Time
	// requestedAt is when the last status without Reply came. Only these are answered, so that relays of large fleets do
	// not answer answers for ever.
	requestedAt time.Time
}

func (r *relayer) tickPeers() {
	if r.leaseIndex < 0 {
		return
	}
	r.mergeOwnLease()
	if !r.now.Before(r.distribution.nextStatusAt) {
		r.sendStatuses()
	}
	r.catchUp()
}

// peerAddresses returns the relays to send statuses to; the value is false for those that are only answered.
func (r *relayer) peerAddresses() map[string]bool {
	set := map[string]bool{}
	for _, h := range r.regionPeers() {
		set[h.holder] = true
	}
	if r.actsAsGateway() {
		for _, h := range r.remoteGateways() {
			set[h.holder] = true
		}
		for _, h := range r.lostGateways() {
			set[h.holder] = true
		}
	}
	for address, p := range r.distribution.peers {
		if r.now.Sub(p.requestedAt) < peerTimeout && !set[address] {
			set[address] = false
		}
	}
	delete(set, r.config.Node)
	return set
}

// sendStatuses sends this relay's versions and leases to its peers.
func (r *relayer) sendStatuses() {
	if r.leaseIndex < 0 {
		return
	}
	r.distribution.nextStatusAt = r.now.Add(statusPeriod)
	sendTable := r.actsAsGateway() && !r.now.Before(r.distribution.nextTableAt)
	if sendTable {
		r.distribution.nextTableAt = r.now.Add(tablePeriod)
	}
	inRegion := map[string]bool{}
	for _, h := range r.regionPeers() {
		inRegion[h.holder] = true
	}
	var refused uint64
	var reason string
	if r.distribution.invalidVersions[r.distribution.refusedVersion] &&
		r.distribution.refusedVersion > r.distribution.latestState.Version() {
		refused, reason = r.distribution.refusedVersion, r.distribution.refusedReason
	}
	peers := r.peerAddresses()
	for _, address := range slices.Sorted(maps.Keys(peers)) {
		r.send(address, relayStatusKind, &relayStatus{
			Reply:          !peers[address] && r.nodeCount() > fanoutThreshold,
			RefusedVersion: refused, Reason: reason, LatestVersion: r.distribution.latestState.Version(),
			ConfirmedVersion: r.distribution.confirmedVersion, Digest: r.distribution.latestState.Digest(),
			PublishedVersion: r.versionFloor.published,
			Leases: r.leaseTable.leaseInfos(r.now, func(h *knownLease) bool {
				own := h.centre == r.config.DataCentre && h.index == r.leaseIndex
				return own || (inRegion[address] && sendTable) || (!inRegion[address] && h.region == r.config.Region)
			}),
		})
	}
}

func (r *relayer) receiveRelayStatus(from string, m *relayStatus) {
	r.mergeLeases(m.Leases)
	if r.leaseIndex < 0 {
		return
	}
	s := &r.distribution
	p := s.peers[from]
	if p == nil {
		p = &peer{}
		s.peers[from] = p
	}
	p.latestVersion, p.confirmedVersion, p.latestDigest, p.heardAt = m.LatestVersion, m.ConfirmedVersion, m.Digest, r.now
	if !m.Reply {
		p.requestedAt = r.now
	}
	p.publishedVersion, p.refusedVersion, p.refusedReason = m.PublishedVersion, m.RefusedVersion, m.Reason
	if m.RefusedVersion > 0 && !s.invalidVersions[m.RefusedVersion] {
		r.refuse(m.RefusedVersion, m.Reason)
		r.sendFloors()
	}
	if _, ok := s.stateAt(m.ConfirmedVersion); ok {
		r.confirm(m.ConfirmedVersion)
	}
	if v := s.withheldState.Version(); v > 0 && v <= m.ConfirmedVersion && v > s.latestState.Version() {
		r.releaseWithheld()
	}
	r.catchUp()
}

// releaseWithheld distributes the withheld version after another relay has confirmed it.
func (r *relayer) releaseWithheld() {
	state := r.distribution.withheldState
	r.distribution.withheldState = differ.State{}
	delete(r.distribution.suspectVersions, state.Version())
	if r.distribution.refusedVersion == state.Version() {
		r.distribution.refusedVersion, r.distribution.refusedReason = 0, ""
		r.client.refusedVersion, r.client.refusedReason = 0, ""
	}
	r.accept(state)
}

// confirmedElsewhere reports whether another relay has confirmed the version.
func (r *relayer) confirmedElsewhere(version uint64) bool {
	for _, p := range r.distribution.peers {
		if p.confirmedVersion >= version {
			return true
		}
	}
	return false
}

// catchUp pulls from the relay with the newest version once this one has lagged for pushTimeout.
func (r *relayer) catchUp() {
	s := &r.distribution
	best := ""
	newest := max(s.latestState.Version(), s.withheldState.Version())
	for _, address := range slices.Sorted(maps.Keys(s.peers)) {
		if p := s.peers[address]; p.latestVersion > newest && r.now.Sub(p.heardAt) < peerTimeout {
			best, newest = address, p.latestVersion
		}
	}
	if best == "" {
		s.laggingSince = time.Time{}
		return
	}
	if s.laggingSince.IsZero() {
		s.laggingSince = r.now
		r.wake(r.now.Add(pushTimeout))
	}
	if r.now.Sub(s.laggingSince) < pushTimeout || r.now.Before(s.nextPullAt) {
		return
	}
	s.nextPullAt = r.now.Add(pushTimeout)
	r.pullFrom(best)
}

func (r *relayer) pullFrom(address string) {
	r.send(address, subscribeKind, &subscribe{
		DataCentre: r.config.DataCentre, Version: r.distribution.latestState.Version(),
		Digest: r.distribution.latestState.Digest(), Pull: true, Relay: true,
	})
}

// pushRelays sends the latest state, as a gateway, to the relays of the region that lack it, and its version to all
// peers.
func (r *relayer) pushRelays() {
	if r.actsAsGateway() {
		for _, h := range r.regionPeers() {
			p := r.distribution.peers[h.holder]
			if p == nil || p.latestVersion >= r.distribution.latestState.Version() {
				continue
			}
			if base, ok := r.distribution.stateAt(p.latestVersion); ok && base.Digest() == p.latestDigest {
				r.send(h.holder, unfilteredDeltaKind, &unfilteredDelta{Delta: differ.Diff(base, r.distribution.latestState)})
				// The push counts as received; the peer's next status has its actual version.
				p.latestVersion, p.latestDigest = r.distribution.latestState.Version(), r.distribution.latestState.Digest()
			}
		}
	}
	r.sendStatuses()
}

// receiveRelayDelta applies a delta from another relay.
func (r *relayer) receiveRelayDelta(from string, d differ.Delta) {
	s := &r.distribution
	if d.Version() <= s.latestState.Version() {
		return
	}
	state, err := differ.Apply(s.latestState, d)
	if err != nil {
		r.rejectDelta(d, err, func() { r.pullWhole(from) })
		return
	}
	r.accept(state)
}

func (r *relayer) pullWhole(address string) {
	if r.now.Before(r.distribution.nextPullAt) {
		return
	}
	r.distribution.nextPullAt = r.now.Add(pushTimeout)
	r.send(address, subscribeKind, &subscribe{DataCentre: r.config.DataCentre, Pull: true, Relay: true})
}
