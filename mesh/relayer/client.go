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
	// secondPeriod is the period to relays that do not push; it stays well under clientTimeout.
	secondPeriod = 2 * time.Second
	// floorPeriod is how often a node that needs the version floor asks for it.
	floorPeriod = 200 * time.Millisecond
	// retargetSpread spreads the first messages of a data centre's nodes to relays that are new to them.
	retargetSpread = 50 * time.Millisecond
	// borrowPatience is how long a relay of another data centre may take to answer a node that turns to it.
	borrowPatience = 500 * time.Millisecond
	// relaySilence is how long a node waits for its relays before it looks for others.
	relaySilence = 2500 * time.Millisecond
)

// client is the node's side of its relays.
type client struct {
	state    differ.State // applied
	refused  uint64
	reason   string
	demanded []string
	relays   []string // the first pushes deltas, the second the version
	heard    map[string]time.Time
	since    time.Time            // when relays last changed
	at       time.Time            // of the next subscription
	told     map[string]bool      // relays that have the full subscription
	toldAt   map[string]time.Time // of the last subscription
	newest   map[string]uint64
	lagging  time.Time
	pullAt   time.Time
	whole    bool // the next pull asks for the whole state
}

func newClient() client {
	return client{heard: map[string]time.Time{}, newest: map[string]uint64{}, told: map[string]bool{}, toldAt: map[string]time.Time{}}
}

// connected reports whether one of the node's relays is heard.
func (c *client) connected(now time.Time) bool {
	return slices.ContainsFunc(c.relays, func(a string) bool { return now.Sub(c.heard[a]) < relaySilence })
}

func (c *client) unlinked(peer string) {
	delete(c.heard, peer)
	delete(c.newest, peer)
	delete(c.told, peer)
	delete(c.toldAt, peer)
}

func (c *client) retarget() {
	c.relays = nil
	c.at = time.Time{}
}

func (r *relayer) tickClient() {
	if r.seat >= 0 {
		return
	}
	r.chooseRelays()
	if len(r.client.relays) > 0 && !r.now.Before(r.client.at) {
		period := subscribePeriod
		if !r.floor.known {
			period = floorPeriod
		}
		r.client.at = r.now.Add(period)
		for i, a := range r.client.relays {
			if i == 0 || !r.floor.known || r.source.serving || r.now.Sub(r.client.toldAt[a]) >= secondPeriod {
				r.subscribe(i, false)
			}
		}
	}
	r.pullIfLagging()
}

// chooseRelays takes the live relays of the own data centre, or one of the region or elsewhere while there are none.
func (r *relayer) chooseRelays() {
	c := &r.client
	next := r.liveSources()
	if len(next) == 0 {
		next = addresses(r.table.selectLive(r.now, func(h *holding) bool {
			return h.centre == r.config.DataCentre && h.holder != r.config.Node
		}))
		if r.source.serving && half(r.config.Node) > 0 {
			slices.Reverse(next)
		}
	}
	if len(next) == 0 {
		next = r.chooseBorrowed()
	}
	if slices.Equal(next, c.relays) {
		return
	}
	c.relays = next
	c.since = r.now
	// The order may have changed, and with it who pushes.
	clear(c.toldAt)
	c.at = r.now.Add(r.jitter(retargetSpread))
	r.wake(c.at)
}

// chooseBorrowed returns a relay of another data centre, of the own region if there is one, and drops one that does
// not answer. The node hears nothing of these relays while its own ones live, so their last news may be old.
func (r *relayer) chooseBorrowed() []string {
	c := &r.client
	for _, a := range c.relays {
		if c.heard[a].Before(c.since) && r.now.Sub(c.since) > borrowPatience {
			r.table.unlink(a, r.now)
		}
	}
	for _, region := range []bool{true, false} {
		known := r.table.selectKnown(func(h *holding) bool {
			return h.centre != r.config.DataCentre && h.holder != r.config.Node && (h.region == r.config.Region) == region
		})
		if next := r.borrow(addresses(known)); len(next) > 0 {
			return next
		}
	}
	return nil
}

// borrow picks one of the addresses, the one in use if it is among them.
func (r *relayer) borrow(from []string) []string {
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
		DataCentre: r.config.DataCentre, Service: r.config.Service, Demanded: c.demanded,
		Version: c.state.Version(), Digest: c.state.Digest(), RefusedVersion: c.refused, Reason: c.reason,
		Push: index == 0, Pull: pull,
	}
	if !r.floor.known {
		m.UptimeMillis = max(1, r.now.Sub(r.started).Milliseconds())
	}
	if pull && c.whole {
		m.Digest = 0
	}
	address := c.relays[index]
	r.fill(m, address)
	if c.told[address] {
		m.Unchanged = true
		m.DataCentre, m.Service, m.Demanded, m.RefusedVersion, m.Reason = "", "", nil, 0, ""
		m.SubRelay = false
	}
	c.told[address] = true
	c.toldAt[address] = r.now
	r.send(address, subscribeKind, m)
}

