package relayer

import (
	"maps"
	"slices"
	"strings"
	"time"

	"wisteriaspoke.example/mesh/differ"
)

const (
	// heartbeatPeriod is the time between heartbeats while the store confirms no renewals. It is longer than
	// renewPeriod, because normally each renewal triggers the heartbeats.
	heartbeatPeriod = 1200 * time.Millisecond
	// standbyHeartbeatPeriod is the minimum time between heartbeats to a client that gets its deltas from another relay.
	// They only show that this relay is live, as a new version causes a heartbeat at once.
	standbyHeartbeatPeriod = 1500 * time.Millisecond
	// clientTimeout is how long a client is counted and served after its last subscription.
	clientTimeout = 5 * time.Second
	// wholeStatesPerSecond limits the whole states that a relay sends, from the design page.
	wholeStatesPerSecond = 200
)

// subscriber is a client of this relay or sub-relay.
type subscriber struct {
	subscription    subscribe
	heardAt         time.Time
	deltaSentAt     time.Time
	deltaVersion    uint64 // version of the last sent delta, or the subscriber's own as it sent it
	deltaDigest     uint64
	tableChanges    int // holderChanges of the lease table when its leases were last sent
	heartbeatSentAt time.Time
	waitsForFloor   bool
	summary         *clientSummary // set for a sub-relay that has the whole configuration
}

type deltaKey struct {
	subscription string
	base, target uint64
	digest       uint64
}

type server struct {
	clients          map[string]*subscriber
	wholeStateBudget bucket
	deltas           map[deltaKey]*differ.Delta // to the confirmed version only
	cachedVersion    uint64                     // target version of all cached deltas
	heartbeatsSentAt time.Time
}

func newServer() server {
	return server{
		clients: map[string]*subscriber{}, wholeStateBudget: newBucket(wholeStatesPerSecond, wholeStatesPerSecond),
		deltas: map[deltaKey]*differ.Delta{},
	}
}

func (r *relayer) tickServer() {
	if !r.servesNodes() {
		return
	}
	for address, c := range r.server.clients {
		if r.now.Sub(c.heardAt) > clientTimeout {
			delete(r.server.clients, address)
		}
	}
	if r.now.Sub(r.server.heartbeatsSentAt) >= heartbeatPeriod {
		r.sendHeartbeats()
	}
}

func (r *relayer) receiveSubscribe(from string, m *subscribe) {
	if !r.servesNodes() || (r.leaseIndex < 0 && (m.Relay || m.SubRelay)) {
		return
	}
	if m.Relay {
		r.sendToRelay(from, m)
		return
	}
	c := r.server.clients[from]
	isNew := c == nil
	if m.Unchanged {
		if isNew {
			r.send(from, heartbeatKind, &heartbeat{ResendSubscription: true})
			return
		}
		m = c.subscription.withChanges(m)
	}
	if isNew {
		c = &subscriber{tableChanges: -1}
		r.server.clients[from] = c
	}
	deltaUnderWay := c.subscription.Push == m.Push && r.now.Sub(c.deltaSentAt) < pushTimeout
	c.subscription, c.heardAt = *m, r.now
	if !deltaUnderWay || m.Pull {
		c.deltaVersion, c.deltaDigest = m.Version, m.Digest
	}
	if m.ClientSummary != nil || !m.SubRelay {
		c.summary = m.ClientSummary
	}
	c.waitsForFloor = m.UptimeMillis > 0 && r.leaseIndex >= 0
	if c.waitsForFloor && !r.sendFloor(from, c) && r.now.Sub(r.watch.readAt) >= floorQueryPeriod {
		// One read confirms the head for all waiting nodes, so that a mass restart does not use up the store budget.
		r.readHead()
	}
	if isNew {
		r.sendHeartbeat(from, c)
	}
	if m.Pull || (m.Push && !deltaUnderWay) {
		r.push(from, c)
	}
	r.redirect(from, c)
}

// withChanges returns the subscription with the fields that m, a subscription with Unchanged set, contains.
func (s subscribe) withChanges(m *subscribe) *subscribe {
	s.Version, s.Digest, s.Push, s.Pull, s.UptimeMillis = m.Version, m.Digest, m.Push, m.Pull, m.UptimeMillis
	s.ClientSummary = m.ClientSummary
	return &s
}

func (r *relayer) sendToRelay(from string, m *subscribe) {
	latest := r.distribution.latestState
	if m.Version >= latest.Version() {
		return
	}
	base, ok := r.distribution.stateAt(m.Version)
	if !ok || base.Digest() != m.Digest {
		base = differ.State{}
	}
	r.send(from, unfilteredDeltaKind, &unfilteredDelta{Delta: differ.Diff(base, latest)})
}

