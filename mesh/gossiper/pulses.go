package gossiper

import (
	"time"

	"wisteriaspoke.example/mesh/elector"
	"wisteriaspoke.example/mesh/endpoint"
	"wisteriaspoke.example/mesh/enroller"
	"wisteriaspoke.example/mesh/message"
	"wisteriaspoke.example/mesh/record"
)

func (g *Gossiper) updateOwnEndpoint(l *enroller.Upstream) {
	a := l.Announcement()
	f := endpoint.Fields{
		Address: g.config.Node, Service: a.Service, Version: a.Version,
		DataCentre: g.config.DataCentre, Region: g.config.Region, Slots: a.Slots, State: l.State(),
		Incarnation: uint64(a.StartMillis), Joined: time.UnixMilli(a.StartMillis), Instance: a.Instance,
		Limit: l.Limit(), Withdrawn: l.Withdrawn(),
	}
	if l.State() == endpoint.Ready {
		f.WarmupEnd = l.WarmupEnd()
	}
	e := endpoint.New(f)
	g.own.updateStatus(&status{
		Incarnation: g.config.Incarnation, Sequence: g.nextSequence(), Region: g.config.Region, Endpoint: &e,
	}, g.now())
	g.viewStale = true
	g.sendStatus(true)
}

func (g *Gossiper) nextSequence() uint64 {
	g.lastSequence++
	return g.lastSequence
}

func (g *Gossiper) statusMessage() message.Message {
	u := &status{
		Incarnation: g.config.Incarnation, Sequence: g.nextSequence(),
		DataCentre: g.config.DataCentre, Region: g.config.Region, StoreReachable: g.storeReachable.Load(),
		StoreLatency: time.Duration(g.storeLatencyNanos.Load()).Milliseconds(), Leaving: g.leaving.Load(),
		ConfigurationRevision: g.records.highest[record.Configuration], OrdersRevision: g.records.highest[record.Orders],
		StoreFailureAge: -1, Age: g.now().Sub(g.startedAt).Milliseconds(), LinkRate: g.linkRate,
	}
	if failedAt := g.storeFailedAt.Load(); failedAt != nil {
		u.StoreFailureAge = g.now().Sub(*failedAt).Milliseconds()
	}
	if g.own.status != nil {
		u.Endpoint = g.own.status.Endpoint
		u.Outstanding, u.ServiceTimeRatio = g.loadProvider.Load()
	}
	return message.New(kindStatus, u)
}

func (g *Gossiper) nodesMessage() message.Message {
	n := &nodes{}
	for _, p := range g.peers {
		if p.linked {
			n.Addresses = append(n.Addresses, p.address)
		}
	}
	return message.New(kindNodes, n)
}

// introducers is the number of nodes that send the addresses of all others to a node that starts. Several do, as some may
// not reach it and those that have just started know few others.
const introducers = 3

// introductionDelay is how long a node that was just learned of counts as one that can introduce others. When all nodes
// start at once, links to most of them are still being opened.
const introductionDelay = time.Second

// introduces reports whether this node is one of those that introduce p to the others: the first of the nodes that are
// linked, or about to be, in an order that differs for each p.
func (g *Gossiper) introduces(p *peer) bool {
	own, before, now := rank(p.address, g.config.Node), 0, g.now()
	for _, o := range g.peers {
		usable := o.linked || o.status == nil && now.Sub(o.linkChangedAt) < introductionDelay
		if o == p || !usable || rank(p.address, o.address) >= own {
			continue
		}
		// Most nodes find enough before them soon, so that a start does not look at all pairs of nodes.
		if before++; before == introducers {
			return false
		}
	}
	return true
}

// sendStatus sends this node's status to all linked peers, or only to those for which it is due.
func (g *Gossiper) sendStatus(all bool) {
	now := g.now()
	var m message.Message
	for _, p := range g.peers {
		if !p.linked || !all && now.Sub(p.statusSentAt) < g.statusInterval(p) {
			continue
		}
		if m.Body() == nil {
			m = g.statusMessage()
		}
		p.statusSentAt = now
		g.sender.Send(p.address, m)
	}
}

// sendSuspicions tells all linked peers which requests have crashed this node's upstream since the last tick.
func (g *Gossiper) sendSuspicions() {
	changed := g.crashHistory.TakeChanges()
	if len(changed) == 0 {
		return
	}
	g.sendToLinked(message.New(kindSuspicions, &suspicions{List: changed}))
}

func (g *Gossiper) sendToLinked(m message.Message) {
	for _, p := range g.peers {
		if p.linked {
			g.sender.Send(p.address, m)
		}
	}
}

// statusInterval returns the longest time between two status messages to the peer.
func (g *Gossiper) statusInterval(p *peer) time.Duration {
	if p.status != nil && p.status.Region != g.config.Region {
		return remoteStatusInterval
	}
	return heartbeatInterval
}

// peerHeartbeatInterval returns the longest time between two heartbeats from the peer.
func (g *Gossiper) peerHeartbeatInterval(p *peer) time.Duration {
	if p.status != nil && p.status.Region != g.config.Region {
		return remoteIntervalFactor * heartbeatInterval
	}
	return heartbeatInterval
}

func (g *Gossiper) onTick() {
	now := g.now()
	g.sendStatus(false)
	g.sendHeartbeats(now)
	g.sendSuspicions()
	g.pullMissing()
	g.checkDeliveries(now)
	linked := 0
	for address, p := range g.peers {
		if p.linked {
			linked++
			continue
		}
		if now.Sub(p.linkChangedAt) > forgetAfter {
			delete(g.peers, address)
			g.log.Info("peer forgotten", "peer", address)
			continue
		}
		g.sender.Send(address, g.statusMessage())
	}
	peersLinked.Update(int64(linked))
	g.publishNodes()
	// Reachability changes with time alone, when a heartbeat or the grace time after a link broke expires.
	g.viewStale = true
}

func (g *Gossiper) publishNodes() {
	now := g.now()
	cs, addresses := make([]elector.Candidate, 0, len(g.peers)), int64(0)
	for _, p := range g.peers {
		if p.status == nil || !p.status.Leaving {
			addresses++
		}
		if p.status != nil {
			cs = append(cs, p.candidate(now, g.peerHeartbeatInterval(p)))
		}
	}
	g.nodes.Store(&cs)
	g.peakPeerCount.Store(max(g.peakPeerCount.Load(), int64(len(cs))))
	g.addressCount.Store(addresses)
}
