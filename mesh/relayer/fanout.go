package relayer

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"wisteriaspoke.example/mesh/differ"
	"wisteriaspoke.example/mesh/report"
)

const (
	// fanoutThreshold is the number of nodes in a data centre above which relays serve them through sub-relays.
	fanoutThreshold = 32
	// retireThreshold is the number of nodes at which the fan-out ends. It is lower than fanoutThreshold, so that a node
	// that joins and leaves repeatedly does not toggle the fan-out.
	retireThreshold = 24
	// retireDelay is how long a data centre must stay small before its sub-relays become ordinary clients; a relay that
	// has just started or was paused counts only some of the nodes.
	retireDelay = 10 * time.Second
	// fanoutCheckPeriod is the time between a relay's checks of the number of sub-relays.
	fanoutCheckPeriod  = time.Second
	subRelaysPerClient = 2
	// laggardGrace is how long a sub-relay has a version before it reports clients that lack it. Without it, all clients
	// would be reported after each change until their next subscriptions.
	laggardGrace = 2 * subscribePeriod
)

// clientSummary is a sub-relay's count of the clients to which it pushes deltas.
type clientSummary struct {
	NodesByVersion map[uint64]int   `cbor:"1,keyasint,omitempty"` // number of nodes by version in force
	Laggards       []report.Laggard `cbor:"2,keyasint,omitempty"`
}

func (s *clientSummary) total() int {
	if s == nil {
		return 0
	}
	n := 0
	for _, c := range s.NodesByVersion {
		n += c
	}
	return n
}

// fanout is the state of a relay's management of sub-relays.
type fanout struct {
	nextCheckAt time.Time
	smallSince  time.Time // when no sub-relays were wanted any more; zero while some are
}

// fanoutRole is the role of a node that is no relay: a client of sub-relays, or a sub-relay itself.
type fanoutRole struct {
	subRelays     []string // that serve this node
	assignedAt    time.Time
	queryBackoff  backoff // of queries for other sub-relays while one is missing
	isSubRelay    bool
	hasWholeState bool      // this sub-relay has the whole configuration, not only its own part
	appliedAt     time.Time // when this sub-relay last applied a version
	sentSummaries map[string]*clientSummary
}

// servesNodes reports whether the node serves other nodes, as a relay or as a sub-relay.
func (r *relayer) servesNodes() bool { return r.leaseIndex >= 0 || r.fanoutRole.isSubRelay }

// rendezvousScore returns the rendezvous hash of an address for a key, such as a client or a data centre.
func rendezvousScore(key, address string) uint64 { return xxhash.Sum64String(key + " " + address) }

// feedingRelay returns the index of the relay that pushes to the sub-relay. Each relay pushes to half of them.
func feedingRelay(address string) int {
	return int(rendezvousScore("half", address) % leasesPerDataCentre)
}

func sortByScore(key string, addresses []string) {
	slices.SortFunc(addresses, func(a, b string) int {
		return cmp.Or(cmp.Compare(rendezvousScore(key, a), rendezvousScore(key, b)), cmp.Compare(a, b))
	})
}

// subRelays returns the live sub-relays of this relay, only those with the whole configuration if ready is set.
func (r *relayer) subRelays(ready bool) []string {
	var subs []string
	for address, c := range r.server.clients {
		if c.subscription.SubRelay && c.subscription.DataCentre == r.config.DataCentre &&
			r.now.Sub(c.heardAt) < relayTimeout && (!ready || c.summary != nil) {
			subs = append(subs, address)
		}
	}
	slices.Sort(subs)
	return subs
}

// wantedSubRelays returns the number of sub-relays that the data centre needs, or zero if it has too few nodes.
func (r *relayer) wantedSubRelays(subs int) int {
	n := r.nodeCount() - 1
	if n > fanoutThreshold || (subs > 0 && n > retireThreshold) {
		return int(math.Ceil(math.Sqrt(float64(n))))
	}
	return 0
}

func (r *relayer) tickFanout() {
	if r.leaseIndex < 0 || r.now.Before(r.fanout.nextCheckAt) {
		return
	}
	r.fanout.nextCheckAt = r.now.Add(fanoutCheckPeriod)
	subs := r.subRelays(false)
	want := r.wantedSubRelays(len(subs))
	if want > 0 {
		r.fanout.smallSince = time.Time{}
		r.promoteClients(want - len(subs))
		return
	}
	if r.fanout.smallSince.IsZero() {
		r.fanout.smallSince = r.now
	}
	if r.roster.IsOwner() && r.now.Sub(r.fanout.smallSince) >= retireDelay {
		for _, address := range subs {
			r.send(address, redirectKind, &redirect{})
		}
	}
}

