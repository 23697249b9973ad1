package registrar

import (
	"math/rand/v2"
	"slices"
	"time"

	"wisteriaspoke.example/mesh/endpoint"
	"wisteriaspoke.example/mesh/machine"
	"wisteriaspoke.example/mesh/notice"
)

// Back-off of a node that talks to a relay for the first time or gets no answer. The first wait is drawn between zero
// and minBackoff, so that the nodes of a dead relay do not reach the next one in the same millisecond.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 5 * time.Second
)

// contact is an exchange with one relay that is repeated until the relay answers.
type contact struct {
	next time.Time // zero when answered
	wait time.Duration
}

// start plans the next attempt after a random part of the shortest wait.
func (c *contact) start(now time.Time, r *rand.Rand) {
	c.wait = minBackoff
	c.next = now.Add(time.Duration(r.Int64N(int64(minBackoff))))
}

// due reports whether to try now, and plans the attempt after it.
func (c *contact) due(now time.Time, r *rand.Rand) bool {
	if c.next.IsZero() || now.Before(c.next) {
		return false
	}
	c.next = now.Add(c.wait + time.Duration(r.Int64N(int64(c.wait)/2)))
	c.wait = min(2*c.wait, maxBackoff)
	return true
}

func (c *contact) end() { c.next = time.Time{} }

// announcer keeps the relays informed of the local upstream.
type announcer struct {
	config   machine.Config
	state    endpoint.State
	number   uint64
	relays   []string
	contacts map[string]*contact
}

func newAnnouncer(c machine.Config) *announcer {
	a := &announcer{config: c, state: endpoint.Starting, contacts: map[string]*contact{}}
	if c.Service != "" {
		a.number = 1
	}
	return a
}

// change notes the upstream's state; leaving is final within one incarnation.
func (a *announcer) change(s endpoint.State) {
	if a.config.Service == "" || s == a.state || a.state == endpoint.Leaving {
		return
	}
	a.state = s
	a.number++
	for _, p := range a.relays {
		a.contacts[p] = &contact{wait: minBackoff, next: time.Unix(1, 0)}
	}
}

// follow takes the relays of the data centre; new ones are informed after a random wait.
func (a *announcer) follow(now time.Time, relays []string) {
	for p := range a.contacts {
		if !slices.Contains(relays, p) {
			delete(a.contacts, p)
		}
	}
	for _, p := range relays {
		if a.contacts[p] == nil {
			a.contacts[p] = &contact{}
			a.again(now, p)
		}
	}
	a.relays = relays
}

// again plans an announcement to one relay that lacks it.
func (a *announcer) again(now time.Time, peer string) {
	c := a.contacts[peer]
	if c == nil || a.number == 0 || !c.next.IsZero() {
		return
	}
	c.start(now, a.config.Rand)
}

// confirm ends the repetition towards a relay that has the latest announcement.
func (a *announcer) confirm(peer string, b *notice.Receipt) {
	c := a.contacts[peer]
	if c != nil && b.Incarnation() == a.config.Incarnation && b.Sequence() == a.number {
		c.end()
	}
}

// endpoint returns the announcement's content.
func (a *announcer) endpoint() endpoint.Endpoint {
	return endpoint.New(endpoint.Fields{
		Address: a.config.Node, Service: a.config.Service, Version: a.config.Version,
		DataCentre: a.config.DataCentre, Region: a.config.Region, Slots: a.config.Slots,
		State: a.state, Incarnation: a.config.Incarnation, Joined: time.UnixMilli(0),
	})
}

// announce sends what is due to the relays.
func (r *Registrar) announce(now time.Time) {
	a := r.announcer
	if a.number == 0 {
		return
	}
	for _, p := range a.relays {
		if a.contacts[p].due(now, a.config.Rand) {
			r.send(p, notice.KindAnnouncement, notice.NewAnnouncement(a.endpoint(), a.number))
		}
		r.wake(now, a.contacts[p].next)
	}
}

// queried answers a relay that lacks something of this node.
func (r *Registrar) queried(now time.Time, peer string, q *notice.Query) {
	if q.WantsAnnouncement() {
		r.announcer.again(now, peer)
		r.announce(now)
	}
	if q.WantsSubscription() && r.relay() {
		// A relay that was an ordinary node before ends its subscription.
		r.send(peer, notice.KindSubscription, notice.NewSubscription(0, false, false, nil))
		return
	}
	if q.WantsSubscription() {
		r.reader.again(now, peer)
		r.follow(now)
	}
}