func (r *relayer) receivePulse(from string, m *pulse) {
	c := &r.client
	if m.ResendSubscription {
		delete(c.told, from)
		c.at = r.now
		r.tickClient()
		return
	}
	r.merge(m.Leases)
	r.mergeVitals(m.RelayLiveness)
	if h := r.table.touch(from, m.Renewed, r.now); h != nil && h.centre == r.config.DataCentre && h.index < seatCount {
		r.leases[h.index].ObserveRenewal(r.now, h.epoch, time.UnixMilli(m.Renewed))
	}
	r.finder.found = true
	r.claim.fleet = m.NodeCount
	c.heard[from] = r.now
	c.newest[from] = m.Version
	if m.UptimeMillis > 0 {
		r.knowFloor(m.MinVersion)
	}
	r.floor.out = m.StoreUnreachable
	r.tickClient()
	r.updateRoster()
}

// pullIfLagging pulls from a relay that has a newer version once this node has lagged for lagPatience.
func (r *relayer) pullIfLagging() {
	c := &r.client
	best := -1
	newest := max(c.state.Version(), c.refused)
	for i, a := range c.relays {
		if c.newest[a] > newest {
			best, newest = i, c.newest[a]
		}
	}
	if best < 0 {
		c.lagging = time.Time{}
		return
	}
	if c.lagging.IsZero() {
		c.lagging = r.now
		r.wake(r.now.Add(lagPatience))
	}
	if r.now.Sub(c.lagging) < lagPatience || r.now.Before(c.pullAt) {
		return
	}
	c.pullAt = r.now.Add(lagPatience + r.jitter(lagPatience/3))
	r.subscribe(best, true)
}

func (r *relayer) receiveLater(m *later) {
	r.client.pullAt = r.now.Add(time.Duration(m.RetryAfterMillis) * time.Millisecond)
	r.client.lagging = r.now.Add(-lagPatience)
	r.wake(r.client.pullAt)
}

func (r *relayer) receiveDelta(from string, d differ.Delta) {
	if r.seat >= 0 || r.source.whole {
		// The delta was filtered for this node before it began to serve others.
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
	c.whole = false
	c.lagging = time.Time{}
	c.state = state
	r.publish()
}

// rejectDelta refuses the version of a delta that fails the check; one that does not fit the base is pulled again as
// a whole.
func (r *relayer) rejectDelta(d differ.Delta, err error, again func()) {
	if fault.KindOf(err) == fault.Conflict {
		again()
		return
	}
	r.refuse(d.Version(), err.Error())
}

func (r *relayer) pullAgain(from string) {
	r.client.whole = true
	if i := slices.Index(r.client.relays, from); i >= 0 && !r.now.Before(r.client.pullAt) {
		r.client.pullAt = r.now.Add(lagPatience)
		r.subscribe(i, true)
	}
}

// demand subscribes to one more service.
func (r *relayer) demand(service string) {
	c := &r.client
	if _, ok := r.own().Definition(service); ok || slices.Contains(c.demanded, service) {
		return
	}
	c.demanded = append(slices.Clone(c.demanded), service)
	slices.Sort(c.demanded)
	clear(c.told)
	switch {
	case r.seat >= 0 || r.source.whole:
		r.publish()
	case len(c.relays) > 0:
		r.subscribe(0, true)
	}
}

// own returns the part of the state that this node subscribes to. A relay holds all services for other nodes, but its
// registrar hands over only the endpoint sets of the node's own subscription.
func (r *relayer) own() differ.State {
	return r.client.state.Filter(r.config.Service, r.client.demanded)
}

// applyOwn applies a state to this relay's own node.
func (r *relayer) applyOwn(state differ.State) {
	if state.Version() < r.client.state.Version() {
		return
	}
	r.client.state = state
	r.publish()
}

// publish hands the state to the data path unless it is older than what the node must not go below.
func (r *relayer) publish() {
	f := &r.floor
	s := r.own()
	if !f.known || s.Version() == 0 || s.Version() < f.value || s.Version() < f.published {
		return
	}
	if s.Version() == f.published && s.Digest() == f.digest {
		return
	}
	f.published, f.digest = s.Version(), s.Digest()
	c := s.Config()
	r.emit(effect.NewPublish(c))
	r.emit(effect.NewRaise(event.NewLocal(event.Config, c)))
}
