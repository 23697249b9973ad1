package registrar

import (
	"maps"
	"slices"
	"time"

	"wisteriaspoke.example/mesh/notice"
)

// relayTimeout is how long a relay of the region may be silent before another one stands in. Relays send a digest each
// second, and a departure has to reach all nodes within 3 s even if the gateway of a region hangs.
const relayTimeout = 1300 * time.Millisecond

// deputy is the state of a relay that stands in while another relay of its region, possibly the gateway, is missing.
type deputy struct {
	heard        map[string]time.Time
	lost         map[string]bool // the last connection was lost
	acting       bool
	sequence     uint64
	subscribedAt time.Time
}

func newDeputy() *deputy { return &deputy{heard: map[string]time.Time{}, lost: map[string]bool{}} }

// markHeard records that a relay was heard.
func (d *deputy) markHeard(now time.Time, peer string) {
	if _, known := d.heard[peer]; known {
		d.heard[peer] = now
		delete(d.lost, peer)
	}
}

// markLost records the loss of the last connection with a relay.
func (d *deputy) markLost(peer string) {
	if _, known := d.heard[peer]; known {
		d.lost[peer] = true
	}
}

// setPeers sets the other relays of the region.
func (d *deputy) setPeers(now time.Time, peers []string) {
	gone := func(p string) bool { return !slices.Contains(peers, p) }
	maps.DeleteFunc(d.heard, func(p string, _ time.Time) bool { return gone(p) })
	maps.DeleteFunc(d.lost, func(p string, _ bool) bool { return gone(p) })
	for _, p := range peers {
		if _, known := d.heard[p]; !known {
			d.heard[p] = now
		}
	}
}

// markAllHeard treats every relay as heard now, since a process that was paused has no evidence of silence.
func (d *deputy) markAllHeard(now time.Time) {
	for p := range d.heard {
		d.heard[p] = now
	}
}

// missing reports whether a relay is lost or silent.
func (d *deputy) missing(now time.Time, peer string) bool {
	return d.lost[peer] || now.Sub(d.heard[peer]) > relayTimeout
}

// mustStandIn reports whether the node has to stand in: a relay is missing and no other live one has a lower address.
func (d *deputy) mustStandIn(now time.Time, self string) bool {
	missing := false
	for p := range d.heard {
		if d.missing(now, p) {
			missing = true
			continue
		}
		if p < self {
			return false
		}
	}
	return missing
}

// standIn subscribes to all sets and departures at the other regions' gateways while a relay of this region is
// missing, and repeats it each second, since every reply reveals sets and departures that were missed.
func (r *Registrar) standIn(now time.Time) {
	d := r.deputy
	needed := !r.roster.IsGateway() && d.mustStandIn(now, r.config.Node)
	if !needed && !d.acting {
		return
	}
	if needed && d.acting && now.Sub(d.subscribedAt) < heartbeatPeriod {
		return
	}
	d.acting = needed
	d.subscribedAt = now
	d.sequence++
	for _, p := range r.roster.RemoteGateways() {
		r.send(p, notice.KindSubscription, notice.NewSubscription(d.sequence, needed, needed, nil))
	}
}
