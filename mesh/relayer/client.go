package relayer

import (
	"slices"
	"time"

	"wisteriaspoke.example/mesh/differ"
	"wisteriaspoke.example/mesh/effect"
	"wisteriaspoke.example/mesh/event"
	"wisteriaspoke.example/mesh/fault"
)

const (
	subscribePeriod = time.Second
	// standbySubscribePeriod is the time between subscriptions to a relay that does not push; it must stay well below
	// clientTimeout.
	standbySubscribePeriod = 2 * time.Second
	// floorQueryPeriod is the time between subscriptions of a node that needs the version floor.
	floorQueryPeriod = 200 * time.Millisecond
	// retargetSpread is the maximum random delay of the first subscription after the relays changed, so that the nodes of
	// a data centre do not send them all at once.
	retargetSpread = 50 * time.Millisecond
	// remoteRelayTimeout is how long a relay of another data centre may take to answer its first subscription.
	remoteRelayTimeout = 500 * time.Millisecond
	// relayTimeout is the time without a message after which a relay or sub-relay counts as lost.
	relayTimeout = 2500 * time.Millisecond
)

// client is the state of a node that receives the configuration from relays or sub-relays.
type client struct {
	state            differ.State // last applied
	refusedVersion   uint64
	refusedReason    string
	demandedServices []string
	relays           []string // also sub-relays; the first pushes deltas, the second only versions
	heardAt          map[string]time.Time
	relaysChangedAt  time.Time
	nextSubscribeAt  time.Time
	hasSubscription  map[string]bool // relays that got the full subscription
	subscribedAt     map[string]time.Time
	newestVersion    map[string]uint64
	laggingSince     time.Time
	nextPullAt       time.Time
	pullWhole        bool // the next pull requests the whole state
}

func newClient() client {
	return client{heardAt: map[string]time.Time{}, newestVersion: map[string]uint64{},
		hasSubscription: map[string]bool{}, subscribedAt: map[string]time.Time{}}
}

// connected reports whether one of the node's relays sent a message within relayTimeout.
func (c *client) connected(now time.Time) bool {
	return slices.ContainsFunc(c.relays, func(a string) bool { return now.Sub(c.heardAt[a]) < relayTimeout })
}

func (c *client) unlinked(peer string) {
	delete(c.heardAt, peer)
	delete(c.newestVersion, peer)
	delete(c.hasSubscription, peer)
	delete(c.subscribedAt, peer)
}

func (c *client) clearRelays() {
	c.relays = nil
	c.nextSubscribeAt = time.Time{}
}

func (r *relayer) tickClient() {
	if r.leaseIndex >= 0 {
		return
	}
	r.chooseRelays()
	if len(r.client.relays) > 0 && !r.now.Before(r.client.nextSubscribeAt) {
		period := subscribePeriod
		if !r.versionFloor.known {
			period = floorQueryPeriod
		}
		r.client.nextSubscribeAt = r.now.Add(period)
		for i, a := range r.client.relays {
			if i == 0 || !r.versionFloor.known || r.fanoutRole.isSubRelay ||
				r.now.Sub(r.client.subscribedAt[a]) >= standbySubscribePeriod {
				r.subscribe(i, false)
			}
		}
	}
	r.pullIfLagging()
}

// chooseRelays selects the assigned sub-relays; without any, the live relays of this data centre; without any, one
// relay of another data centre.
func (r *relayer) chooseRelays() {
	c := &r.client
	next := r.liveSubRelays()
	if len(next) == 0 {
		next = addresses(r.leaseTable.selectLive(r.now, func(h *knownLease) bool {
			return h.centre == r.config.DataCentre && h.holder != r.config.Node
		}))
		if r.fanoutRole.isSubRelay && feedingRelay(r.config.Node) > 0 {
			slices.Reverse(next)
		}
	}
	if len(next) == 0 {
		next = r.chooseRemoteRelay()
	}
	if slices.Equal(next, c.relays) {
		return
	}
	c.relays = next
	c.relaysChangedAt = r.now
	// The order may have changed, and with it the relay that pushes.
	clear(c.subscribedAt)
	c.nextSubscribeAt = r.now.Add(r.jitter(retargetSpread))
	r.wake(c.nextSubscribeAt)
}

