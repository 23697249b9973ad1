package dispatcher

import (
	"time"

	"wisteriaspoke.example/mesh/endpoint"
	"wisteriaspoke.example/mesh/fault"
)

const (
	// maxAnnounceWait is how long a ready upstream delays the readiness of its node. Without a relay that decides on the
	// endpoint set, as in an outage of the store, the set never shows the upstream.
	maxAnnounceWait = 3 * time.Second
	// spreadWait is the time after which a node that missed the set has pulled it: relays send a digest each second, and
	// a set that differs is pulled 150 ms later.
	spreadWait = 1200 * time.Millisecond
)

// Ready returns nil once callers use the local upstream, so that the node of another endpoint may be stopped. An
// upstream that is down does not delay it.
func (d *Dispatcher) Ready() error {
	if d.limiter == nil || d.membership == nil {
		return nil // no upstream, or a program without endpoint sets
	}
	d.updateAnnounced()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	switch {
	case !d.checked:
		return fault.New(fault.Unavailable, "the upstream has not been checked yet", "wait a second")
	case d.state != endpoint.Ready || time.Since(d.readySince) >= maxAnnounceWait:
		return nil
	case d.announcedAt.IsZero():
		return fault.New(fault.Unavailable, "the upstream is not in the endpoint set yet", "wait until a relay has sent the set")
	case time.Since(d.announcedAt) < spreadWait:
		return fault.New(fault.Unavailable, "other nodes may not use the upstream yet", "wait a second")
	}
	return nil
}

// updateAnnounced records when the endpoint set first shows the upstream as ready.
func (d *Dispatcher) updateAnnounced() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.membership != nil && d.announcedAt.IsZero() && d.membership.HasReady(d.identity.Service, d.identity.Node, d.identity.Incarnation) {
		d.announcedAt = time.Now()
	}
}
