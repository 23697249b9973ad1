package relayer

import (
	"time"

	"wisteriaspoke.example/mesh/effect"
	"wisteriaspoke.example/mesh/event"
	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/head"
	"wisteriaspoke.example/mesh/object"
)

// gatewayPatience is how long a relay hears nothing from its gateway before it watches the store itself.
const gatewayPatience = time.Second

// watch is the watch of the head in the store.
type watch struct {
	id        string    // of the watch that waits, or empty
	reading   bool      // a read of the head is under way
	readAt    time.Time // when the head was last read
	retry     backoff
	confirmAt time.Time // when the relay started, or last heard its gateway
}

// acting reports whether this node does the gateway's work: it is the gateway, or the gateway is silent.
func (r *relayer) acting() bool {
	if r.seat < 0 {
		return false
	}
	g := r.table.gateway(r.now, r.config.Region)
	if g == nil || g.holder == r.config.Node {
		return true
	}
	last := r.watch.confirmAt
	if p := r.supply.peers[g.holder]; p != nil && p.heard.After(last) {
		last = p.heard
	}
	return r.now.Sub(last) > gatewayPatience
}

func (r *relayer) tickWatch() {
	if r.seat < 0 {
		return
	}
	if !r.acting() {
		r.stopWatch()
		if !r.floor.known && !r.now.Before(r.watch.retry.until) {
			r.readHead()
		}
		return
	}
	if r.watch.id == "" && !r.now.Before(r.watch.retry.until) {
		r.readHead()
	}
}

func (r *relayer) stopWatch() {
	if r.watch.id != "" {
		r.emit(effect.NewUnwatch(r.watch.id))
		r.watch.id = ""
	}
}

// readHead reads the head, which shows the newest version at the time of the request, and starts the watch from there.
func (r *relayer) readHead() {
	if r.watch.reading {
		return
	}
	sent := r.now
	r.watch.readAt = sent
	// A list also gives a revision to watch from while there is no head yet.
	r.watch.reading = r.request(effect.List, object.New(head.Plural, "", "", nil), true, func(e event.Event) {
		r.watch.reading = false
		if e.Err() != nil {
			r.backOff(&r.watch.retry)
			r.answerFloors()
			return
		}
		r.watch.retry = backoff{}
		r.headConfirmed(e, sent)
		if r.acting() && r.watch.id == "" {
			r.watch.id = r.nextID()
			r.emit(effect.NewStoreRequest(effect.Watch, r.watch.id, object.New(head.Plural, head.Name, e.Revision(), nil)))
		}
	})
}

// headConfirmed takes a list of the heads that the store answered to a request sent at the given time.
func (r *relayer) headConfirmed(e event.Event, sent time.Time) {
	for _, o := range e.Objects() {
		if o.Name() == head.Name {
			r.headSeen(o)
		}
	}
	r.supply.heard = sent
	r.knowFloor(r.supply.below(r.supply.head.Version()))
	r.answerFloors()
}

func (r *relayer) watched(e event.Event) {
	if e.ID() != r.watch.id || r.watch.id == "" {
		return
	}
	if e.Err() != nil {
		r.watch.id = ""
		if fault.KindOf(e.Err()) != fault.Gone {
			r.store.out = fault.KindOf(e.Err()) == fault.Unavailable
			r.backOff(&r.watch.retry)
			return
		}
		r.readHead()
		return
	}
	if e.Change() != event.Deleted {
		r.headSeen(e.Object())
	}
}

// headSeen takes a head from the store; only a higher version counts.
func (r *relayer) headSeen(o object.Object) {
	h, err := head.Decode(o)
	if err != nil {
		r.refuse(r.supply.head.Version()+1, err.Error())
		return
	}
	if h.Version() <= r.supply.head.Version() {
		return
	}
	r.supply.head = h
	r.assemble()
}
