package gossiper

import (
	"time"

	"wisteriaspoke.example/mesh/elector"
	"wisteriaspoke.example/mesh/endpoint"
	"wisteriaspoke.example/mesh/enroller"
	"wisteriaspoke.example/mesh/message"
	"wisteriaspoke.example/mesh/record"
)

func (g *Gossiper) enrolled(l *enroller.Upstream) {
	a := l.Announcement()
	f := endpoint.Fields{
		Address: g.config.Node, Service: a.Service, Version: a.Version, DataCentre: g.config.DataCentre, Region: g.config.Region,
		Slots: a.Slots, State: l.State(), Incarnation: uint64(a.StartMillis), Joined: time.UnixMilli(a.StartMillis), Instance: a.Instance,
	}
	if l.State() == endpoint.Ready {
		f.WarmupEnd = l.WarmupEnd()
	}
	e := endpoint.New(f)
	g.own.take(&pulse{Incarnation: g.config.Incarnation, Sequence: g.nextNumber(), Region: g.config.Region, Endpoint: &e}, g.now())
	g.dirty = true
	g.pulse(true)
}

func (g *Gossiper) nextNumber() uint64 {
	g.number++
	return g.number
}

func (g *Gossiper) ownPulse() message.Message {
	u := &pulse{
		Incarnation: g.config.Incarnation, Sequence: g.nextNumber(), DataCentre: g.config.DataCentre, Region: g.config.Region,
		StoreReachable: g.store.Load(), StoreLatency: time.Duration(g.far.Load()).Milliseconds(), Leaving: g.leaving.Load(),
		ConfigurationRevision: g.archive.highest[record.Configuration], OrdersRevision: g.archive.highest[record.Orders],
	}
	if g.own.pulse != nil {
		u.Endpoint = g.own.pulse.Endpoint
		u.Outstanding, u.ServiceTimeRatio = g.loader.Load()
	}
	return message.New(kindPulse, u)
}

func (g *Gossiper) addresses() message.Message {
	n := &nodes{}
	for _, p := range g.peers {
		if p.linked {
			n.Addresses = append(n.Addresses, p.address)
		}
	}
	return message.New(kindNodes, n)
}

// pulse sends the own pulse to all linked nodes, or to those that are due for one.
func (g *Gossiper) pulse(all bool) {
	now := g.now()
	var m message.Message
	for _, p := range g.peers {
		if !p.linked || !all && now.Sub(p.pulsed) < g.pulseEvery(p) {
			continue
		}
		if m.Body() == nil {
			m = g.ownPulse()
		}
		p.pulsed = now
		g.sender.Send(p.address, m)
	}
}

// pulseEvery returns the longest time between two pulses to the peer.
func (g *Gossiper) pulseEvery(p *peer) time.Duration {
	if p.pulse != nil && p.pulse.Region != g.config.Region {
		return farPulse
	}
	return pulseInterval
}

// interval returns the longest time between two heartbeats of the peer.
func (g *Gossiper) interval(p *peer) time.Duration {
	if p.pulse != nil && p.pulse.Region != g.config.Region {
		return farFactor * pulseInterval
	}
	return pulseInterval
}

func (g *Gossiper) tick() {
	now := g.now()
	g.pulse(false)
	g.sendHeartbeats(now)
	g.lag()
	linked := 0
	for address, p := range g.peers {
		if p.linked {
			linked++
			continue
		}
		if now.Sub(p.changed) > forget {
			delete(g.peers, address)
			g.log.Info("peer forgotten", "peer", address)
			continue
		}
		g.sender.Send(address, g.ownPulse())
	}
	peersLinked.Update(int64(linked))
	g.publishNodes()
	// Silence and relinking change what is reachable without an input.
	g.dirty = true
}

func (g *Gossiper) publishNodes() {
	now := g.now()
	cs := make([]elector.Candidate, 0, len(g.peers))
	for _, p := range g.peers {
		if p.pulse != nil {
			cs = append(cs, p.candidate(now, g.interval(p)))
		}
	}
	g.nodes.Store(&cs)
	g.size.Store(max(g.size.Load(), int64(len(cs))))
}
