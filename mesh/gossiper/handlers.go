package gossiper

import "wisteriaspoke.example/mesh/message"

// handleMessage applies a message of another node.
func (g *Gossiper) handleMessage(from string, m message.Message) {
	p := g.ensurePeer(from)
	if p == nil {
		return
	}
	switch b := m.Body().(type) {
	case *status:
		g.handleStatus(p, b)
	case *records:
		region := ""
		if p.status != nil {
			region = p.status.Region
		}
		g.forwardRecords(g.applyNewer(b.Records, from), region, from)
		if region != g.config.Region {
			g.confirm(p)
		}
	case *pullRequest:
		g.sendMissing(p, b)
	case *revisions:
		g.handleRevisions(p, b)
	case *withdrawal:
		g.log.Info("upstream withdrawn, by another node", "peer", p.address, "instance", b.Instance, "born", b.Start)
		g.registry.Withdraw(b.Instance, int64(b.Start))
	case *lastUpstream:
		g.registry.Vouch(b.Instance, int64(b.Start))
	case *suspicions:
		g.crashHistory.Merge(b.List)
	case *heartbeats:
		g.handleHeartbeats(p, b)
	case *nodes:
		for _, a := range b.Addresses {
			g.ensurePeer(a)
		}
	}
}

// handleStatus applies the status of a peer, and tells a peer that has started what it may not know.
func (g *Gossiper) handleStatus(p *peer, u *status) {
	old := p.status
	changed, stored := p.updateStatus(u, g.now())
	if !stored {
		return
	}
	if changed {
		g.viewStale = true
		g.logEndpoint(p)
	}
	if old != nil && old.Incarnation != u.Incarnation {
		g.tellRestarted(p, old)
	}
	if (old == nil || old.Incarnation != u.Incarnation) && (u.Region == g.config.Region || u.ConfigurationRevision == 0) && g.introduces(p) {
		// A node that starts receives addresses from its own region, and from every region while it has no configuration.
		g.sender.Send(p.address, g.nodesMessage())
	}
	if old == nil || old.StoreReachable != u.StoreReachable || old.StoreLatency != u.StoreLatency ||
		old.Leaving != u.Leaving || !u.StoreReachable {
		g.publishNodes()
	}
	if g.plan == nil && g.hasNewerRecords(p) {
		g.pullFrom(p)
	}
}

// tellRestarted sends a peer that has restarted what is known of its upstream. old is its status before.
func (g *Gossiper) tellRestarted(p *peer, old *status) {
	if w := p.withdrawn; w != (withdrawal{}) {
		g.sender.Send(p.address, message.New(kindWithdrawal, &w))
	}
	if e := old.Endpoint; e != nil && !e.Withdrawn() && old.Region == g.config.Region {
		g.sender.Send(p.address, message.New(kindUpstream, &lastUpstream{Instance: e.Instance(), Start: e.Incarnation()}))
	}
}

func (g *Gossiper) logEndpoint(p *peer) {
	if e := p.status.Endpoint; e != nil {
		g.log.Info("endpoint changed", "peer", p.address, "instance", e.Instance(), "service", e.Service(),
			"version", e.Version(), "state", e.State(), "leaving", p.status.Leaving)
	}
}
