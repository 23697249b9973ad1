package gossiper

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"wisteriaspoke.example/mesh/elector"
	"wisteriaspoke.example/mesh/message"
	"wisteriaspoke.example/mesh/record"
)

// A node that reads records from the store is responsible for their arrival in each other region until a node of that
// region confirms it. The first one to read them sends them to one node of each region. Each then asks others in turn,
// so that no single node that is silent keeps the records from its region; a node that is asked pulls what it lacks and
// forwards it.

const (
	// confirmTimeout is how long a confirmation is awaited before further nodes of the region are asked. It is well above
	// the time of a message to another region and back.
	confirmTimeout = 300 * time.Millisecond
	// nodesAsked is the number of nodes of a region that are asked at a time.
	nodesAsked = 2
)

// revisions are the version of the configuration and the highest position of the orders.
type revisions struct {
	_             struct{} `cbor:",toarray"`
	Configuration uint64
	Orders        uint64
	Answer        bool // a confirmation, which is not answered
}

// covers reports whether r includes all records up to other.
func (r revisions) covers(other revisions) bool {
	return r.Configuration >= other.Configuration && r.Orders >= other.Orders
}

// delivery is the state of passing records on to one other region.
type delivery struct {
	wanted  revisions // the region should have these
	pending bool      // no node of the region has confirmed them
	asked   int       // nodes of the region that were sent the records or asked, in the order of remoteNodes
	askedAt time.Time
	since   time.Time // of pending
}

func (g *Gossiper) ownRevisions() revisions {
	return revisions{Configuration: g.records.highest[record.Configuration], Orders: g.records.highest[record.Orders]}
}

// expectDeliveries makes this node responsible for its records in all other regions.
func (g *Gossiper) expectDeliveries() {
	wanted := g.ownRevisions()
	for region := range g.otherRegions() {
		d := g.deliveries[region]
		if d == nil {
			d = &delivery{}
			g.deliveries[region] = d
		}
		if d.wanted.covers(wanted) {
			continue
		}
		d.wanted = wanted
		if !d.pending {
			d.pending, d.asked, d.askedAt, d.since = true, 1, g.now(), g.now()
		}
	}
}

// checkDeliveries asks further nodes of the regions that have not confirmed their records in time.
func (g *Gossiper) checkDeliveries(now time.Time) {
	for region, d := range g.deliveries {
		if !d.pending || now.Sub(d.askedAt) < confirmTimeout {
			continue
		}
		nodes := g.remoteNodes(region)
		if i := slices.IndexFunc(nodes, func(p *peer) bool { return p.revisions().covers(d.wanted) }); i >= 0 {
			d.pending = false
			g.log.Info("records confirmed", "region", region, "configuration", d.wanted.Configuration, "orders", d.wanted.Orders,
				"peer", nodes[i].address, "asked", d.asked, "took", now.Sub(d.since).Milliseconds())
			continue
		}
		q := d.wanted
		for i := range min(nodesAsked, len(nodes)) {
			g.sender.Send(nodes[(d.asked+i)%len(nodes)].address, message.New(kindRevisions, &q))
		}
		g.log.Info("records not confirmed", "region", region, "configuration", q.Configuration, "orders", q.Orders, "asked", d.asked)
		d.asked += nodesAsked
		d.askedAt = now
	}
}

// handleRevisions records a confirmation, or answers a question and pulls what this node lacks.
func (g *Gossiper) handleRevisions(p *peer, r *revisions) {
	p.confirmed = revisions{Configuration: max(p.confirmed.Configuration, r.Configuration), Orders: max(p.confirmed.Orders, r.Orders)}
	if r.Answer {
		return
	}
	if !g.ownRevisions().covers(*r) {
		g.pullFrom(p)
	}
	g.confirm(p)
}

// confirm tells a peer which records this node has.
func (g *Gossiper) confirm(p *peer) {
	r := g.ownRevisions()
	r.Answer = true
	g.sender.Send(p.address, message.New(kindRevisions, &r))
}

// revisions returns what the peer is known to have.
func (p *peer) revisions() revisions {
	r := p.confirmed
	if p.status != nil {
		r.Configuration = max(r.Configuration, p.status.ConfigurationRevision)
		r.Orders = max(r.Orders, p.status.OrdersRevision)
	}
	return r
}

func (g *Gossiper) otherRegions() map[string]bool {
	regions := map[string]bool{}
	for _, p := range g.peers {
		if p.status != nil && p.status.Region != g.config.Region {
			regions[p.status.Region] = true
		}
	}
	return regions
}

// remoteNodes returns the linked nodes of the region, those with fast links first, as they send records on to their region, and
// otherwise in an order that differs between the nodes that ask.
func (g *Gossiper) remoteNodes(region string) []*peer {
	var nodes []*peer
	for _, p := range g.peers {
		if p.linked && p.status != nil && p.status.Region == region && !p.status.Leaving {
			nodes = append(nodes, p)
		}
	}
	slices.SortFunc(nodes, func(a, b *peer) int {
		return cmp.Or(cmp.Compare(elector.LinkClass(b.status.LinkRate), elector.LinkClass(a.status.LinkRate)),
			cmp.Compare(rank(g.config.Node, a.address), rank(g.config.Node, b.address)), cmp.Compare(a.address, b.address))
	})
	return nodes
}

// rank returns the place of a node in the order of nodes that belongs to key.
func rank(key, address string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(key + " " + address))
	return h.Sum64()
}
