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

// batchPeriod is the minimum time between two messages with changed sets, unless an endpoint leaves.
const batchPeriod = 50 * time.Millisecond

// dropWindow is how long a drop counts towards the share of a set that may be dropped together. Without it a lasting
// network partition would remove a set third by third.
const dropWindow = time.Minute

// leasesPerCentre is the number of relay leases of a data centre.
const leasesPerCentre = 2

// owner is the state of the relay that decides on the contents of its data centre's sets.
type owner struct {
	leaseEpoch   uint64
	leaseIndex   uint64
	epoch        uint64 // epoch of the sets, derived from the lease and the highest known epoch
	sequence     uint64
	epochStarted bool // the epoch is chosen and its sets are queued
	contested    bool // another node sent a newer set of this data centre
	flushedAt    time.Time
	unsent       map[string]group.Group
	urgent       bool
	recentDrops  map[string][]time.Time // by service
}

// updateOwnership starts or ends ownership as the roster states.
func (r *Registrar) updateOwnership(old roster.Roster) {
	if !r.roster.IsOwner() || r.roster.LeaseIndex() < 0 {
		r.owner = nil
		return
	}
	if r.owner != nil && old.Epoch() == r.roster.Epoch() && old.LeaseIndex() == r.roster.LeaseIndex() {
		return
	}
	r.owner = &owner{
		leaseEpoch: r.roster.Epoch(), leaseIndex: uint64(r.roster.LeaseIndex()),
		unsent: map[string]group.Group{}, recentDrops: map[string][]time.Time{},
	}
}

// canDecide reports whether this node may change its data centre's sets now.
func (r *Registrar) canDecide(now time.Time) bool {
	return r.owner != nil && !now.Before(r.decideAfter) && r.settled(now)
}

// decide re-evaluates all services of the data centre and sends changed sets.
func (r *Registrar) decide(now time.Time) {
	if !r.canDecide(now) {
		return
	}
	if !r.owner.epochStarted || r.owner.contested {
		r.startEpoch(now)
	}
	for _, a := range slices.Sorted(maps.Keys(r.members.byAddress)) {
		r.sendProbes(now, r.members.byAddress[a])
	}
	for _, s := range slices.Sorted(maps.Keys(r.members.byService)) {
		r.rebuild(now, s)
	}
	r.flush(now)
}

// decideService re-evaluates one service immediately, after an event that concerns it.
func (r *Registrar) decideService(now time.Time, service string) {
	if !r.canDecide(now) || !r.owner.epochStarted || r.owner.contested {
		return // the next tick starts an epoch first
	}
	r.rebuild(now, service)
	r.flush(now)
}

// startEpoch starts an epoch above all known ones. Endpoints of the held sets become members that were just heard,
// and all sets are sent in the new epoch, so that they supersede late sets of the previous owner.
func (r *Registrar) startEpoch(now time.Time) {
	o := r.owner
	o.epoch = epochAfter(r.catalogue.highestEpoch(r.config.DataCentre),
		max(o.epoch, leasesPerCentre*o.leaseEpoch+o.leaseIndex), o.leaseIndex)
	o.epochStarted = true
	o.contested = false
	o.urgent = true
	clear(o.unsent)
	own := r.catalogue.list(func(g group.Group) bool { return g.DataCentre() == r.config.DataCentre })
	for _, g := range own {
		for _, e := range g.Endpoints() {
			r.adoptEndpoint(now, e)
		}
		o.sequence++
		o.unsent[g.Service()] = group.New(g.DataCentre(), g.Service(), o.epoch, o.sequence, g.Endpoints())
	}
}

// epochAfter returns the lowest epoch of a lease index that is at least the minimum and above the highest known one.
// Each lease index uses epochs of its own remainder. Otherwise a relay that becomes the owner while the other one still
// is could send different content under the same epoch and sequence.
func epochAfter(highest, minimum, leaseIndex uint64) uint64 {
	epoch := max(minimum, highest+1)
	return epoch + (leaseIndex+leasesPerCentre-epoch%leasesPerCentre)%leasesPerCentre
}

