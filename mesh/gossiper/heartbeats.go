package gossiper

import (
	"time"

	"wisteriaspoke.example/mesh/message"
)

// Heartbeats cross regions once for all nodes of a region: its delegate, the reachable node with the lowest address, sends
// them to the delegates of the other regions, which pass them on in theirs. Pulses of each node to each other one grow with
// the square of the fleet, and traffic between regions is dear.

// delegate returns the address of the region's delegate, or the empty string.
func (g *Gossiper) delegate(region string, now time.Time) string {
	best := ""
	if region == g.config.Region && !g.leaving.Load() {
		best = g.config.Node
	}
	for _, p := range g.peers {
		if p.pulse == nil || p.pulse.Region != region || p.pulse.Leaving || !p.linked || !p.reachable(now, g.interval(p)) {
			continue
		}
		if best == "" || p.address < best {
			best = p.address
		}
	}
	return best
}

// sendHeartbeats sends the heartbeats of the own region to the other ones, if this node is its delegate and they are due.
func (g *Gossiper) sendHeartbeats(now time.Time) {
	if now.Sub(g.heartbeatAt) < farFactor*pulseInterval {
		return
	}
	g.heartbeatAt = now
	if g.delegate(g.config.Region, now) != g.config.Node {
		return
	}
	b := &heartbeats{}
	regions := map[string]bool{}
	for _, p := range g.peers {
		switch {
		case p.pulse == nil:
		case p.pulse.Region != g.config.Region:
			regions[p.pulse.Region] = true
		case p.reachable(now, pulseInterval):
			b.Nodes = append(b.Nodes, heartbeat{
				Address: p.address, Incarnation: p.pulse.Incarnation, Sequence: p.pulse.Sequence, Outstanding: p.pulse.Outstanding, ServiceTimeRatio: p.pulse.ServiceTimeRatio,
			})
		}
	}
	own := heartbeat{Address: g.config.Node, Incarnation: g.config.Incarnation, Sequence: g.nextNumber()}
	own.Outstanding, own.ServiceTimeRatio = g.loader.Load()
	b.Nodes = append(b.Nodes, own)
	m := message.New(kindHeartbeats, b)
	for r := range regions {
		if to := g.delegate(r, now); to != "" {
			g.sender.Send(to, m)
		}
	}
}

// takeHeartbeats takes heartbeats and passes those of another region on in the own one.
func (g *Gossiper) takeHeartbeats(from *peer, b *heartbeats) {
	now := g.now()
	for _, h := range b.Nodes {
		if p := g.peers[h.Address]; p != nil {
			p.takeHeartbeat(h, now)
		}
	}
	if from.pulse == nil || from.pulse.Region == g.config.Region {
		return
	}
	m := message.New(kindHeartbeats, b)
	for _, p := range g.peers {
		if p.linked && p.pulse != nil && p.pulse.Region == g.config.Region {
			g.sender.Send(p.address, m)
		}
	}
}

// takeHeartbeat takes a heartbeat that another node has passed on. Its number is kept apart from that of pulses: a pulse
// that is still on its way must not be taken for an old one because of it.
func (p *peer) takeHeartbeat(h heartbeat, now time.Time) {
	if p.pulse == nil || h.Incarnation != p.pulse.Incarnation || h.Sequence <= max(p.pulse.Sequence, p.heartbeat) {
		return
	}
	p.heartbeat, p.heard = h.Sequence, now
	if p.gauge != nil && h.ServiceTimeRatio > 0 {
		p.gauge.RecordLoad(h.Outstanding, now)
		p.gauge.SetServiceTimeRatio(float64(h.ServiceTimeRatio) / 1000)
	}
}