// chooseRemoteRelay returns a relay of another data centre, preferably of this region, and excludes one that does not
// answer. It also considers relays that are not known to be live, because a node gets little information on them while
// its own relays are live.
func (r *relayer) chooseRemoteRelay() []string {
	c := &r.client
	for _, a := range c.relays {
		if c.heardAt[a].Before(c.relaysChangedAt) && r.now.Sub(c.relaysChangedAt) > remoteRelayTimeout {
			r.leaseTable.unlink(a, r.now)
		}
	}
	for _, sameRegion := range []bool{true, false} {
		known := r.leaseTable.selectKnown(func(h *knownLease) bool {
			return h.centre != r.config.DataCentre && h.holder != r.config.Node && (h.region == r.config.Region) == sameRegion
		})
		if next := r.keepOrPick(addresses(known)); len(next) > 0 {
			return next
		}
	}
	return nil
}

// keepOrPick returns the relay in use if it is among the addresses, or a random one of them.
func (r *relayer) keepOrPick(from []string) []string {
	if len(from) == 0 {
		return nil
	}
	for _, a := range r.client.relays {
		if slices.Contains(from, a) {
			return []string{a}
		}
	}
	return []string{from[r.config.Rand.IntN(len(from))]}
}

func (r *relayer) subscribe(index int, pull bool) {
	c := &r.client
	m := &subscribe{
		DataCentre: r.config.DataCentre, Service: r.config.Service, Demanded: c.demandedServices,
		Version: c.state.Version(), Digest: c.state.Digest(), RefusedVersion: c.refusedVersion, Reason: c.refusedReason,
		Push: index == 0, Pull: pull,
	}
	if !r.versionFloor.known {
		m.UptimeMillis = max(1, r.now.Sub(r.started).Milliseconds())
	}
	if pull && c.pullWhole {
		m.Digest = 0
	}
	address := c.relays[index]
	r.fillSubRelayFields(m, address)
	if c.hasSubscription[address] {
		m.Unchanged = true
		m.DataCentre, m.Service, m.Demanded, m.RefusedVersion, m.Reason = "", "", nil, 0, ""
		m.SubRelay = false
	}
	c.hasSubscription[address] = true
	c.subscribedAt[address] = r.now
	r.send(address, subscribeKind, m)
}

func (r *relayer) receiveHeartbeat(from string, m *heartbeat) {
	c := &r.client
	if m.ResendSubscription {
		delete(c.hasSubscription, from)
		c.nextSubscribeAt = r.now
		r.tickClient()
		return
	}
	r.mergeLeases(m.Leases)
	r.mergeRelayLiveness(m.RelayLiveness)
	if h := r.leaseTable.markHeard(from, m.Renewed, r.now); h != nil && h.centre == r.config.DataCentre &&
		h.index < leasesPerDataCentre {
		r.leases[h.index].ObserveRenewal(r.now, h.epoch, time.UnixMilli(m.Renewed))
	}
	r.finder.leasesSeen = true
	r.claim.nodeCount = m.NodeCount
	c.heardAt[from] = r.now
	c.newestVersion[from] = m.Version
	if m.UptimeMillis > 0 {
		r.setFloor(m.MinVersion)
	}
	r.versionFloor.storeUnreachable = m.StoreUnreachable
	r.tickClient()
	r.updateRoster()
}

