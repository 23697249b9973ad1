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

// beatPeriod is the time between heartbeats.
const beatPeriod = time.Second

// settleTime is how long a difference between two digests may last before sets are pulled. A change takes at most 25 ms
// from one region to another, and the digest sent just before it must not cause a pull.
const settleTime = 150 * time.Millisecond

// difference is a scope in which another node holds other sets.
type difference struct {
	peer string
	sum  uint64
	at   time.Time
}

// reader keeps the node's subscription with the relays of its data centre.
type reader struct {
	config      machine.Config
	known       bool // a configuration is in force
	compared    bool // a relay has answered the subscription that follows from it
	depends     []string
	demanded    map[string]bool
	interest    *notice.Subscription
	relays      []string
	down        map[string]bool
	contacts    map[string]*contact
	beat        time.Time
	differences map[string]difference // by scope
}

func newReader(c machine.Config) *reader {
	rd := &reader{
		config: c, known: c.Service == "", demanded: map[string]bool{}, down: map[string]bool{},
		contacts: map[string]*contact{}, differences: map[string]difference{},
	}
	rd.interest = rd.next()
	return rd
}

// next returns the subscription that follows from the configuration and the calls so far. Before a configuration is
// known, a node with an upstream wants only its own service, so that a restart does not transfer all sets.
func (rd *reader) next() *notice.Subscription {
	number := uint64(1)
	if rd.interest != nil {
		number = rd.interest.Sequence() + 1
	}
	if rd.known && len(rd.depends) == 0 {
		return notice.NewSubscription(number, true, false, nil)
	}
	services := slices.Clone(rd.depends)
	if rd.config.Service != "" {
		services = append(services, rd.config.Service)
	}
	services = slices.AppendSeq(services, maps.Keys(rd.demanded))
	slices.Sort(services)
	return notice.NewSubscription(number, false, false, slices.Compact(services))
}

// wants reports whether the node subscribes to the service.
func (rd *reader) wants(service string) bool {
	if rd.interest.All() {
		return true
	}
	_, found := slices.BinarySearch(rd.interest.Services(), service)
	return found
}

// renew replaces the subscription and plans its sending without delay.
func (rd *reader) renew(now time.Time) {
	rd.interest = rd.next()
	rd.compared = false
	for _, p := range rd.relays {
		rd.contacts[p] = &contact{wait: minBackoff, next: now}
	}
}

// follow takes the relays of the data centre. If the one that pushes changes, all are told after a random wait.
func (rd *reader) follow(now time.Time, relays []string) {
	if slices.Equal(rd.relays, relays) {
		return
	}
	rd.relays = relays
	clear(rd.contacts)
	for p := range rd.down {
		if !slices.Contains(relays, p) {
			delete(rd.down, p)
		}
	}
	rd.resend(now)
}

// resend plans the sending of the subscription to all relays after a random wait.
func (rd *reader) resend(now time.Time) {
	rd.interest = rd.next()
	for _, p := range rd.relays {
		c := &contact{}
		c.start(now, rd.config.Rand)
		rd.contacts[p] = c
	}
}

// again plans the sending of the subscription to one relay that lacks it.
func (rd *reader) again(now time.Time, peer string) {
	c := rd.contacts[peer]
	if c == nil || !c.next.IsZero() {
		return
	}
	c.start(now, rd.config.Rand)
}

// active returns the relay that pushes changes: the first one that is not known to be down.
func (rd *reader) active() string {
	for _, p := range rd.relays {
		if !rd.down[p] {
			return p
		}
	}
	if len(rd.relays) > 0 {
		return rd.relays[0]
	}
	return ""
}

// mark notes whether a relay is down, which may move the pushing to another one.
func (rd *reader) mark(now time.Time, peer string, down bool) {
	if !slices.Contains(rd.relays, peer) || rd.down[peer] == down {
		return
	}
	before := rd.active()
	rd.down[peer] = down
	if rd.active() != before {
		rd.resend(now)
	}
}

// note compares a digest with the sets held. A difference is looked at again later, unless the digest answers a new
// subscription: then it is real. A peer that holds the same sets does not hide another one that holds newer sets.
func (r *Registrar) note(now time.Time, peer string, d *notice.Digest) {
	rd := r.reader
	at := now
	if c := rd.contacts[peer]; c != nil && !c.next.IsZero() {
		c.end()
		at = now.Add(-settleTime)
		rd.compared = rd.known
	}
	for scope, sum := range d.Sums() {
		old, known := rd.differences[scope]
		if r.sum(scope) == sum {
			if known && old.peer == peer {
				delete(rd.differences, scope)
			}
			continue
		}
		if known && old.at.Before(at) {
			continue
		}
		rd.differences[scope] = difference{peer: peer, sum: sum, at: at}
	}
}

func (r *Registrar) configure(now time.Time, c config.Config) {
	rd := r.reader
	var depends []string
	if s, ok := c.Services()[r.config.Service]; ok {
		depends = s.Dependencies()
	}
	if rd.known && slices.Equal(depends, rd.depends) {
		return
	}
	rd.known = true
	rd.depends = slices.Clone(depends)
	r.resubscribe(now)
}

