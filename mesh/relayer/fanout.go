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
	// fanoutThreshold is the number of nodes of a data centre above which a relay serves them through sub-relays.
	fanoutThreshold = 32
	// retireThreshold is lower than fanoutThreshold, so that a node that comes and goes does not toggle the fan-out.
	retireThreshold = 24
	// retirePatience is how long a data centre stays small before its sub-relays end their work; a relay that has just
	// started or was paused hears only some of the nodes.
	retirePatience = 10 * time.Second
	// fanoutPeriod is how often a relay compares the number of sub-relays with that of nodes.
	fanoutPeriod = time.Second
	sourceCount  = 2
	// laggardGrace is how long a sub-relay has a version before it names the clients that lack it; before their next
	// heartbeats it would name them all after each change.
	laggardGrace = 2 * subscribePeriod
)

// sum is what a sub-relay counted of its clients that take their deltas from it.
type sum struct {
	NodesByVersion map[uint64]int   `cbor:"1,keyasint,omitempty"` // by version in force
	Laggards       []report.Laggard `cbor:"2,keyasint,omitempty"`
}

func (s *sum) total() int {
	if s == nil {
		return 0
	}
	n := 0
	for _, c := range s.NodesByVersion {
		n += c
	}
	return n
}

// fanout is a relay's choice of sub-relays.
type fanout struct {
	at    time.Time // of the next comparison
	small time.Time // when the data centre fell to retireThreshold; zero while it is larger
}

// source is a node's place below the relays: either its sub-relays or its own work as one.
type source struct {
	addresses []string // of this node's sub-relays
	since     time.Time
	ask       backoff   // for other sub-relays while one is missing
	serving   bool      // this node is a sub-relay
	whole     bool      // this sub-relay has the whole configuration
	applied   time.Time // when this sub-relay last took a version
	sent      map[string]*sum
}

// serves reports whether the node serves other nodes, as a relay or as a sub-relay.
func (r *relayer) serves() bool { return r.seat >= 0 || r.source.serving }

// score orders sub-relays by rendezvous hash for one client, or for the data centre.
func score(key, address string) uint64 { return xxhash.Sum64String(key + " " + address) }

// half returns which of the two relays feeds the sub-relay, so that each relay sends the whole to half of them.
func half(address string) int { return int(score("half", address) % seatCount) }

func rankBy(key string, addresses []string) {
	slices.SortFunc(addresses, func(a, b string) int {
		return cmp.Or(cmp.Compare(score(key, a), score(key, b)), cmp.Compare(a, b))
	})
}

// subRelays returns the sub-relays that this relay hears, only those with the whole configuration if ready is set.
func (r *relayer) subRelays(ready bool) []string {
	var subs []string
	for address, c := range r.server.clients {
		if c.sub.SubRelay && c.sub.DataCentre == r.config.DataCentre && r.now.Sub(c.heard) < relaySilence && (!ready || c.sum != nil) {
			subs = append(subs, address)
		}
	}
	slices.Sort(subs)
	return subs
}

// wanted returns the number of sub-relays for the nodes of the data centre, or zero while they are few.
func (r *relayer) wanted(subs int) int {
	n := r.fleet() - 1
	if n > fanoutThreshold || (subs > 0 && n > retireThreshold) {
		return int(math.Ceil(math.Sqrt(float64(n))))
	}
	return 0
}

func (r *relayer) tickFanout() {
	if r.seat < 0 || r.now.Before(r.fanout.at) {
		return
	}
	r.fanout.at = r.now.Add(fanoutPeriod)
	subs := r.subRelays(false)
	want := r.wanted(len(subs))
	if want > 0 {
		r.fanout.small = time.Time{}
		r.promote(want - len(subs))
		return
	}
	if r.fanout.small.IsZero() {
		r.fanout.small = r.now
	}
	if r.roster.IsOwner() && r.now.Sub(r.fanout.small) >= retirePatience {
		for _, address := range subs {
			r.send(address, redirectKind, &redirect{})
		}
	}
}

