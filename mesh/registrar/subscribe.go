package registrar

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"wisteriaspoke.example/mesh/config"
	"wisteriaspoke.example/mesh/effect"
	"wisteriaspoke.example/mesh/group"
	"wisteriaspoke.example/mesh/machine"
	"wisteriaspoke.example/mesh/notice"
)

// heartbeatPeriod is the time between heartbeats.
const heartbeatPeriod = time.Second

// differenceDelay is how long two digests must differ before sets are pulled. A change takes at most 25 ms from one
// region to another, and a digest sent just before it must not cause a pull.
const differenceDelay = 150 * time.Millisecond

// difference records that a peer's digest of a scope differs from the node's own.
type difference struct {
	peer  string
	sum   uint64
	since time.Time
}

// subscriber maintains the node's subscription at the relays of its data centre.
type subscriber struct {
	config        machine.Config
	configured    bool // a configuration is in force
	answered      bool // a relay has answered the subscription of that configuration
	dependencies  []string
	demanded      map[string]bool
	subscription  *notice.Subscription
	relays        []string
	down          map[string]bool
	retries       map[string]*retryState
	nextHeartbeat time.Time
	differences   map[string]difference // by scope
}

func newSubscriber(c machine.Config) *subscriber {
	sb := &subscriber{
		config: c, configured: c.Service == "", demanded: map[string]bool{}, down: map[string]bool{},
		retries: map[string]*retryState{}, differences: map[string]difference{},
	}
	sb.subscription = sb.nextSubscription()
	return sb
}

// nextSubscription derives the subscription from the configuration and the calls so far. Before a configuration is
// known, a node with an upstream subscribes only to its own service, so that a restart does not transfer all sets.
func (sb *subscriber) nextSubscription() *notice.Subscription {
	sequence := uint64(1)
	if sb.subscription != nil {
		sequence = sb.subscription.Sequence() + 1
	}
	if sb.configured && len(sb.dependencies) == 0 {
		return notice.NewSubscription(sequence, true, false, nil)
	}
	services := slices.Clone(sb.dependencies)
	if sb.config.Service != "" {
		services = append(services, sb.config.Service)
	}
	services = slices.AppendSeq(services, maps.Keys(sb.demanded))
	slices.Sort(services)
	return notice.NewSubscription(sequence, false, false, slices.Compact(services))
}

// wants reports whether the node subscribes to the service.
func (sb *subscriber) wants(service string) bool {
	if sb.subscription.All() {
		return true
	}
	_, found := slices.BinarySearch(sb.subscription.Services(), service)
	return found
}

// renew replaces the subscription and schedules sending it without delay.
func (sb *subscriber) renew(now time.Time) {
	sb.subscription = sb.nextSubscription()
	sb.answered = false
	for _, p := range sb.relays {
		sb.retries[p] = &retryState{backoff: minBackoff, nextAttempt: now}
	}
}

// setRelays sets the relays of the data centre. If they changed, the subscription is sent to all after a random wait.
func (sb *subscriber) setRelays(now time.Time, relays []string) {
	if slices.Equal(sb.relays, relays) {
		return
	}
	sb.relays = relays
	clear(sb.retries)
	for p := range sb.down {
		if !slices.Contains(relays, p) {
			delete(sb.down, p)
		}
	}
	sb.scheduleAll(now)
}

// scheduleAll schedules sending a new subscription to all relays after a random wait.
func (sb *subscriber) scheduleAll(now time.Time) {
	sb.subscription = sb.nextSubscription()
	for _, p := range sb.relays {
		rs := &retryState{}
		rs.schedule(now, sb.config.Rand)
		sb.retries[p] = rs
	}
}

// schedule schedules sending the subscription to one relay that lacks it.
func (sb *subscriber) schedule(now time.Time, peer string) {
	rs := sb.retries[peer]
	if rs == nil || !rs.nextAttempt.IsZero() {
		return
	}
	rs.schedule(now, sb.config.Rand)
}

// activeRelay returns the relay that pushes changes: the first one that is not known to be down.
func (sb *subscriber) activeRelay() string {
	for _, p := range sb.relays {
		if !sb.down[p] {
			return p
		}
	}
	if len(sb.relays) > 0 {
		return sb.relays[0]
	}
	return ""
}

// setDown records whether a relay is down, which may make another relay the active one.
func (sb *subscriber) setDown(now time.Time, peer string, down bool) {
	if !slices.Contains(sb.relays, peer) || sb.down[peer] == down {
		return
	}
	before := sb.activeRelay()
	sb.down[peer] = down
	if sb.activeRelay() != before {
		sb.scheduleAll(now)
	}
}

// handleDigest compares a digest with the sets held. A difference is rechecked after differenceDelay, unless the
// digest replies to a new subscription: then the sets do differ and are pulled at the next check. A peer with equal sets
// does not clear the difference of another peer that holds newer ones.
func (r *Registrar) handleDigest(now time.Time, peer string, d *notice.Digest) {
	sb := r.subscriber
	since := now
	if rs := sb.retries[peer]; rs != nil && !rs.nextAttempt.IsZero() {
		rs.stop()
		since = now.Add(-differenceDelay)
		sb.answered = sb.configured
	}
	for scope, sum := range d.Sums() {
		old, known := sb.differences[scope]
		if r.scopeDigest(scope) == sum {
			if known && old.peer == peer {
				delete(sb.differences, scope)
			}
			continue
		}
		if known && old.since.Before(since) {
			continue
		}
		sb.differences[scope] = difference{peer: peer, sum: sum, since: since}
	}
}

