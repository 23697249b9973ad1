package registrar

import (
	"slices"
	"time"

	"wisteriaspoke.example/mesh/effect"
	"wisteriaspoke.example/mesh/event"
	"wisteriaspoke.example/mesh/group"
	"wisteriaspoke.example/mesh/notice"
	"wisteriaspoke.example/mesh/object"
)

// Waits of a relay that has just started.
const (
	pullPeerPeriod  = 500 * time.Millisecond // wait for one peer's sets before pulling from the next
	listRetryPeriod = 5 * time.Second        // wait before the store is listed again
	// announceWait is enough for every node of the data centre to have announced itself: heartbeats are sent each second
	// and a lost first message is retried within 150 ms.
	announceWait = 3 * time.Second
	// storeWait is the wait after which the store's sets suffice. They may lack the latest endpoints, which announce
	// themselves after their next heartbeat.
	storeWait = 1500 * time.Millisecond
)

// bootstrap is the progress of a new relay in obtaining all sets.
type bootstrap struct {
	startedAt    time.Time
	pulledAt     time.Time
	nextPeer     int
	listedAt     time.Time
	storeRead    bool // the store's sets were listed
	peerComplete bool // a settled relay sent all its sets
}

// start resets the progress when the node becomes a relay.
func (b *bootstrap) start(now time.Time) { *b = bootstrap{startedAt: now} }

// done reports whether the relay has enough information to replace sets.
func (b *bootstrap) done(now time.Time) bool {
	age := now.Sub(b.startedAt)
	return b.peerComplete || age >= announceWait || (b.storeRead && age >= storeWait)
}

// settled reports whether this relay has finished its bootstrap, so that it may replace sets.
func (r *Registrar) settled(now time.Time) bool { return r.bootstrap.done(now) }

// requestSets pulls all sets from one peer after another, and lists the store if there is no peer or none replies.
func (r *Registrar) requestSets(now time.Time) {
	b := &r.bootstrap
	if b.peerComplete || now.Sub(b.pulledAt) < pullPeerPeriod {
		return
	}
	peers := slices.Concat(r.peers(), r.roster.RemoteGateways())
	if b.nextPeer >= len(peers) {
		r.listStore(now)
		if b.done(now) {
			return
		}
		b.nextPeer = 0
	}
	if len(peers) == 0 {
		return
	}
	b.pulledAt = now
	r.send(peers[b.nextPeer], notice.KindPull, notice.NewPull(nil, r.heldVersions(nil)))
	b.nextPeer++
}

// listStore requests all sets from the store.
func (r *Registrar) listStore(now time.Time) {
	b := &r.bootstrap
	if b.storeRead || (!b.listedAt.IsZero() && now.Sub(b.listedAt) < listRetryPeriod) {
		return
	}
	b.listedAt = now
	r.effects = append(r.effects, effect.NewStoreRequest(effect.List, listID, object.New(resourceName, "", "", nil)))
}

// handleStoreReply processes the result of a store request.
func (r *Registrar) handleStoreReply(now time.Time, e event.Event) {
	if e.ID() != listID {
		r.archive.handleReply(now, e)
		return
	}
	if e.Err() != nil || !r.isRelay() {
		return
	}
	r.bootstrap.storeRead = true
	var gs []group.Group
	for _, o := range e.Objects() {
		g, err := decode(o)
		if err != nil {
			continue
		}
		if g.DataCentre() == r.config.DataCentre {
			r.archive.setRevision(g.Service(), o.Revision())
		}
		if r.storeSet(g) {
			gs = append(gs, g)
		}
	}
	r.pushToClients(gs, nil)
}
