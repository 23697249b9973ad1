package gossiper

import (
	"time"

	"wisteriaspoke.example/mesh/elector"
	"wisteriaspoke.example/mesh/gauge"
)

// peer is what this node knows of another one.
type peer struct {
	address   string
	linked    bool
	changed   time.Time // when linked last changed
	heard     time.Time // last pulse
	pulsed    time.Time // last own pulse to it
	pulse     *pulse
	heartbeat uint64       // number of the last heartbeat that others have passed on
	ahead     int          // ticks for which it has had records that this node lacks
	gauge     *gauge.Gauge // of its endpoint's current start
	start     string       // the start that gauge measures
}

// reachable reports whether the node's endpoint can be called; interval is the time between its pulses.
func (p *peer) reachable(now time.Time, interval time.Duration) bool {
	if p.pulse == nil || now.Sub(p.heard) > time.Duration(silence*float64(interval)) {
		return false
	}
	return p.linked || now.Sub(p.changed) < relink
}

func (p *peer) candidate(now time.Time, interval time.Duration) elector.Candidate {
	return elector.Candidate{
		Address: p.address, StoreReachable: p.pulse.StoreReachable && !p.pulse.Leaving, StoreLatency: time.Duration(p.pulse.StoreLatency) * time.Millisecond,
		Alive: p.reachable(now, interval),
	}
}

// take keeps a pulse unless a later one is known, and reports whether the node's endpoint or state changed.
func (p *peer) take(u *pulse, now time.Time) (changed, taken bool) {
	old := p.pulse
	if old != nil && (u.Incarnation < old.Incarnation || u.Incarnation == old.Incarnation && u.Sequence <= old.Sequence) {
		return false, false
	}
	if old != nil && u.Incarnation != old.Incarnation {
		p.heartbeat = 0
	}
	p.pulse, p.heard = u, now
	if u.Endpoint != nil && (p.gauge == nil || p.start != u.Endpoint.Instance()) {
		p.gauge, p.start = gauge.New(now), u.Endpoint.Instance()
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
