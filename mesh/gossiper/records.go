package gossiper

import (
	"bytes"

	"wisteriaspoke.example/mesh/message"
	"wisteriaspoke.example/mesh/order"
	"wisteriaspoke.example/mesh/plan"
	"wisteriaspoke.example/mesh/record"
)

// compressSpecs returns records from the store with compressed configurations, as nodes send them.
func (g *Gossiper) compressSpecs(rs []record.Record) []record.Record {
	out := make([]record.Record, 0, len(rs))
	for _, r := range rs {
		if r.Kind == record.Configuration {
			spec, err := compress(r.Spec)
			if err != nil {
				g.log.Error("configuration cannot be compressed", "revision", record.RevisionIn(r.Revision), "error", err)
				continue
			}
			r.Spec = spec
		}
		out = append(out, r)
	}
	return out
}

// fromStore is the origin of records that this node has read from the store itself.
const fromStore = "store"

// applyNewer stores and applies the records that are newer than the stored ones, and returns them. from is fromStore or the
// address of the node that sent them.
func (g *Gossiper) applyNewer(rs []record.Record, from string) []record.Record {
	var newer []record.Record
	for _, r := range rs {
		if r.Kind == record.Configuration {
			if g.applyConfiguration(r, from) {
				newer = append(newer, r)
			}
			continue
		}
		if g.records.put(r) {
			newer = append(newer, r)
			g.applyRecord(r)
		}
	}
	return newer
}

// applyRecord makes an order effective on this node.
func (g *Gossiper) applyRecord(r record.Record) {
	switch r.Kind {
	case record.Orders:
		o, err := g.decoder.Order(r)
		if err != nil {
			g.log.Error("order ignored", "service", r.Name, "revision", record.RevisionIn(r.Revision), "era", record.Era(r.Revision), "error", err)
			return
		}
		if r.Deleted {
			delete(g.orders, r.Name)
		} else {
			g.orders[r.Name] = o
		}
		g.log.Info("order known", "service", r.Name, "target", o.Target(), "state", o.State(),
			"revision", record.RevisionIn(r.Revision), "era", record.Era(r.Revision), "deleted", r.Deleted)
		g.viewStale = true
		all := make([]order.Order, 0, len(g.orders))
		for _, o := range g.orders {
			all = append(all, o)
		}
		for _, f := range g.orderObservers {
			f.SetOrders(all)
		}
	}
}

// applyConfiguration stores a configuration and puts it in force if its version is higher than that of the present one, and
// reports whether it did. A store that was restored may also show other content under the same version; that at the higher
// position is kept, so that all nodes agree.
func (g *Gossiper) applyConfiguration(r record.Record, from string) bool {
	if r.Deleted {
		g.log.Error("configuration was deleted in the store; the last one stays in force", "revision", record.RevisionIn(r.Revision), "era", record.Era(r.Revision))
		return false
	}
	if stored := g.records.configuration(); r.Revision <= stored.Revision && bytes.Equal(r.Spec, stored.Spec) {
		// Several nodes send each record, and decoding a large configuration takes milliseconds.
		return false
	}
	spec, err := decompress(r.Spec)
	var p *plan.Plan
	if err == nil {
		p, err = g.decoder.Plan(spec)
	}
	if err != nil {
		g.log.Error("configuration refused", "revision", record.RevisionIn(r.Revision), "era", record.Era(r.Revision), "error", err)
		g.planObject.refuse(r.Name)
		return false
	}
	g.planObject.accept(r.Name)
	if g.plan != nil && p.Version() <= g.plan.Version() {
		stored := g.records.configuration()
		same := p.Version() == g.plan.Version()
		if same && bytes.Equal(r.Spec, stored.Spec) {
			stored.Revision = max(stored.Revision, r.Revision)
			g.records.putConfiguration(stored, p.Version())
			return false
		}
		if !same || r.Revision <= stored.Revision {
			g.log.Warn("configuration is not newer", "version", p.Version(), "inforce", g.plan.Version(), "revision", record.RevisionIn(r.Revision), "era", record.Era(r.Revision))
			return false
		}
		g.log.Warn("configuration has other content under the same version", "version", p.Version(), "revision", record.RevisionIn(r.Revision), "era", record.Era(r.Revision))
	}
	g.records.putConfiguration(r, p.Version())
	g.plan, g.planSince, g.viewStale = p, g.now(), true
	planVersion.Update(int64(p.Version()))
	g.log.Info("configuration in force", "version", p.Version(), "revision", record.RevisionIn(r.Revision), "era", record.Era(r.Revision), "rules", p.RuleCount(), "from", from)
	return true
}

// forwardRecords sends records that came from the store or from another region to the peers of this region, and those
// from the store also to one node of each other region. origin is the region of the sender from, which is empty for the
// store.
func (g *Gossiper) forwardRecords(rs []record.Record, origin, from string) {
	if len(rs) == 0 || from != "" && origin == g.config.Region {
		return
	}
	m := message.New(kindRecords, &records{Records: rs})
	for _, p := range g.peers {
		if p.linked && p.status != nil && p.address != from && p.status.Region == g.config.Region {
			g.sender.Send(p.address, m)
		}
	}
	if from != "" {
		return
	}
	for region := range g.otherRegions() {
		if nodes := g.remoteNodes(region); len(nodes) > 0 {
			g.sender.Send(nodes[0].address, m)
		}
	}
}

// hasNewerRecords reports whether the peer is linked and has a newer configuration or newer orders than this node.
func (g *Gossiper) hasNewerRecords(p *peer) bool {
	return p.linked && p.status != nil && !g.ownRevisions().covers(p.revisions())
}

// pullFrom asks the peer for missing records, unless a pull was sent less than minPullInterval ago.
func (g *Gossiper) pullFrom(p *peer) {
	now := g.now()
	if now.Sub(g.pulledAt) < minPullInterval {
		return
	}
	g.pulledAt = now
	own := g.ownRevisions()
	q := &pullRequest{ConfigurationRevision: own.Configuration, OrdersRevision: own.Orders}
	g.log.Info("missing records asked for", "peer", p.address, "configuration", q.ConfigurationRevision,
		"orders", q.OrdersRevision, "theirs", p.revisions().Configuration)
	g.sender.Send(p.address, message.New(kindPull, q))
}

// pullMissing pulls from the nearest peer that is ahead. Forwarded records arrive within a tick, so only a peer that
// was ahead for two ticks is asked.
func (g *Gossiper) pullMissing() {
	var best *peer
	for _, p := range g.peers {
		if !g.hasNewerRecords(p) {
			p.ticksAhead = 0
			continue
		}
		p.ticksAhead++
		if p.ticksAhead < 2 {
			continue
		}
		if best == nil || p.status.Region == g.config.Region && best.status.Region != g.config.Region {
			best = p
		}
	}
	if best != nil {
		g.pullFrom(best)
	}
}

// sendMissing answers a pull request with the records that the peer lacks.
func (g *Gossiper) sendMissing(p *peer, q *pullRequest) {
	missing := g.records.newerConfiguration(q.ConfigurationRevision)
	missing = append(missing, g.records.newerThan(record.Orders, q.OrdersRevision)...)
	if len(missing) > 0 {
		g.sender.Send(p.address, message.New(kindRecords, &records{Records: missing}))
	}
}
