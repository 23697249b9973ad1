package registrar

import (
	"maps"
	"slices"
	"time"

	"wisteriaspoke.example/mesh/notice"
)

// relaySilence is how long a relay of the region may be silent before another one stands in. Relays send a digest each
// second, and a departure has to be out within 3 s although the gateway of a region hangs.
const relaySilence = 1300 * time.Millisecond

// deputy is the state of a relay that stands in while another relay of its region, which may be the gateway, is lost.
type deputy struct {
	heard  map[string]time.Time
	lost   map[string]bool // the last connection is gone
	acting bool
	number uint64
	asked  time.Time
}

func newDeputy() *deputy { return &deputy{heard: map[string]time.Time{}, lost: map[string]bool{}} }

// listen notes a sign of life of a relay.
func (d *deputy) listen(now time.Time, peer string) {
	if _, known := d.heard[peer]; known {
		d.heard[peer] = now
		delete(d.lost, peer)
	}
}

// lose notes the loss of the last connection with a relay.
func (d *deputy) lose(peer string) {
	if _, known := d.heard[peer]; known {
		d.lost[peer] = true
	}
}

// follow takes the other relays of the region.
func (d *deputy) follow(now time.Time, peers []string) {
	gone := func(p string) bool { return !slices.Contains(peers, p) }
	maps.DeleteFunc(d.heard, func(p string, _ time.Time) bool { return gone(p) })
	maps.DeleteFunc(d.lost, func(p string, _ bool) bool { return gone(p) })
	for _, p := range peers {
		if _, known := d.heard[p]; !known {
			d.heard[p] = now
		}
	}
}

// excuse counts every relay as heard now, as a paused observer has no evidence of silence.
func (d *deputy) excuse(now time.Time) {
	for p := range d.heard {
		d.heard[p] = now
	}
}

// missing reports whether a relay is lost or silent.
func (d *deputy) missing(now time.Time, peer string) bool {
	return d.lost[peer] || now.Sub(d.heard[peer]) > relaySilence
}

// called reports whether the node has to stand in: some relay is missing and no present one has a lower address.
func (d *deputy) called(now time.Time, self string) bool {
	some := false
	for p := range d.heard {
		if d.missing(now, p) {
			some = true
			continue
		}
		if p < self {
			return false
		}
	}
	return some
}

// standIn subscribes to all sets and departures at the other regions' gateways while a relay of the own region is
// missing, and repeats that each second, since every answer shows what was missed.
func (r *Registrar) standIn(now time.Time) {
	d := r.deputy
	called := !r.roster.IsGateway() && d.called(now, r.config.Node)
	if !called && !d.acting {
		return
	}
	if called && d.acting && now.Sub(d.asked) < beatPeriod {
		return
	}
	d.acting = called
	d.asked = now
	d.number++
	for _, p := range r.roster.RemoteGateways() {
		r.send(p, notice.KindSubscription, notice.NewSubscription(d.number, called, called, nil))
	}
}
