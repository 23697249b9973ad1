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

// Times of a relay that has just started.
const (
	askPeerPeriod = 500 * time.Millisecond // wait for one peer's sets before the next is asked
	listPeriod    = 5 * time.Second        // wait before the store is asked again
	// hearTime is enough for every node of the data centre to have announced itself: heartbeats come each second and a
	// lost first message is repeated within 150 ms.
	hearTime = 3 * time.Second
	// storedTime is the wait after which the store's sets are good enough. They may lack the latest endpoints, which
	// announce themselves with their next heartbeat.
	storedTime = 1500 * time.Millisecond
)

// bootstrap is how far a new relay is with learning all sets.
type bootstrap struct {
	since  time.Time
	asked  time.Time
	turn   int
	listed time.Time
	stored bool // the store's sets are known
	whole  bool // a settled relay sent all its sets
}

// begin notes the start as a relay.
func (b *bootstrap) begin(now time.Time) { *b = bootstrap{since: now} }

// done reports whether the relay knows enough to replace sets.
func (b *bootstrap) done(now time.Time) bool {
	age := now.Sub(b.since)
	return b.whole || age >= hearTime || (b.stored && age >= storedTime)
}

// settled reports whether this relay knows its data centre well enough to replace sets.
func (r *Registrar) settled(now time.Time) bool { return r.bootstrap.done(now) }

// learn asks one peer after the other for all sets, and the store if there is none or none answers.
func (r *Registrar) learn(now time.Time) {
	b := &r.bootstrap
	if b.whole || now.Sub(b.asked) < askPeerPeriod {
		return
	}
	peers := slices.Concat(r.peers(), r.roster.RemoteGateways())
	if b.turn >= len(peers) {
		r.list(now)
		if b.done(now) {
			return
		}
		b.turn = 0
	}
	if len(peers) == 0 {
		return
	}
	b.asked = now
	r.send(peers[b.turn], notice.KindPull, notice.NewPull(nil, r.marks(nil)))
	b.turn++
}

// list reads all sets from the store.
func (r *Registrar) list(now time.Time) {
	b := &r.bootstrap
	if b.stored || (!b.listed.IsZero() && now.Sub(b.listed) < listPeriod) {
		return
	}
	b.listed = now
	r.out = append(r.out, effect.NewStoreRequest(effect.List, listID, object.New(plural, "", "", nil)))
}

// answered takes the end of a store request.
func (r *Registrar) answered(now time.Time, e event.Event) {
	if e.ID() != listID {
		r.archive.answer(now, e)
		return
	}
	if e.Err() != nil || !r.relay() {
		return
	}
	r.bootstrap.stored = true
	var gs []group.Group
	for _, o := range e.Objects() {
		g, err := decode(o)
		if err != nil {
			continue
		}
		if g.DataCentre() == r.config.DataCentre {
			r.archive.know(g.Service(), o.Revision())
		}
		if r.admit(g) {
			gs = append(gs, g)
		}
	}
	r.push(gs, nil)
}