// pullIfLagging pulls from a relay that has a newer version once this node has lagged for pushTimeout.
func (r *relayer) pullIfLagging() {
	c := &r.client
	best := -1
	newest := max(c.state.Version(), c.refusedVersion)
	for i, a := range c.relays {
		if c.newestVersion[a] > newest {
			best, newest = i, c.newestVersion[a]
		}
	}
	if best < 0 {
		c.laggingSince = time.Time{}
		return
	}
	if c.laggingSince.IsZero() {
		c.laggingSince = r.now
		r.wake(r.now.Add(pushTimeout))
	}
	if r.now.Sub(c.laggingSince) < pushTimeout || r.now.Before(c.nextPullAt) {
		return
	}
	c.nextPullAt = r.now.Add(pushTimeout + r.jitter(pushTimeout/3))
	r.subscribe(best, true)
}

func (r *relayer) receiveRetryLater(m *retryLater) {
	r.client.nextPullAt = r.now.Add(time.Duration(m.RetryAfterMillis) * time.Millisecond)
	r.client.laggingSince = r.now.Add(-pushTimeout)
	r.wake(r.client.nextPullAt)
}

func (r *relayer) receiveDelta(from string, d differ.Delta) {
	if r.leaseIndex >= 0 || r.fanoutRole.hasWholeState {
		// The delta was filtered for this node before it became a relay or a sub-relay.
		return
	}
	c := &r.client
	resubscribed := d.Version() == c.state.Version() && d.Base() == 0 && d.Digest() != c.state.Digest()
	if d.Version() <= c.state.Version() && !resubscribed {
		return
	}
	state, err := differ.Apply(c.state, d)
	if err != nil {
		r.rejectDelta(d, err, func() { r.pullAgain(from) })
		return
	}
	c.pullWhole = false
	c.laggingSince = time.Time{}
	c.state = state
	r.publish()
}

// rejectDelta handles a delta that Apply refused: if it does not match the base, pullAgain requests the whole state; if
// its content is invalid, the version is refused.
func (r *relayer) rejectDelta(d differ.Delta, err error, pullAgain func()) {
	if fault.KindOf(err) == fault.Conflict {
		pullAgain()
		return
	}
	r.refuse(d.Version(), err.Error())
}

func (r *relayer) pullAgain(from string) {
	r.client.pullWhole = true
	if i := slices.Index(r.client.relays, from); i >= 0 && !r.now.Before(r.client.nextPullAt) {
		r.client.nextPullAt = r.now.Add(pushTimeout)
		r.subscribe(i, true)
	}
}

// demandService adds a service to this node's subscription.
func (r *relayer) demandService(service string) {
	c := &r.client
	if _, ok := r.ownState().Definition(service); ok || slices.Contains(c.demandedServices, service) {
		return
	}
	c.demandedServices = append(slices.Clone(c.demandedServices), service)
	slices.Sort(c.demandedServices)
	clear(c.hasSubscription)
	switch {
	case r.leaseIndex >= 0 || r.fanoutRole.hasWholeState:
		r.publish()
	case len(c.relays) > 0:
		r.subscribe(0, true)
	}
}

// ownState returns the part of the state that this node subscribes to. A relay has all services for other nodes, but
// its registrar only provides the endpoint sets of the node's own subscription.
func (r *relayer) ownState() differ.State {
	return r.client.state.Filter(r.config.Service, r.client.demandedServices)
}

// applyOwn applies a state on this relay's own node.
func (r *relayer) applyOwn(state differ.State) {
	if state.Version() < r.client.state.Version() {
		return
	}
	r.client.state = state
	r.publish()
}

// publish passes the state to the data path unless it is older than the version floor or the published state.
func (r *relayer) publish() {
	f := &r.versionFloor
	s := r.ownState()
	if !f.known || s.Version() == 0 || s.Version() < f.value || s.Version() < f.published {
		return
	}
	if s.Version() == f.published && s.Digest() == f.publishedDigest {
		return
	}
	f.published, f.publishedDigest = s.Version(), s.Digest()
	c := s.Config()
	r.emit(effect.NewPublish(c))
	r.emit(effect.NewRaise(event.NewLocal(event.Config, c)))
}
