package registrar

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"wisteriaspoke.example/mesh/endpoint"
	"wisteriaspoke.example/mesh/group"
	"wisteriaspoke.example/mesh/notice"
	"wisteriaspoke.example/mesh/roster"
	"wisteriaspoke.example/mesh/suspecter"
)

// batchTime is the shortest time between two messages with changed sets, unless an endpoint leaves.
const batchTime = 50 * time.Millisecond

// dropWindow is how long a drop counts towards the share of a set that may be lost together. Without it a cut that lasts
// would remove one third after the other.
const dropWindow = time.Minute

// seats is the number of relay leases of a data centre.
const seats = 2

// owner is the state of the relay that decides on its data centre's sets.
type owner struct {
	lease     uint64 // epoch of the lease
	seat      uint64 // index of the lease
	epoch     uint64 // epoch of the sets, which follows from those of the lease and of the sets known
	sequence  uint64
	begun     bool // sets of the own epoch are out
	contested bool // a newer set of the own data centre came from another node
	flushed   time.Time
	changed   map[string]group.Group
	urgent    bool
	dropped   map[string][]time.Time // recent drops by service
}

// assume takes or gives up the ownership that the roster says.
func (r *Registrar) assume(old roster.Roster) {
	if !r.roster.IsOwner() || r.roster.LeaseIndex() < 0 {
		r.owner = nil
		return
	}
	if r.owner != nil && old.Epoch() == r.roster.Epoch() && old.LeaseIndex() == r.roster.LeaseIndex() {
		return
	}
	r.owner = &owner{
		lease: r.roster.Epoch(), seat: uint64(r.roster.LeaseIndex()),
		changed: map[string]group.Group{}, dropped: map[string][]time.Time{},
	}
}

// deciding reports whether this node may change its data centre's sets now.
func (r *Registrar) deciding(now time.Time) bool {
	return r.owner != nil && !now.Before(r.heldUntil) && r.settled(now)
}

// decide looks at all services of the data centre and sends what changed.
func (r *Registrar) decide(now time.Time) {
	if !r.deciding(now) {
		return
	}
	if !r.owner.begun || r.owner.contested {
		r.begin(now)
	}
	for _, a := range slices.Sorted(maps.Keys(r.members.byAddress)) {
		r.ask(now, r.members.byAddress[a])
	}
	for _, s := range slices.Sorted(maps.Keys(r.members.byService)) {
		r.rebuild(now, s)
	}
	r.flush(now)
}

// decideService looks at one service at once, after an event that concerns it.
func (r *Registrar) decideService(now time.Time, service string) {
	if !r.deciding(now) || !r.owner.begun || r.owner.contested {
		return // the next tick starts an epoch first
	}
	r.rebuild(now, service)
	r.flush(now)
}

// begin starts an epoch above all known ones. Endpoints of the sets known from before become members that were just
// heard, and all sets go out in the new epoch, so that late sets of the owner before lose.
func (r *Registrar) begin(now time.Time) {
	o := r.owner
	o.epoch = epochAfter(r.catalogue.highest(r.config.DataCentre), max(o.epoch, seats*o.lease+o.seat), o.seat)
	o.begun = true
	o.contested = false
	o.urgent = true
	clear(o.changed)
	own := r.catalogue.list(func(g group.Group) bool { return g.DataCentre() == r.config.DataCentre })
	for _, g := range own {
		for _, e := range g.Endpoints() {
			r.inherit(now, e)
		}
		o.sequence++
		o.changed[g.Service()] = group.New(g.DataCentre(), g.Service(), o.epoch, o.sequence, g.Endpoints())
	}
}

// epochAfter returns the lowest epoch of a lease index that is at least the wanted one and above the highest known one.
// The epochs of the two leases count separately. Without an own remainder for each, a relay that takes the ownership
// while the other still has it could send another content under the same epoch and sequence.
func epochAfter(highest, wanted, seat uint64) uint64 {
	epoch := max(wanted, highest+1)
	return epoch + (seat+seats-epoch%seats)%seats
}

