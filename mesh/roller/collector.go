package roller

import (
	"cmp"
	"slices"
	"time"

	"wisteriaspoke.example/mesh/effect"
	"wisteriaspoke.example/mesh/event"
)

// forwardPeriod is how often a relay forwards sums. The sum of the nodes' report period of 1 s, forwardPeriod and
// judgePeriod must stay below 3 s, the limit for a bad version to lose its calls.
const forwardPeriod = 500 * time.Millisecond

// holderTimeout is how long after a holder's last message counts are still sent to it.
const holderTimeout = 10 * time.Second

// gatewayTimeout is how long after its last message the region's gateway counts as known: two lost announcements and
// some delay.
const gatewayTimeout = 2500 * time.Millisecond

// collector sums the counts of a data centre's nodes and forwards the sums to the holder and the gateways.
type collector struct {
	view    *view
	sums    map[string]*dataCentreSum // by service
	holders map[string]knownHolder    // by service
	gateway lastSeenPeer              // of this region, if it is another node
	stream  uint64
}

type lastSeenPeer struct {
	address  string
	lastSeen time.Time
}

type dataCentreSum struct {
	report
	senders     map[string]*senderState
	changed     bool
	nextForward time.Time
}

type knownHolder struct {
	address  string
	epoch    uint64
	lastSeen time.Time
}

func newCollector(v *view) *collector {
	return &collector{view: v, sums: map[string]*dataCentreSum{}, holders: map[string]knownHolder{}}
}

func (c *collector) step(now time.Time, e event.Event) []effect.Effect {
	switch e.Kind() {
	case event.Received:
		switch m := e.Message().Body().(type) {
		case *counts:
			if !m.Relayed {
				c.addCounts(e.Peer(), m)
			}
		case *holder:
			return c.recordHolder(now, e.Peer(), m)
		}
	case event.Tick:
		return c.forward(now)
	}
	return nil
}

func (c *collector) addCounts(peer string, m *counts) {
	if !c.view.isActive(m.Service, m.Rollout) {
		return
	}
	s := c.sums[m.Service]
	if s == nil || s.rollout != m.Rollout {
		c.stream++
		s = &dataCentreSum{
			report:  report{rollout: m.Rollout, stream: c.stream, totals: totals{}},
			senders: map[string]*senderState{},
		}
		c.sums[m.Service] = s
	}
	from := s.senders[peer]
	if from == nil {
		from = &senderState{}
		s.senders[peer] = from
	}
	for _, o := range from.update(m) {
		s.totals.add(o)
		s.changed = true
	}
}

// recordHolder records the holder and, at a gateway, forwards its announcement to the other relays of the region.
func (c *collector) recordHolder(now time.Time, peer string, m *holder) []effect.Effect {
	sameRegion := slices.Contains(c.view.roster.RegionRelays(), peer)
	if sameRegion && m.Gateway {
		c.gateway = lastSeenPeer{address: peer, lastSeen: now}
	}
	if m.Epoch < c.holders[m.Service].epoch {
		return nil
	}
	c.holders[m.Service] = knownHolder{address: m.Address, epoch: m.Epoch, lastSeen: now}
	if sameRegion || !c.view.roster.IsGateway() {
		return nil
	}
	forwarded := &holder{Service: m.Service, Address: m.Address, Epoch: m.Epoch, Gateway: true}
	return c.view.sendAll(c.view.roster.RegionRelays(), holderKind, forwarded)
}

func (c *collector) forward(now time.Time) []effect.Effect {
	var fs []effect.Effect
	for _, service := range sortedKeys(c.sums) {
		s := c.sums[service]
		if !c.view.isActive(service, s.rollout) {
			delete(c.sums, service)
			continue
		}
		if !s.changed || !c.view.isRelay() || now.Before(s.nextForward) {
			continue
		}
		current, _ := c.view.activeShare(service)
		s.nextForward = now.Add(periodAt(current, forwardPeriod))
		s.changed = false
		s.sequence++
		body := &counts{
			Service: service, Rollout: s.rollout, Incarnation: c.view.node.Incarnation, Stream: s.stream,
			Sequence: s.sequence, Region: c.view.node.Region, Relayed: true, Outcomes: s.totals.sorted(),
		}
		fs = append(fs, c.view.sendAll(c.targets(now, service), countsKind, body)...)
	}
	return fs
}

// targets returns the receivers of sums: this node, the gateways and the holder. While this region's gateway is
// unknown, it returns all relays of the region instead, since one of them is or becomes the gateway.
func (c *collector) targets(now time.Time, service string) []string {
	all := slices.Concat(c.view.roster.RemoteGateways(), []string{c.view.node.Node})
	switch {
	case c.view.roster.IsGateway():
	case now.Sub(c.gateway.lastSeen) < gatewayTimeout:
		all = append(all, c.gateway.address)
	default:
		all = append(all, c.view.roster.RegionRelays()...)
	}
	if h := c.holders[service]; h.address != "" && now.Sub(h.lastSeen) < holderTimeout {
		all = append(all, h.address)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
