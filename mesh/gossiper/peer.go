package gossiper

import (
	"time"

	"wisteriaspoke.example/mesh/elector"
	"wisteriaspoke.example/mesh/gauge"
)

// peer holds the state of another node as this node sees it.
type peer struct {
	address         string
	linked          bool
	linkChangedAt   time.Time // when linked last changed
	lastHeardAt     time.Time // when the last status message or heartbeat arrived
	statusSentAt    time.Time // when this node last sent its status to the peer
	status          *status
	relayedSequence uint64       // sequence number of the last heartbeat that another node relayed
	ticksAhead      int          // number of ticks in a row in which it had newer records than this node
	gauge           *gauge.Gauge // load of its endpoint's current instance
	gaugeInstance   string       // the instance that gauge measures
}

// reachable reports whether the node's endpoint can be called; interval is the longest time between its heartbeats.
func (p *peer) reachable(now time.Time, interval time.Duration) bool {
	if p.status == nil || now.Sub(p.lastHeardAt) > time.Duration(heartbeatStaleIntervals*float64(interval)) {
		return false
	}
	return p.linked || now.Sub(p.linkChangedAt) < unlinkedGrace
}

func (p *peer) candidate(now time.Time, interval time.Duration) elector.Candidate {
	return elector.Candidate{
		Address: p.address, StoreReachable: p.status.StoreReachable && !p.status.Leaving,
		StoreLatency: time.Duration(p.status.StoreLatency) * time.Millisecond, Alive: p.reachable(now, interval),
	}
}

// updateStatus stores u unless the stored status is as new or newer. It reports whether the endpoint or the leaving
// state changed, and whether u was stored.
func (p *peer) updateStatus(u *status, now time.Time) (changed, stored bool) {
	old := p.status
	if old != nil && (u.Incarnation < old.Incarnation || u.Incarnation == old.Incarnation && u.Sequence <= old.Sequence) {
		return false, false
	}
	if old != nil && u.Incarnation != old.Incarnation {
		p.relayedSequence = 0
	}
	p.status, p.lastHeardAt = u, now
	if u.Endpoint != nil && (p.gauge == nil || p.gaugeInstance != u.Endpoint.Instance()) {
		p.gauge, p.gaugeInstance = gauge.New(now), u.Endpoint.Instance()
	}
	if p.gauge != nil && u.ServiceTimeRatio > 0 {
		p.gauge.RecordLoad(u.Outstanding, now)
		p.gauge.SetServiceTimeRatio(float64(u.ServiceTimeRatio) / 1000)
	}
	switch {
	case old == nil, (old.Endpoint == nil) != (u.Endpoint == nil), old.Leaving != u.Leaving:
		return true, true
	case u.Endpoint == nil:
		return false, true
	}
	return *old.Endpoint != *u.Endpoint, true
}