// push sends the subscriber the delta to the confirmed state, if it lacks anything.
func (r *relayer) push(address string, c *subscriber) {
	target := r.distribution.current()
	if target.Version() == 0 || c.deltaVersion > target.Version() {
		return
	}
	d := r.delta(c, target)
	if d == nil {
		return
	}
	if d.Base() == 0 && !r.server.wholeStateBudget.take(r.now, 0) {
		r.send(address, retryLaterKind, &retryLater{RetryAfterMillis: (pushTimeout + r.jitter(pushTimeout)).Milliseconds()})
		return
	}
	c.deltaSentAt, c.deltaVersion, c.deltaDigest = r.now, target.Version(), d.Digest()
	if c.subscription.SubRelay {
		r.send(address, unfilteredDeltaKind, &unfilteredDelta{Delta: *d})
		return
	}
	r.send(address, deltaKind, d)
}

// delta returns the subscriber's delta to the target: nil if it lacks nothing, the whole state if its base is unknown.
func (r *relayer) delta(c *subscriber, target differ.State) *differ.Delta {
	if r.server.cachedVersion != target.Version() {
		r.server.cachedVersion = target.Version()
		clear(r.server.deltas)
	}
	key := deltaKey{
		c.subscription.Service + " " + strings.Join(c.subscription.Demanded, " "),
		c.deltaVersion, target.Version(), c.deltaDigest,
	}
	if d, ok := r.server.deltas[key]; ok {
		return d
	}
	next := target.Filter(c.subscription.Service, c.subscription.Demanded)
	var d *differ.Delta
	if next.Version() != c.deltaVersion || next.Digest() != c.deltaDigest {
		base, ok := r.distribution.stateAt(c.deltaVersion)
		base = base.Filter(c.subscription.Service, c.subscription.Demanded)
		if !ok || base.Digest() != c.deltaDigest || base.Version() == next.Version() {
			base = differ.State{}
		}
		between := differ.Diff(base, next)
		d = &between
	}
	r.server.deltas[key] = d
	return d
}

// pushClients sends a newly confirmed version: deltas to clients that request pushes, heartbeats to the other clients.
func (r *relayer) pushClients() {
	for _, address := range slices.Sorted(maps.Keys(r.server.clients)) {
		c := r.server.clients[address]
		if c.subscription.Push {
			r.push(address, c)
		} else {
			r.sendHeartbeat(address, c)
		}
	}
}

func (r *relayer) sendHeartbeats() {
	r.server.heartbeatsSentAt = r.now
	for _, address := range slices.Sorted(maps.Keys(r.server.clients)) {
		c := r.server.clients[address]
		if c.subscription.Push || c.subscription.SubRelay || r.leaseIndex < 0 ||
			r.now.Sub(c.heartbeatSentAt) >= standbyHeartbeatPeriod {
			r.sendHeartbeat(address, c)
		}
	}
}

// sendHeartbeat sends a subscriber the confirmed version, and the leases if a holder has changed.
func (r *relayer) sendHeartbeat(address string, c *subscriber) {
	sendLeases := c.tableChanges != r.leaseTable.holderChanges
	c.tableChanges = r.leaseTable.holderChanges
	gateways := map[string]bool{}
	if sendLeases {
		for _, h := range r.remoteGateways() {
			gateways[h.holder] = true
		}
	}
	c.heartbeatSentAt = r.now
	m := &heartbeat{
		Version: r.distribution.confirmedVersion, NodeCount: r.nodeCount(), StoreUnreachable: r.store.unreachable,
		Renewed: r.lease().Record().Renewed().UnixMilli(),
	}
	if r.leaseIndex < 0 {
		m.Renewed, m.StoreUnreachable, m.RelayLiveness = 0, r.versionFloor.storeUnreachable, r.relayLiveness()
	}
	if sendLeases {
		m.Leases = r.leaseTable.leaseInfos(r.now, func(h *knownLease) bool {
			if h.centre == r.config.DataCentre || h.centre == c.subscription.DataCentre {
				return true
			}
			return h.live(r.now) && (h.region == r.config.Region || gateways[h.holder])
		})
	}
	r.send(address, heartbeatKind, m)
}

// nodeCount returns the number of nodes of the data centre: this relay, its clients and those of its sub-relays. A node
// that is no relay returns the number that a relay sent.
func (r *relayer) nodeCount() int {
	if r.leaseIndex < 0 {
		return r.claim.nodeCount
	}
	n := 1
	for _, c := range r.server.clients {
		if c.subscription.DataCentre == r.config.DataCentre {
			n += 1 + c.summary.total()
		}
	}
	return n
}
