package gossiper

import (
	"wisteriaspoke.example/mesh/composer"
	"wisteriaspoke.example/mesh/endpoint"
	"wisteriaspoke.example/mesh/target"
)

// publishView builds and stores the view that calls read.
func (g *Gossiper) publishView() {
	g.viewStale = false
	now := g.now()
	ts := make([]*target.Target, 0, len(g.peers)+1)
	for _, p := range g.peers {
		if p.reachable(now, g.peerHeartbeatInterval(p)) && !p.status.Leaving && p.status.Endpoint != nil {
			ts = append(ts, g.newTarget(*p.status.Endpoint, p))
		}
	}
	if g.own.status != nil && g.own.status.Endpoint != nil && !g.leaving.Load() {
		ts = append(ts, g.newTarget(*g.own.status.Endpoint, &g.own))
	}
	first := g.plan != nil && g.View().Plan() == nil
	g.view.Store(composer.Compose(composer.Input{
		Plan: g.plan, PlanSince: g.planSince, Targets: ts, Split: g.splitProvider.Split,
	}))
	if first {
		close(g.planKnown)
	}
}

func (g *Gossiper) newTarget(e endpoint.Endpoint, p *peer) *target.Target {
	return target.New(e, p.gauge, g.config.Node, g.config.DataCentre, g.config.Region)
}