// promote asks the first clients by rendezvous hash to become sub-relays.
func (r *relayer) promote(count int) {
	if count <= 0 {
		return
	}
	var candidates []string
	for address, c := range r.server.clients {
		if !c.sub.SubRelay && !c.waits && c.sub.DataCentre == r.config.DataCentre && r.now.Sub(c.heard) < relaySilence {
			candidates = append(candidates, address)
		}
	}
	rankBy(r.config.DataCentre, candidates)
	for _, address := range candidates[:min(count, len(candidates))] {
		r.send(address, redirectKind, &redirect{BecomeSubRelay: true})
	}
}

// redirect sends a client to its sub-relays if there are enough of them.
func (r *relayer) redirect(address string, c *subscriber) {
	if r.seat < 0 || c.sub.SubRelay || c.waits || c.sub.DataCentre != r.config.DataCentre {
		return
	}
	subs := r.subRelays(true)
	if want := r.wanted(len(subs)); want == 0 || len(subs) < max(sourceCount, want*3/4) {
		return
	}
	r.send(address, redirectKind, &redirect{SubRelays: sourcesOf(address, subs)})
	delete(r.server.clients, address)
}

// sourcesOf returns one sub-relay that the first relay feeds and one that the second feeds, or any two if one relay
// feeds all. Clients differ in which of the two comes first.
func sourcesOf(client string, subs []string) []string {
	rankBy(client, subs)
	first := subs[0]
	second := subs[1]
	for _, s := range subs[1:] {
		if half(s) != half(first) {
			second = s
			break
		}
	}
	return []string{first, second}
}

func (r *relayer) receiveRedirect(from string, m *redirect) {
	s := &r.source
	h := r.table.selectKnown(func(h *holding) bool { return h.holder == from && h.centre == r.config.DataCentre })
	if r.seat >= 0 || len(h) == 0 {
		return
	}
	switch {
	case m.BecomeSubRelay != s.serving && len(m.SubRelays) == 0:
		r.source = source{serving: m.BecomeSubRelay, sent: map[string]*sum{}}
		r.server = newServer()
		r.client.resubscribe(r.now)
	case s.serving:
		// The relay does not know yet that this node is a sub-relay.
		delete(r.client.told, from)
		r.client.at = r.now
	case len(m.SubRelays) > 0:
		s.addresses = slices.DeleteFunc(slices.Clone(m.SubRelays), func(a string) bool { return a == r.config.Node })
		s.since = r.now
	}
	r.tickClient()
}

// resubscribe sends full subscriptions at once.
func (c *client) resubscribe(now time.Time) {
	clear(c.told)
	clear(c.toldAt)
	c.at = now
}

// liveSources drops the sub-relays that are silent, asks a relay for others if one is missing, and returns the rest.
func (r *relayer) liveSources() []string {
	s := &r.source
	if len(s.addresses) == 0 {
		return nil
	}
	heard := 0
	var left []string
	for _, a := range s.addresses {
		last := r.client.heard[a]
		if last.After(s.since) {
			heard++
		} else {
			last = s.since
		}
		if r.now.Sub(last) < relaySilence {
			left = append(left, a)
		}
	}
	s.addresses = left
	if heard == sourceCount && len(left) == sourceCount {
		s.ask = backoff{}
	}
	if len(left) > 0 && len(left) < sourceCount && !r.now.Before(s.ask.until) {
		r.askSources()
	}
	return left
}

// askSources asks a relay for other sub-relays; the first time only after a random delay, since all clients of a
// sub-relay lose it at the same time.
func (r *relayer) askSources() {
	first := r.source.ask.next == 0
	r.backOff(&r.source.ask)
	relays := addresses(r.table.selectLive(r.now, func(h *holding) bool {
		return h.centre == r.config.DataCentre && h.holder != r.config.Node
	}))
	if first || len(relays) == 0 {
		return
	}
	r.send(relays[r.config.Rand.IntN(len(relays))], subscribeKind, &subscribe{
		DataCentre: r.config.DataCentre, Service: r.config.Service, Demanded: r.client.demanded, Version: r.client.state.Version(),
		Digest: r.client.state.Digest(), RefusedVersion: r.client.refused, Reason: r.client.reason,
	})
}

func (s *source) unlinked(peer string) {
	s.addresses = slices.DeleteFunc(s.addresses, func(a string) bool { return a == peer })
	delete(s.sent, peer)
}