func (r *Registrar) applyConfig(now time.Time, c config.Config) {
	sb := r.subscriber
	var dependencies []string
	if s, ok := c.Services()[r.config.Service]; ok {
		dependencies = s.Dependencies()
	}
	if sb.configured && slices.Equal(dependencies, sb.dependencies) {
		return
	}
	sb.configured = true
	sb.dependencies = slices.Clone(dependencies)
	r.resubscribe(now)
}

func (r *Registrar) subscribeTo(now time.Time, service string) {
	if r.subscriber.wants(service) {
		return
	}
	r.subscriber.demanded[service] = true
	r.resubscribe(now)
}

// resubscribe renews the subscription, removes sets outside it and publishes held sets that are new in it.
func (r *Registrar) resubscribe(now time.Time) {
	before := r.subscriber.subscription
	r.subscriber.renew(now)
	if !r.isRelay() {
		r.catalogue.retainServices(r.subscriber.wants)
		r.sendDue(now)
		return
	}
	for _, g := range r.catalogue.list(func(g group.Group) bool { return r.subscriber.wants(g.Service()) }) {
		if !before.All() && !slices.Contains(before.Services(), g.Service()) {
			r.publish(g)
		}
	}
}

// sendDue sends due heartbeats and subscriptions, and pulls differing sets. A relay holds all sets and subscribes to
// none.
func (r *Registrar) sendDue(now time.Time) {
	sb := r.subscriber
	r.sendHeartbeats(now)
	if r.isRelay() {
		return
	}
	for _, p := range sb.relays {
		if sb.retries[p].due(now, sb.config.Rand) {
			i := sb.subscription
			active := p == sb.activeRelay()
			r.send(p, notice.KindSubscription, notice.NewSubscription(i.Sequence(), i.All(), active, i.Services()))
		}
		r.requestWake(now, sb.retries[p].nextAttempt)
	}
	r.pullDifferences(now)
}

// sendHeartbeats sends a heartbeat to each relay once per period, with a random offset per node.
func (r *Registrar) sendHeartbeats(now time.Time) {
	sb := r.subscriber
	if sb.nextHeartbeat.IsZero() {
		sb.nextHeartbeat = now.Add(time.Duration(r.config.Rand.Int64N(int64(heartbeatPeriod))))
	}
	if now.Before(sb.nextHeartbeat) {
		return
	}
	sb.nextHeartbeat = now.Add(heartbeatPeriod - jitterOf(r.config.Rand))
	var subscription *notice.Subscription
	var sum uint64
	if !r.isRelay() {
		subscription, sum = sb.subscription, r.catalogue.sum(sb.subscription)
	}
	identity := identityOf(r.config.Incarnation, r.announcer.sequence, subscription)
	for _, p := range sb.relays {
		r.send(p, notice.KindHeartbeat, notice.NewHeartbeat(identity, sum))
	}
	if r.isRelay() {
		r.sendDigests()
	}
}

// identityOf returns a digest of the state a relay should hold of a node: its latest announcement, if the sequence is
// not 0, and its subscription, which is nil for a relay.
func identityOf(incarnation, sequence uint64, i *notice.Subscription) uint64 {
	d := xxhash.New()
	if sequence > 0 {
		_, _ = fmt.Fprintf(d, "%d/%d", incarnation, sequence)
	}
	if i != nil {
		_, _ = fmt.Fprintf(d, "/%d/%v/%q", i.Sequence(), i.All(), i.Services())
	}
	return d.Sum64()
}

// jitterOf returns the random part of a heartbeat period, so that nodes do not send in lockstep.
func jitterOf(r *rand.Rand) time.Duration {
	return time.Duration(r.Int64N(int64(heartbeatPeriod / 10)))
}

// pullDifferences pulls the scopes whose sets have differed from a peer's for differenceDelay. An owner also does so
// for its own data centre: a relay that was briefly the owner may have sent a higher epoch only to nodes.
func (r *Registrar) pullDifferences(now time.Time) {
	scopes := map[string][]string{}
	for scope, d := range r.subscriber.differences {
		if r.scopeDigest(scope) == d.sum {
			delete(r.subscriber.differences, scope)
			continue
		}
		if now.Sub(d.since) < differenceDelay {
			continue
		}
		delete(r.subscriber.differences, scope)
		scopes[d.peer] = append(scopes[d.peer], scope)
	}
	for _, p := range slices.Sorted(maps.Keys(scopes)) {
		slices.Sort(scopes[p])
		r.send(p, notice.KindPull, notice.NewPull(scopes[p], r.heldVersions(scopes[p])))
	}
}

// scopeDigest returns the digest of one scope.
func (r *Registrar) scopeDigest(scope string) uint64 {
	if scope == "" {
		return r.catalogue.sum(r.subscriber.subscription)
	}
	return r.catalogue.byCentre[scope]
}

// heldVersions returns the versions of the sets held in the scopes, or of all sets if there are no scopes.
func (r *Registrar) heldVersions(scopes []string) []notice.SetVersion {
	gs := r.catalogue.list(func(g group.Group) bool { return inScope(g, scopes) })
	ms := make([]notice.SetVersion, 0, len(gs))
	for _, g := range gs {
		ms = append(ms, notice.NewSetVersion(g))
	}
	return ms
}

// inScope reports whether the set belongs to one of the scopes; no scopes or an empty one means all.
func inScope(g group.Group, scopes []string) bool {
	return len(scopes) == 0 || slices.Contains(scopes, "") || slices.Contains(scopes, g.DataCentre())
}

// requestWake requests a step at the given time if the next tick would be too late.
func (r *Registrar) requestWake(now, at time.Time) {
	if at.IsZero() || at.Sub(now) > tickPeriod || (r.wakeAt.After(now) && !r.wakeAt.After(at)) {
		return
	}
	r.wakeAt = at
	r.effects = append(r.effects, effect.NewWake(at))
}