func (r *Registrar) demand(now time.Time, service string) {
	if r.reader.wants(service) {
		return
	}
	r.reader.demanded[service] = true
	r.resubscribe(now)
}

// resubscribe renews the subscription, drops what is no longer wanted and hands over what is now wanted and held.
func (r *Registrar) resubscribe(now time.Time) {
	before := r.reader.interest
	r.reader.renew(now)
	if !r.relay() {
		r.catalogue.forget(r.reader.wants)
		r.follow(now)
		return
	}
	for _, g := range r.catalogue.list(func(g group.Group) bool { return r.reader.wants(g.Service()) }) {
		if !before.All() && !slices.Contains(before.Services(), g.Service()) {
			r.publish(g)
		}
	}
}

// follow sends heartbeats and subscriptions that are due, and pulls what differs. A relay holds all sets and subscribes
// to none.
func (r *Registrar) follow(now time.Time) {
	rd := r.reader
	r.beat(now)
	if r.relay() {
		return
	}
	for _, p := range rd.relays {
		if rd.contacts[p].due(now, rd.config.Rand) {
			i := rd.interest
			active := p == rd.active()
			r.send(p, notice.KindSubscription, notice.NewSubscription(i.Sequence(), i.All(), active, i.Services()))
		}
		r.wake(now, rd.contacts[p].next)
	}
	r.compare(now)
}

// beat sends a heartbeat to each relay once in a period, at a moment of the node's own.
func (r *Registrar) beat(now time.Time) {
	rd := r.reader
	if rd.beat.IsZero() {
		rd.beat = now.Add(time.Duration(r.config.Rand.Int64N(int64(beatPeriod))))
	}
	if now.Before(rd.beat) {
		return
	}
	rd.beat = now.Add(beatPeriod - jitterOf(r.config.Rand))
	var interest *notice.Subscription
	var sum uint64
	if !r.relay() {
		interest, sum = rd.interest, r.catalogue.sum(rd.interest)
	}
	identity := identityOf(r.config.Incarnation, r.announcer.number, interest)
	for _, p := range rd.relays {
		r.send(p, notice.KindHeartbeat, notice.NewHeartbeat(identity, sum))
	}
	if r.relay() {
		r.gossip()
	}
}

// identityOf returns a digest of what a relay should know of a node: its latest announcement, if the number is not 0,
// and its subscription, which is nil for a relay.
func identityOf(incarnation, number uint64, i *notice.Subscription) uint64 {
	d := xxhash.New()
	if number > 0 {
		_, _ = fmt.Fprintf(d, "%d/%d", incarnation, number)
	}
	if i != nil {
		_, _ = fmt.Fprintf(d, "/%d/%v/%q", i.Sequence(), i.All(), i.Services())
	}
	return d.Sum64()
}

// jitterOf returns the random part of a heartbeat period, so that nodes do not stay in step.
func jitterOf(r *rand.Rand) time.Duration {
	return time.Duration(r.Int64N(int64(beatPeriod / 10)))
}

// compare pulls the scopes whose sets have differed from a peer's for longer than changes take to travel. An owner does
// so for its own data centre as well: the relay that was owner for a moment may have sent a higher epoch to nodes only.
func (r *Registrar) compare(now time.Time) {
	scopes := map[string][]string{}
	for scope, d := range r.reader.differences {
		if r.sum(scope) == d.sum {
			delete(r.reader.differences, scope)
			continue
		}
		if now.Sub(d.at) < settleTime {
			continue
		}
		delete(r.reader.differences, scope)
		scopes[d.peer] = append(scopes[d.peer], scope)
	}
	for _, p := range slices.Sorted(maps.Keys(scopes)) {
		slices.Sort(scopes[p])
		r.send(p, notice.KindPull, notice.NewPull(scopes[p], r.marks(scopes[p])))
	}
}

// sum returns the digest of one scope.
func (r *Registrar) sum(scope string) uint64 {
	if scope == "" {
		return r.catalogue.sum(r.reader.interest)
	}
	return r.catalogue.byCentre[scope]
}

// marks returns the versions held in the scopes, or all if there are none.
func (r *Registrar) marks(scopes []string) []notice.SetVersion {
	gs := r.catalogue.list(func(g group.Group) bool { return inScope(g, scopes) })
	ms := make([]notice.SetVersion, 0, len(gs))
	for _, g := range gs {
		ms = append(ms, notice.NewSetVersion(g))
	}
	return ms
}

// inScope reports whether the set belongs to one of the scopes; none and the empty scope mean all.
func inScope(g group.Group, scopes []string) bool {
	return len(scopes) == 0 || slices.Contains(scopes, "") || slices.Contains(scopes, g.DataCentre())
}

// wake asks for a step at the time if the next tick would be too late.
func (r *Registrar) wake(now, at time.Time) {
	if at.IsZero() || at.Sub(now) > tickPeriod || (r.woken.After(now) && !r.woken.After(at)) {
		return
	}
	r.woken = at
	r.out = append(r.out, effect.NewWake(at))
}