// promoteClients asks the first count clients by rendezvous hash to become sub-relays.
func (r *relayer) promoteClients(count int) {
	if count <= 0 {
		return
	}
	var candidates []string
	for address, c := range r.server.clients {
		if !c.subscription.SubRelay && !c.waitsForFloor && c.subscription.DataCentre == r.config.DataCentre &&
			r.now.Sub(c.heardAt) < relayTimeout {
			candidates = append(candidates, address)
		}
	}
	sortByScore(r.config.DataCentre, candidates)
	for _, address := range candidates[:min(count, len(candidates))] {
		r.send(address, redirectKind, &redirect{BecomeSubRelay: true})
	}
}

// redirect makes a client subscribe to its sub-relays instead if there are enough of them.
func (r *relayer) redirect(address string, c *subscriber) {
	if r.leaseIndex < 0 || c.subscription.SubRelay || c.waitsForFloor || c.subscription.DataCentre != r.config.DataCentre {
		return
	}
	subs := r.subRelays(true)
	if want := r.wantedSubRelays(len(subs)); want == 0 || len(subs) < max(subRelaysPerClient, want*3/4) {
		return
	}
	r.send(address, redirectKind, &redirect{SubRelays: subRelaysFor(address, subs)})
	delete(r.server.clients, address)
}

// subRelaysFor returns one sub-relay that the first relay pushes to and one that the second pushes to, or any two if
// one relay pushes to all. Clients differ in which of the two comes first.
func subRelaysFor(client string, subs []string) []string {
	sortByScore(client, subs)
	first := subs[0]
	second := subs[1]
	for _, s := range subs[1:] {
		if feedingRelay(s) != feedingRelay(first) {
			second = s
			break
		}
	}
	return []string{first, second}
}

func (r *relayer) receiveRedirect(from string, m *redirect) {
	s := &r.fanoutRole
	h := r.leaseTable.selectKnown(func(h *knownLease) bool { return h.holder == from && h.centre == r.config.DataCentre })
	if r.leaseIndex >= 0 || len(h) == 0 {
		return
	}
	switch {
	case m.BecomeSubRelay != s.isSubRelay && len(m.SubRelays) == 0:
		r.fanoutRole = fanoutRole{isSubRelay: m.BecomeSubRelay, sentSummaries: map[string]*clientSummary{}}
		r.server = newServer()
		r.client.resubscribe(r.now)
	case s.isSubRelay:
		// The relay has not yet received that this node is a sub-relay.
		delete(r.client.hasSubscription, from)
		r.client.nextSubscribeAt = r.now
	case len(m.SubRelays) > 0:
		s.subRelays = slices.DeleteFunc(slices.Clone(m.SubRelays), func(a string) bool { return a == r.config.Node })
		s.assignedAt = r.now
	}
	r.tickClient()
}

// resubscribe makes the next tick send full subscriptions to all relays.
func (c *client) resubscribe(now time.Time) {
	clear(c.hasSubscription)
	clear(c.subscribedAt)
	c.nextSubscribeAt = now
}

// liveSubRelays removes the sub-relays without messages for relayTimeout, queries others if one is missing, and returns
// the rest.
func (r *relayer) liveSubRelays() []string {
	s := &r.fanoutRole
	if len(s.subRelays) == 0 {
		return nil
	}
	heardCount := 0
	var live []string
	for _, a := range s.subRelays {
		lastHeard := r.client.heardAt[a]
		if lastHeard.After(s.assignedAt) {
			heardCount++
		} else {
			lastHeard = s.assignedAt
		}
		if r.now.Sub(lastHeard) < relayTimeout {
			live = append(live, a)
		}
	}
	s.subRelays = live
	if heardCount == subRelaysPerClient && len(live) == subRelaysPerClient {
		s.queryBackoff = backoff{}
	}
	if len(live) > 0 && len(live) < subRelaysPerClient && !r.now.Before(s.queryBackoff.until) {
		r.querySubRelays()
	}
	return live
}

// querySubRelays asks a relay for other sub-relays. The first call only starts a random delay, because all clients of a
// sub-relay lose it at the same time.
func (r *relayer) querySubRelays() {
	firstQuery := r.fanoutRole.queryBackoff.next == 0
	r.backOff(&r.fanoutRole.queryBackoff)
	relays := addresses(r.leaseTable.selectLive(r.now, func(h *knownLease) bool {
		return h.centre == r.config.DataCentre && h.holder != r.config.Node
	}))
	if firstQuery || len(relays) == 0 {
		return
	}
	r.send(relays[r.config.Rand.IntN(len(relays))], subscribeKind, &subscribe{
		DataCentre: r.config.DataCentre, Service: r.config.Service, Demanded: r.client.demandedServices,
		Version: r.client.state.Version(), Digest: r.client.state.Digest(),
		RefusedVersion: r.client.refusedVersion, Reason: r.client.refusedReason,
	})
}

func (s *fanoutRole) unlinked(peer string) {
	s.subRelays = slices.DeleteFunc(s.subRelays, func(a string) bool { return a == peer })
	delete(s.sentSummaries, peer)
}

