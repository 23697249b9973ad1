package gossiper

import (
	"time"

	"wisteriaspoke.example/mesh/message"
)

// The heartbeats of a region's nodes are sent to another region in one message: the region's delegate, the reachable
// node with the lowest address, sends it to the delegates of the other regions, which forward it within theirs. Status
// messages from every node to every other would grow with the square of the number of nodes, and traffic between
// regions is expensive.

// delegate returns the address of the region's delegate, or the empty string if no node of it is reachable.
func (g *Gossiper) delegate(region string, now time.Time) string {
	best := ""
	if region == g.config.Region && !g.leaving.Load() {
		best = g.config.Node
	}
	for _, p := range g.peers {
		if p.status == nil || p.status.Region != region || p.status.Leaving || !p.linked ||
			!p.reachable(now, g.peerHeartbeatInterval(p)) {
			continue
		}
		if best == "" || p.address < best {
			best = p.address
		}
	}
	return best
}

// sendHeartbeats sends the heartbeats of this region to the others if they are due and this node is the delegate.
func (g *Gossiper) sendHeartbeats(now time.Time) {
	if now.Sub(g.heartbeatsSentAt) < remoteIntervalFactor*heartbeatInterval {
		return
	}
	g.heartbeatsSentAt = now
	if g.delegate(g.config.Region, now) != g.config.Node {
		return
	}
	b := &heartbeats{}
	regions := map[string]bool{}
	for _, p := range g.peers {
		switch {
		case p.status == nil:
		case p.status.Region != g.config.Region:
			regions[p.status.Region] = true
		case p.reachable(now, heartbeatInterval):
			b.Nodes = append(b.Nodes, heartbeat{
				Address: p.address, Incarnation: p.status.Incarnation, Sequence: p.status.Sequence,
				Outstanding: p.status.Outstanding, ServiceTimeRatio: p.status.ServiceTimeRatio,
			})
		}
	}
	own := heartbeat{Address: g.config.Node, Incarnation: g.config.Incarnation, Sequence: g.nextSequence()}
	own.Outstanding, own.ServiceTimeRatio = g.loadProvider.Load()
	b.Nodes = append(b.Nodes, own)
	m := message.New(kindHeartbeats, b)
	for r := range regions {
		if to := g.delegate(r, now); to != "" {
			g.sender.Send(to, m)
		}
	}
}

// handleHeartbeats applies heartbeats and forwards those of another region within this node's region.
func (g *Gossiper) handleHeartbeats(from *peer, b *heartbeats) {
	now := g.now()
	for _, h := range b.Nodes {
		if p := g.peers[h.Address]; p != nil {
			p.applyHeartbeat(h, now)
		}
	}
	if from.status == nil || from.status.Region == g.config.Region {
		return
	}
	m := message.New(kindHeartbeats, b)
	for _, p := range g.peers {
		if p.linked && p.status != nil && p.status.Region == g.config.Region {
			g.sender.Send(p.address, m)
		}
	}
}

// applyHeartbeat applies a heartbeat that another node relayed. Its sequence number is kept apart from that of status
// messages, so that a status message still in transit is not rejected as outdated.
func (p *peer) applyHeartbeat(h heartbeat, now time.Time) {
	if p.status == nil || h.Incarnation != p.status.Incarnation ||
		h.Sequence <= max(p.status.Sequence, p.relayedSequence) {
		return
	}
	p.relayedSequence, p.lastHeardAt = h.Sequence, now
	if p.gauge != nil && h.ServiceTimeRatio > 0 {
		p.gauge.RecordLoad(h.Outstanding, now)
		p.gauge.SetServiceTimeRatio(float64(h.ServiceTimeRatio) / 1000)
		p.gauge.UpdateSteadyRatio(now)
	}
}
