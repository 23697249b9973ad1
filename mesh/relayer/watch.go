package relayer

import (
	"time"

	"wisteriaspoke.example/mesh/effect"
	"wisteriaspoke.example/mesh/event"
	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/head"
	"wisteriaspoke.example/mesh/object"
)

// gatewayTimeout is the time without a status from the gateway after which a relay watches the store itself.
const gatewayTimeout = time.Second

// watch is the state of the watch of the head in the store.
type watch struct {
	id           string // of the open watch, or empty
	readPending  bool
	readAt       time.Time // when the last read of the head was sent
	retryBackoff backoff
	startedAt    time.Time // when this node became a relay; earliest start of gatewayTimeout
}

// actsAsGateway reports whether this relay is its region's gateway, or the gateway has not sent a status for
// gatewayTimeout.
func (r *relayer) actsAsGateway() bool {
	if r.leaseIndex < 0 {
		return false
	}
	gateway := r.leaseTable.gateway(r.now, r.config.Region)
	if gateway == nil || gateway.holder == r.config.Node {
		return true
	}
	last := r.watch.startedAt
	if p := r.distribution.peers[gateway.holder]; p != nil && p.heardAt.After(last) {
		last = p.heardAt
	}
	return r.now.Sub(last) > gatewayTimeout
}

func (r *relayer) tickWatch() {
	if r.leaseIndex < 0 {
		return
	}
	if !r.actsAsGateway() {
		r.stopWatch()
		if !r.versionFloor.known && !r.now.Before(r.watch.retryBackoff.until) {
			r.readHead()
		}
		return
	}
	if r.watch.id == "" && !r.now.Before(r.watch.retryBackoff.until) {
		r.readHead()
	}
}

func (r *relayer) stopWatch() {
	if r.watch.id != "" {
		r.emit(effect.NewUnwatch(r.watch.id))
		r.watch.id = ""
	}
}

// readHead reads the head, and starts the watch from the revision read if this relay acts as gateway.
func (r *relayer) readHead() {
	if r.watch.readPending {
		return
	}
	sent := r.now
	r.watch.readAt = sent
	// A list also gives a revision to watch from while there is no head yet.
	r.watch.readPending = r.request(effect.List, object.New(head.Plural, "", "", nil), true, func(e event.Event) {
		r.watch.readPending = false
		if e.Err() != nil {
			r.backOff(&r.watch.retryBackoff)
			r.sendFloors()
			return
		}
		r.watch.retryBackoff = backoff{}
		r.handleHeadList(e, sent)
		if r.actsAsGateway() && r.watch.id == "" {
			r.watch.id = r.nextID()
			r.emit(effect.NewStoreRequest(effect.Watch, r.watch.id, object.New(head.Plural, head.Name, e.Revision(), nil)))
		}
	})
}

// handleHeadList handles the list of heads that the store returned for a request sent at the given time: the newest
// version then is at least the one in the list.
func (r *relayer) handleHeadList(e event.Event, sent time.Time) {
	for _, o := range e.Objects() {
		if o.Name() == head.Name {
			r.applyHead(o)
		}
	}
	r.distribution.headConfirmedAt = sent
	r.setFloor(r.distribution.newestValid(r.distribution.head.Version()))
	r.sendFloors()
}

func (r *relayer) handleWatchEvent(e event.Event) {
	if e.ID() != r.watch.id || r.watch.id == "" {
		return
	}
	if e.Err() != nil {
		r.watch.id = ""
		if fault.KindOf(e.Err()) != fault.Gone {
			r.store.unreachable = fault.KindOf(e.Err()) == fault.Unavailable
			r.backOff(&r.watch.retryBackoff)
			return
		}
		r.readHead()
		return
	}
	if e.Change() != event.Deleted {
		r.applyHead(e.Object())
	}
}

// applyHead assembles the state of a head from the store if its version is higher than the last head's.
func (r *relayer) applyHead(o object.Object) {
	h, err := head.Decode(o)
	if err != nil {
		r.refuse(r.distribution.head.Version()+1, err.Error())
		return
	}
	if h.Version() <= r.distribution.head.Version() {
		return
	}
	r.distribution.head = h
	r.assemble()
}