// fill makes a subscription that of a sub-relay: the whole configuration, with the sum if it changed.
func (r *relayer) fill(m *subscribe, address string) {
	s := &r.source
	if !s.serving {
		return
	}
	m.SubRelay, m.Service, m.Demanded = true, "", nil
	if !s.whole {
		// The state so far is filtered, and without dependencies its digest does not differ from that of the whole.
		m.Digest = 0
		return
	}
	next := r.count()
	if old := s.sent[address]; old == nil || !r.client.told[address] || !old.equal(next) {
		s.sent[address], m.ClientSummary = next, next
	}
}

func (s *sum) equal(o *sum) bool {
	return maps.Equal(s.NodesByVersion, o.NodesByVersion) && slices.Equal(s.Laggards, o.Laggards)
}

// count sums the clients that take their deltas from this sub-relay; each node takes them from one.
func (r *relayer) count() *sum {
	s := &sum{NodesByVersion: map[uint64]int{}}
	newest := uint64(0)
	if r.now.Sub(r.source.applied) >= laggardGrace {
		newest = r.client.state.Version()
	}
	for _, address := range slices.Sorted(maps.Keys(r.server.clients)) {
		c := r.server.clients[address]
		if !c.sub.Push || c.sub.DataCentre != r.config.DataCentre {
			continue
		}
		s.NodesByVersion[c.sub.Version]++
		if (c.sub.Version < newest || c.sub.RefusedVersion > c.sub.Version) && len(s.Laggards) < laggardsLimit {
			s.Laggards = append(s.Laggards, laggardOf(address, c.sub.Version, c.sub.RefusedVersion, c.sub.Reason))
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

// receiveFeed takes a delta of the whole configuration, which a relay sends only to other relays and to sub-relays.
func (r *relayer) receiveFeed(from string, m *feed) {
	c := &r.client
	d := m.Delta
	if r.seat >= 0 {
		r.receiveRelayDelta(from, d)
		return
	}
	if !r.source.serving || d.Version() < c.state.Version() {
		return
	}
	if d.Version() == c.state.Version() && (r.source.whole || d.Base() != 0) {
		return
	}
	state, err := differ.Apply(c.state, d)
	if err != nil {
		r.rejectDelta(d, err, func() { r.pullAgain(from) })
		return
	}
	// The digest of the delta is that of the whole configuration, so the state is whole.
	c.whole, c.lagging, c.state = false, time.Time{}, state
	r.source.applied = r.now
	if !r.source.whole {
		r.source.whole = true
		c.at = r.now
	}
	r.supply.keep(state)
	r.publish()
	r.pushClients()
}

// keep makes a state that relays confirmed available to the clients of a sub-relay.
func (s *supply) keep(state differ.State) {
	if _, ok := s.at(state.Version()); !ok {
		s.history = append(s.history, state)
		s.history = s.history[max(0, len(s.history)-historyLimit):]
	}
	if state.Version() > s.latest.Version() {
		s.latest = state
	}
	s.confirmed = max(s.confirmed, state.Version())
}

// vitals states how long ago this sub-relay heard the relays of the data centre, for clients that do not hear them.
func (r *relayer) vitals() []vital {
	var vs []vital
	for i := range seatCount {
		if h := r.table.at(r.config.DataCentre, i); h != nil && h.holder != "" {
			vs = append(vs, vital{Index: i, Epoch: h.epoch, Age: r.now.Sub(h.heard).Milliseconds(), Renewed: h.renewed})
		}
	}
	return vs
}

func (r *relayer) mergeVitals(vs []vital) {
	for _, v := range vs {
		h := r.table.at(r.config.DataCentre, v.Index)
		if h == nil || h.holder == r.config.Node || h.epoch != v.Epoch || v.Index < 0 || v.Index >= seatCount {
			continue
		}
		heard := r.now.Add(-time.Duration(v.Age) * time.Millisecond)
		if heard.After(h.heard) {
			h.heard, h.renewed = heard, max(h.renewed, v.Renewed)
		}
		r.leases[v.Index].ObserveRenewal(heard, v.Epoch, time.UnixMilli(v.Renewed))
	}
}
