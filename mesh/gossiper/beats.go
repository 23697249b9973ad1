package gossiper

import (
	"time"

	"wisteriaspoke.example/mesh/message"
)

// Signs of life cross regions once for all nodes of a region: the speaker, its reachable node with the lowest address,
// sends them to the speakers of the other regions, which pass them on in theirs. Pulses of each node to each other one grow
// with the square of the fleet, and traffic between regions is dear.

// speaker returns the address of the node that speaks for the region, or the empty string.
func (g *Gossiper) speaker(region string, now time.Time) string {
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

// beat sends the signs of life of the own region to the other ones, if this node speaks for it and they are due.
func (g *Gossiper) beat(now time.Time) {
	if now.Sub(g.beaten) < farFactor*pulseInterval {
		return
	}
	g.beaten = now
	if g.speaker(g.config.Region, now) != g.config.Node {
		return
	}
	b := &beats{}
	regions := map[string]bool{}
	for _, p := range g.peers {
		switch {
		case p.pulse == nil:
		case p.pulse.Region != g.config.Region:
			regions[p.pulse.Region] = true
		case p.reachable(now, pulseInterval):
			b.Beats = append(b.Beats, beat{
				Address: p.address, Incarnation: p.pulse.Incarnation, Number: p.pulse.Number, Outstanding: p.pulse.Outstanding, Pace: p.pulse.Pace,
			})
		}
	}
	own := beat{Address: g.config.Node, Incarnation: g.config.Incarnation, Number: g.nextNumber()}
	own.Outstanding, own.Pace = g.loader.Load()
	b.Beats = append(b.Beats, own)
	m := message.New(kindBeats, b)
	for r := range regions {
		if to := g.speaker(r, now); to != "" {
			g.sender.Send(to, m)
		}
	}
}

// hear takes signs of life and passes those of another region on in the own one.
func (g *Gossiper) hear(from *peer, b *beats) {
	now := g.now()
	for _, s := range b.Beats {
		if p := g.peers[s.Address]; p != nil {
			p.sign(s, now)
		}
	}
	if from.pulse == nil || from.pulse.Region == g.config.Region {
		return
	}
	m := message.New(kindBeats, b)
	for _, p := range g.peers {
		if p.linked && p.pulse != nil && p.pulse.Region == g.config.Region {
			g.sender.Send(p.address, m)
		}
	}
}

// sign takes a sign of life that another node has heard. It has its own number: a pulse that is still on its way must not
// be taken for an old one because of it.
func (p *peer) sign(s beat, now time.Time) {
	if p.pulse == nil || s.Incarnation != p.pulse.Incarnation || s.Number <= max(p.pulse.Number, p.signed) {
		return
	}
	p.signed, p.heard = s.Number, now
	if p.gauge != nil && s.Pace > 0 {
		p.gauge.Report(s.Outstanding, now)
		p.gauge.SetPace(float64(s.Pace) / 1000)
	}
}