// inherit makes a member of an endpoint that the owner before had in a set.
func (r *Registrar) inherit(now time.Time, e endpoint.Endpoint) {
	m := r.members.byAddress[e.Address()]
	if m != nil && m.endpoint.Incarnation() >= e.Incarnation() {
		return
	}
	heard := now
	if e.State() == endpoint.Suspect {
		e = e.WithState(endpoint.Ready)
		heard = now.Add(-suspecter.SuspectAfter)
	}
	if r.catalogue.left(e.Address(), e.Incarnation()) {
		e = e.WithState(endpoint.Leaving)
	}
	r.members.put(&member{endpoint: e, heard: heard})
}

// rebuild decides on one service and keeps the set for sending if it changed.
func (r *Registrar) rebuild(now time.Time, service string) {
	o := r.owner
	verdicts := r.judge(now, service)
	k := setKey{dataCentre: r.config.DataCentre, service: service}
	held, pending := o.changed[service]
	if !pending {
		held = r.catalogue.sets[k]
	}
	next, left := r.compose(now, service, held, verdicts)
	if slices.Equal(next, held.Endpoints()) {
		return
	}
	o.sequence++
	o.changed[service] = group.New(k.dataCentre, service, o.epoch, o.sequence, next)
	o.urgent = o.urgent || left
}

// judge returns the verdicts on a service's members and removes those that are dropped.
func (r *Registrar) judge(now time.Time, service string) map[string]suspecter.Verdict {
	o := r.owner
	o.dropped[service] = slices.DeleteFunc(o.dropped[service], func(t time.Time) bool { return now.Sub(t) > dropWindow })
	var evidence []suspecter.Evidence
	for a, m := range r.members.byService[service] {
		failed := !m.probed.IsZero() && now.Sub(m.probed) >= probeWait
		evidence = append(evidence, suspecter.NewEvidence(a, now.Sub(m.heard)).
			WithUnlinked(m.unlinked).WithProbeFailed(failed).WithLeaving(m.endpoint.State() == endpoint.Leaving))
	}
	verdicts := suspecter.EvaluateAll(evidence, len(o.dropped[service]))
	for a, v := range verdicts {
		if v != suspecter.Drop {
			continue
		}
		if r.members.byAddress[a].endpoint.State() != endpoint.Leaving {
			o.dropped[service] = append(o.dropped[service], now)
		}
		r.members.remove(a)
	}
	return verdicts
}

// compose returns a service's endpoints in order of address, and whether one of those held takes no more calls.
func (r *Registrar) compose(now time.Time, service string, held group.Group, verdicts map[string]suspecter.Verdict) ([]endpoint.Endpoint, bool) {
	before := map[string]endpoint.Endpoint{}
	for _, e := range held.Endpoints() {
		before[e.Address()] = e
	}
	var next []endpoint.Endpoint
	left := false
	for a, m := range r.members.byService[service] {
		e := m.endpoint.WithJoined(now)
		old, stays := before[a]
		if stays && old.Incarnation() == e.Incarnation() {
			e = e.WithJoined(old.Joined())
		}
		if verdicts[a] == suspecter.Suspect && e.State() == endpoint.Ready {
			e = e.WithState(endpoint.Suspect)
		}
		if stays && e.State() == endpoint.Leaving && old.State() != endpoint.Leaving {
			left = true
		}
		next = append(next, e)
	}
	slices.SortFunc(next, func(a, b endpoint.Endpoint) int { return cmp.Compare(a.Address(), b.Address()) })
	return next, left
}

// flush sends the changed sets, at once after a quiet time and otherwise batched.
func (r *Registrar) flush(now time.Time) {
	o := r.owner
	if len(o.changed) == 0 {
		return
	}
	if due := o.flushed.Add(batchTime); now.Before(due) && !o.urgent {
		r.wake(now, due)
		return
	}
	o.flushed = now
	o.urgent = false
	var gs []group.Group
	for _, s := range slices.Sorted(maps.Keys(o.changed)) {
		g := o.changed[s]
		r.catalogue.put(g)
		r.show(g)
		r.archive.change(g)
		gs = append(gs, g)
	}
	clear(o.changed)
	r.forward(r.peers(), gs, nil)
	r.forward(r.roster.RemoteGateways(), gs, nil)
	r.push(gs, nil)
}

// sortDepartures orders departures by address.
func sortDepartures(ds []notice.Departure) {
	slices.SortFunc(ds, func(a, b notice.Departure) int { return cmp.Compare(a.Address(), b.Address()) })
}