// adoptEndpoint adds an endpoint of the previous owner's sets as a member.
func (r *Registrar) adoptEndpoint(now time.Time, e endpoint.Endpoint) {
	m := r.members.byAddress[e.Address()]
	if m != nil && m.endpoint.Incarnation() >= e.Incarnation() {
		return
	}
	heard := now
	if e.State() == endpoint.Suspect {
		e = e.WithState(endpoint.Ready)
		heard = now.Add(-suspecter.SuspectAfter)
	}
	if r.catalogue.hasDeparted(e.Address(), e.Incarnation()) {
		e = e.WithState(endpoint.Leaving)
	}
	r.members.put(&member{endpoint: e, heard: heard})
}

// rebuild recomputes the set of one service and queues it for sending if it changed.
func (r *Registrar) rebuild(now time.Time, service string) {
	o := r.owner
	verdicts := r.evaluateMembers(now, service)
	k := setKey{dataCentre: r.config.DataCentre, service: service}
	held, pending := o.unsent[service]
	if !pending {
		held = r.catalogue.sets[k]
	}
	next, newlyLeaving := r.composeSet(now, service, held, verdicts)
	if slices.Equal(next, held.Endpoints()) {
		return
	}
	o.sequence++
	o.unsent[service] = group.New(k.dataCentre, service, o.epoch, o.sequence, next)
	o.urgent = o.urgent || newlyLeaving
}

// evaluateMembers returns the verdicts on a service's members and removes those that are dropped.
func (r *Registrar) evaluateMembers(now time.Time, service string) map[string]suspecter.Verdict {
	o := r.owner
	o.recentDrops[service] = slices.DeleteFunc(o.recentDrops[service], func(t time.Time) bool {
		return now.Sub(t) > dropWindow
	})
	var evidence []suspecter.Evidence
	for a, m := range r.members.byService[service] {
		failed := !m.probeSentAt.IsZero() && now.Sub(m.probeSentAt) >= probeTimeout
		evidence = append(evidence, suspecter.NewEvidence(a, now.Sub(m.heard)).
			WithUnlinked(m.unlinked).WithProbeFailed(failed).WithLeaving(m.endpoint.State() == endpoint.Leaving))
	}
	verdicts := suspecter.EvaluateAll(evidence, len(o.recentDrops[service]))
	for a, v := range verdicts {
		if v != suspecter.Drop {
			continue
		}
		if r.members.byAddress[a].endpoint.State() != endpoint.Leaving {
			o.recentDrops[service] = append(o.recentDrops[service], now)
		}
		r.members.remove(a)
	}
	return verdicts
}

// composeSet returns a service's endpoints in order of address, and whether an endpoint of the held set began to leave.
func (r *Registrar) composeSet(
	now time.Time, service string, held group.Group, verdicts map[string]suspecter.Verdict,
) ([]endpoint.Endpoint, bool) {
	before := map[string]endpoint.Endpoint{}
	for _, e := range held.Endpoints() {
		before[e.Address()] = e
	}
	var next []endpoint.Endpoint
	newlyLeaving := false
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
			newlyLeaving = true
		}
		next = append(next, e)
	}
	slices.SortFunc(next, func(a, b endpoint.Endpoint) int { return cmp.Compare(a.Address(), b.Address()) })
	return next, newlyLeaving
}

// flush sends the changed sets: immediately if urgent or if batchPeriod has passed, otherwise batched.
func (r *Registrar) flush(now time.Time) {
	o := r.owner
	if len(o.unsent) == 0 {
		return
	}
	if due := o.flushedAt.Add(batchPeriod); now.Before(due) && !o.urgent {
		r.requestWake(now, due)
		return
	}
	o.flushedAt = now
	o.urgent = false
	var gs []group.Group
	for _, s := range slices.Sorted(maps.Keys(o.unsent)) {
		g := o.unsent[s]
		r.catalogue.put(g)
		r.publishAndRaise(g)
		r.archive.setGroup(g)
		gs = append(gs, g)
	}
	clear(o.unsent)
	r.forward(r.peers(), gs, nil)
	r.forward(r.roster.RemoteGateways(), gs, nil)
	r.pushToClients(gs, nil)
}

// sortDepartures orders departures by address.
func sortDepartures(ds []notice.Departure) {
	slices.SortFunc(ds, func(a, b notice.Departure) int { return cmp.Compare(a.Address(), b.Address()) })
}