// fillSubRelayFields makes a sub-relay's subscription one to the whole configuration, with the client summary if that
// changed.
func (r *relayer) fillSubRelayFields(m *subscribe, address string) {
	s := &r.fanoutRole
	if !s.isSubRelay {
		return
	}
	m.SubRelay, m.Service, m.Demanded = true, "", nil
	if !s.hasWholeState {
		// The state so far is filtered, and without dependencies it has the same digest as the whole state.
		m.Digest = 0
		return
	}
	next := r.summariseClients()
	if old := s.sentSummaries[address]; old == nil || !r.client.hasSubscription[address] || !old.equal(next) {
		s.sentSummaries[address], m.ClientSummary = next, next
	}
}

func (s *clientSummary) equal(o *clientSummary) bool {
	return maps.Equal(s.NodesByVersion, o.NodesByVersion) && slices.Equal(s.Laggards, o.Laggards)
}

// summariseClients counts the clients to which this sub-relay pushes deltas; each node has one such sub-relay.
func (r *relayer) summariseClients() *clientSummary {
	s := &clientSummary{NodesByVersion: map[uint64]int{}}
	newest := uint64(0)
	if r.now.Sub(r.fanoutRole.appliedAt) >= laggardGrace {
		newest = r.client.state.Version()
	}
	for _, address := range slices.Sorted(maps.Keys(r.server.clients)) {
		c := r.server.clients[address]
		if !c.subscription.Push || c.subscription.DataCentre != r.config.DataCentre {
			continue
		}
		s.NodesByVersion[c.subscription.Version]++
		if (c.subscription.Version < newest || c.subscription.RefusedVersion > c.subscription.Version) &&
			len(s.Laggards) < maxLaggards {
			s.Laggards = append(s.Laggards, laggardOf(
				address, c.subscription.Version, c.subscription.RefusedVersion, c.subscription.Reason))
		}
	}
	return s
}

func laggardOf(address string, version, refused uint64, reason string) report.Laggard {
	l := report.Laggard{Node: address, Version: version}
	if refused > version {
		l.Reason = reason
	}
	return l
}

// receiveUnfilteredDelta applies a delta of the whole configuration, which relays send only to relays and sub-relays.
func (r *relayer) receiveUnfilteredDelta(from string, m *unfilteredDelta) {
	c := &r.client
	d := m.Delta
	if r.leaseIndex >= 0 {
		r.receiveRelayDelta(from, d)
		return
	}
	if !r.fanoutRole.isSubRelay || d.Version() < c.state.Version() {
		return
	}
	if d.Version() == c.state.Version() && (r.fanoutRole.hasWholeState || d.Base() != 0) {
		return
	}
	state, err := differ.Apply(c.state, d)
	if err != nil {
		r.rejectDelta(d, err, func() { r.pullAgain(from) })
		return
	}
	// Apply checked the digest of the whole configuration, so the state is whole.
	c.pullWhole, c.laggingSince, c.state = false, time.Time{}, state
	r.fanoutRole.appliedAt = r.now
	if !r.fanoutRole.hasWholeState {
		r.fanoutRole.hasWholeState = true
		c.nextSubscribeAt = r.now
	}
	r.distribution.addConfirmed(state)
	r.publish()
	r.pushClients()
}

// addConfirmed makes a state that relays confirmed available to the clients of a sub-relay.
func (s *distribution) addConfirmed(state differ.State) {
	if _, ok := s.stateAt(state.Version()); !ok {
		s.history = append(s.history, state)
		s.history = s.history[max(0, len(s.history)-historyLimit):]
	}
	if state.Version() > s.latestState.Version() {
		s.latestState = state
	}
	s.confirmedVersion = max(s.confirmedVersion, state.Version())
}

// relayLiveness returns when the relays of the data centre were last heard, for clients that get no messages from them.
func (r *relayer) relayLiveness() []relayLiveness {
	var statements []relayLiveness
	for i := range leasesPerDataCentre {
		if h := r.leaseTable.lease(r.config.DataCentre, i); h != nil && h.holder != "" {
			statements = append(statements, relayLiveness{
				Index: i, Epoch: h.epoch, Age: r.now.Sub(h.heardAt).Milliseconds(), Renewed: h.renewed,
			})
		}
	}
	return statements
}

func (r *relayer) mergeRelayLiveness(statements []relayLiveness) {
	for _, statement := range statements {
		h := r.leaseTable.lease(r.config.DataCentre, statement.Index)
		if h == nil || h.holder == r.config.Node || h.epoch != statement.Epoch || statement.Index < 0 ||
			statement.Index >= leasesPerDataCentre {
			continue
		}
		heard := r.now.Add(-time.Duration(statement.Age) * time.Millisecond)
		if heard.After(h.heardAt) {
			h.heardAt, h.renewed = heard, max(h.renewed, statement.Renewed)
		}
		r.leases[statement.Index].ObserveRenewal(heard, statement.Epoch, time.UnixMilli(statement.Renewed))
	}
}
