package roller

import (
	"cmp"
	"slices"
	"time"

	"wisteriaspoke.example/mesh/effect"
	"wisteriaspoke.example/mesh/event"
)

// passOnPeriod is how often a relay passes sums on. The nodes' own period of 1 s, this one and the judging period must
// together stay below the 3 s within which a bad version gets no more calls.
const passOnPeriod = 500 * time.Millisecond

// holderSilence is how long the holder's last message is valid for passing counts to it.
const holderSilence = 10 * time.Second

// gatewaySilence is when the region's gateway counts as unknown: two announcements lost, and some delay.
const gatewaySilence = 2500 * time.Millisecond

// collector sums the counts of a data centre's nodes and passes them on to the holder and the gateways.
type collector struct {
	view    *view
	sums    map[string]*dataCentreSum // by service
	holders map[string]knownHolder    // by service
	gateway sighting                  // the own region's, when it is another node
	stream  uint64
}

type sighting struct {
	address string
	heard   time.Time
}

type dataCentreSum struct {
	report
	senders map[string]*stream
	changed bool
	next    time.Time
}

type knownHolder struct {
	address string
	epoch   uint64
	heard   time.Time
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
				c.take(e.Peer(), m)
			}
		case *holder:
			return c.learn(now, e.Peer(), m)
		}
	case event.Tick:
		return c.passOn(now)
	}
	return nil
}

func (c *collector) take(peer string, m *counts) {
	if !c.view.running(m.Service, m.Rollout) {
		return
	}
	s := c.sums[m.Service]
	if s == nil || s.rollout != m.Rollout {
		c.stream++
		s = &dataCentreSum{report: report{rollout: m.Rollout, stream: c.stream, totals: totals{}}, senders: map[string]*stream{}}
		c.sums[m.Service] = s
	}
	from := s.senders[peer]
	if from == nil {
		from = &stream{}
		s.senders[peer] = from
	}
	for _, o := range from.take(m) {
		s.totals.add(o)
		s.changed = true
	}
}

// learn remembers the holder and, at a gateway, tells the other relays of the region.
func (c *collector) learn(now time.Time, peer string, m *holder) []effect.Effect {
	near := slices.Contains(c.view.roster.RegionRelays(), peer)
	if near && m.Gateway {
		c.gateway = sighting{address: peer, heard: now}
	}
	if m.Epoch < c.holders[m.Service].epoch {
		return nil
	}
	c.holders[m.Service] = knownHolder{address: m.Address, epoch: m.Epoch, heard: now}
	if near || !c.view.roster.IsGateway() {
		return nil
	}
	forwarded := &holder{Service: m.Service, Address: m.Address, Epoch: m.Epoch, Gateway: true}
	return c.view.sendAll(c.view.roster.RegionRelays(), holderKind, forwarded)
}

func (c *collector) passOn(now time.Time) []effect.Effect {
	var fs []effect.Effect
	for _, service := range sortedKeys(c.sums) {
		s := c.sums[service]
		if !c.view.running(service, s.rollout) {
			delete(c.sums, service)
			continue
		}
		if !s.changed || !c.view.relay() || now.Before(s.next) {
			continue
		}
		current, _ := c.view.underWay(service)
		s.next = now.Add(periodAt(current, passOnPeriod))
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

// targets are this node, the gateways and the holder. While the own region's gateway is not known, all relays of the
// region are, since one of them is the gateway or becomes it.
func (c *collector) targets(now time.Time, service string) []string {
	all := slices.Concat(c.view.roster.RemoteGateways(), []string{c.view.node.Node})
	switch {
	case c.view.roster.IsGateway():
	case now.Sub(c.gateway.heard) < gatewaySilence:
		all = append(all, c.gateway.address)
	default:
		all = append(all, c.view.roster.RegionRelays()...)
	}
	if h := c.holders[service]; h.address != "" && now.Sub(h.heard) < holderSilence {
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
