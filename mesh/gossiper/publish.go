package gossiper

import (
	"wisteriaspoke.example/mesh/composer"
	"wisteriaspoke.example/mesh/endpoint"
	"wisteriaspoke.example/mesh/target"
)

// publish builds the view that calls read.
func (g *Gossiper) publish() {
	g.dirty = false
	now := g.now()
	ts := make([]*target.Target, 0, len(g.peers)+1)
	for _, p := range g.peers {
		if p.reachable(now, g.interval(p)) && !p.pulse.Leaving && p.pulse.Endpoint != nil {
			ts = append(ts, g.target(*p.pulse.Endpoint, p))
		}
	}
	if g.own.pulse != nil && g.own.pulse.Endpoint != nil && !g.leaving.Load() {
		ts = append(ts, g.target(*g.own.pulse.Endpoint, &g.own))
	}
	g.view.Store(composer.Compose(composer.Input{Plan: g.plan, PlanSince: g.since, Targets: ts, Split: g.splitter.Split}))
}

func (g *Gossiper) target(e endpoint.Endpoint, p *peer) *target.Target {
	return target.New(e, p.gauge, g.config.Node, g.config.DataCentre, g.config.Region)
}
