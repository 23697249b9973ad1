package gossiper

import (
	"wisteriaspoke.example/mesh/message"
	"wisteriaspoke.example/mesh/order"
	"wisteriaspoke.example/mesh/plan"
	"wisteriaspoke.example/mesh/record"
)

// compressed returns records from the store as nodes pass them on.
func (g *Gossiper) compressed(rs []record.Record) []record.Record {
	out := make([]record.Record, 0, len(rs))
	for _, r := range rs {
		if r.Kind == record.Configuration {
			spec, err := compress(r.Spec)
			if err != nil {
				g.log.Error("configuration cannot be compressed", "revision", r.Revision, "error", err)
				continue
			}
			r.Spec = spec
		}
		out = append(out, r)
	}
	return out
}

// keep takes records and returns those that are newer than the known ones.
func (g *Gossiper) keep(rs []record.Record) []record.Record {
	var fresh []record.Record
	for _, r := range rs {
		if !g.archive.take(r) {
			continue
		}
		fresh = append(fresh, r)
		g.apply(r)
	}
	return fresh
}

// apply puts a record into force.
func (g *Gossiper) apply(r record.Record) {
	switch r.Kind {
	case record.Configuration:
		g.configure(r)
	case record.Orders:
		o, err := g.decoder.Order(r)
		if err != nil {
			g.log.Error("order ignored", "service", r.Name, "revision", r.Revision, "error", err)
			return
		}
		if r.Deleted {
			delete(g.orders, r.Name)
		} else {
			g.orders[r.Name] = o
		}
		g.log.Info("order known", "service", r.Name, "target", o.Target(), "state", o.State(), "revision", r.Revision, "deleted", r.Deleted)
		g.dirty = true
		all := make([]order.Order, 0, len(g.orders))
		for _, o := range g.orders {
			all = append(all, o)
		}
		for _, f := range g.followers {
			f.SetOrders(all)
		}
	}
}

func (g *Gossiper) configure(r record.Record) {
	if r.Deleted {
		g.log.Error("configuration was deleted in the store; the last one stays in force", "revision", r.Revision)
		return
	}
	spec, err := decompress(r.Spec)
	var p *plan.Plan
	if err == nil {
		p, err = g.decoder.Plan(spec)
	}
	if err != nil {
		g.log.Error("configuration refused", "revision", r.Revision, "error", err)
		return
	}
	if g.plan != nil && p.Version() <= g.plan.Version() {
		g.log.Warn("configuration is not newer", "version", p.Version(), "inforce", g.plan.Version(), "revision", r.Revision)
		return
	}
	g.plan, g.since, g.dirty = p, g.now(), true
	planVersion.Update(int64(p.Version()))
	g.log.Info("configuration in force", "version", p.Version(), "revision", r.Revision, "rules", p.RuleCount())
}

// spread passes records on: to this node's region if they come from elsewhere, and from the store to one node of each
// other region.
func (g *Gossiper) spread(rs []record.Record, origin, from string) {
	if len(rs) == 0 || from != "" && origin == g.config.Region {
		return
	}
	m := message.New(kindRecords, &records{Records: rs})
	other := map[string]string{}
	for _, p := range g.peers {
		switch {
		case !p.linked || p.pulse == nil || p.address == from:
		case p.pulse.Region == g.config.Region:
			g.sender.Send(p.address, m)
		case from == "" && (other[p.pulse.Region] == "" || p.address < other[p.pulse.Region]):
			other[p.pulse.Region] = p.address
		}
	}
	for _, address := range other {
		g.sender.Send(address, m)
	}
}

// ahead reports whether the peer has records that this node lacks.
func (g *Gossiper) ahead(p *peer) bool {
	return p.linked && p.pulse != nil &&
		(p.pulse.ConfigurationRevision > g.archive.highest[record.Configuration] || p.pulse.OrdersRevision > g.archive.highest[record.Orders])
}

// catchUp asks the peer for missing records, unless another one was asked just now.
func (g *Gossiper) catchUp(p *peer) {
	now := g.now()
	if now.Sub(g.pulled) < pullInterval {
		return
	}
	g.pulled = now
	q := &pull{ConfigurationRevision: g.archive.highest[record.Configuration], OrdersRevision: g.archive.highest[record.Orders]}
	g.log.Info("missing records asked for", "peer", p.address, "configuration", q.ConfigurationRevision, "orders", q.OrdersRevision,
		"theirs", p.pulse.ConfigurationRevision)
	g.sender.Send(p.address, message.New(kindPull, q))
}

// lag asks the nearest peer that is ahead. What is passed on arrives within a tick, so only a peer that has been ahead
// for two of them is asked.
func (g *Gossiper) lag() {
	var best *peer
	for _, p := range g.peers {
		if !g.ahead(p) {
			p.ahead = 0
			continue
		}
		p.ahead++
		if p.ahead < 2 {
			continue
		}
		if best == nil || p.pulse.Region == g.config.Region && best.pulse.Region != g.config.Region {
			best = p
		}
	}
	if best != nil {
		g.catchUp(best)
	}
}

// supply sends the records that a peer lacks.
func (g *Gossiper) supply(p *peer, q *pull) {
	missing := g.archive.after(record.Configuration, q.ConfigurationRevision)
	missing = append(missing, g.archive.after(record.Orders, q.OrdersRevision)...)
	if len(missing) > 0 {
		g.sender.Send(p.address, message.New(kindRecords, &records{Records: missing}))
	}
}
