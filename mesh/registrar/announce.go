package registrar

import (
	"math/rand/v2"
	"slices"
	"time"

	"wisteriaspoke.example/mesh/endpoint"
	"wisteriaspoke.example/mesh/machine"
	"wisteriaspoke.example/mesh/notice"
)

// Backoff of a node that contacts a relay for the first time or gets no reply. The first wait is random between zero
// and minBackoff, so that the nodes of a dead relay do not all contact the next one in the same millisecond.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 5 * time.Second
)

// retryState schedules a message to one relay that is retried until the relay replies.
type retryState struct {
	nextAttempt time.Time // zero once answered
	backoff     time.Duration
}

// schedule schedules the next attempt after a random part of minBackoff.
func (rs *retryState) schedule(now time.Time, r *rand.Rand) {
	rs.backoff = minBackoff
	rs.nextAttempt = now.Add(time.Duration(r.Int64N(int64(minBackoff))))
}

// due reports whether to send now, and if so schedules the following attempt.
func (rs *retryState) due(now time.Time, r *rand.Rand) bool {
	if rs.nextAttempt.IsZero() || now.Before(rs.nextAttempt) {
		return false
	}
	rs.nextAttempt = now.Add(rs.backoff + time.Duration(r.Int64N(int64(rs.backoff)/2)))
	rs.backoff = min(2*rs.backoff, maxBackoff)
	return true
}

func (rs *retryState) stop() { rs.nextAttempt = time.Time{} }

// announcer announces the local upstream to the relays.
type announcer struct {
	config   machine.Config
	state    endpoint.State
	sequence uint64
	relays   []string
	retries  map[string]*retryState
}

func newAnnouncer(c machine.Config) *announcer {
	a := &announcer{config: c, state: endpoint.Starting, retries: map[string]*retryState{}}
	if c.Service != "" {
		a.sequence = 1
	}
	return a
}

// setState records the upstream's state; leaving is final within one incarnation.
func (a *announcer) setState(s endpoint.State) {
	if a.config.Service == "" || s == a.state || a.state == endpoint.Leaving {
		return
	}
	a.state = s
	a.sequence++
	for _, p := range a.relays {
		a.retries[p] = &retryState{backoff: minBackoff, nextAttempt: time.Unix(1, 0)}
	}
}

// setRelays sets the relays of the data centre; new ones get an announcement after a random wait.
func (a *announcer) setRelays(now time.Time, relays []string) {
	for p := range a.retries {
		if !slices.Contains(relays, p) {
			delete(a.retries, p)
		}
	}
	for _, p := range relays {
		if a.retries[p] == nil {
			a.retries[p] = &retryState{}
			a.schedule(now, p)
		}
	}
	a.relays = relays
}

// schedule schedules an announcement to one relay that lacks it.
func (a *announcer) schedule(now time.Time, peer string) {
	rs := a.retries[peer]
	if rs == nil || a.sequence == 0 || !rs.nextAttempt.IsZero() {
		return
	}
	rs.schedule(now, a.config.Rand)
}

// confirm stops the retries to a relay that has the latest announcement.
func (a *announcer) confirm(peer string, b *notice.Receipt) {
	rs := a.retries[peer]
	if rs != nil && b.Incarnation() == a.config.Incarnation && b.Sequence() == a.sequence {
		rs.stop()
	}
}

// endpoint returns the endpoint to announce.
func (a *announcer) endpoint() endpoint.Endpoint {
	return endpoint.New(endpoint.Fields{
		Address: a.config.Node, Service: a.config.Service, Version: a.config.Version,
		DataCentre: a.config.DataCentre, Region: a.config.Region, Slots: a.config.Slots,
		State: a.state, Incarnation: a.config.Incarnation, Joined: time.UnixMilli(0),
	})
}

// sendAnnouncements sends due announcements to the relays.
func (r *Registrar) sendAnnouncements(now time.Time) {
	a := r.announcer
	if a.sequence == 0 {
		return
	}
	for _, p := range a.relays {
		if a.retries[p].due(now, a.config.Rand) {
			r.send(p, notice.KindAnnouncement, notice.NewAnnouncement(a.endpoint(), a.sequence))
		}
		r.requestWake(now, a.retries[p].nextAttempt)
	}
}

// handleQuery sends a relay the announcement or subscription that it lacks.
func (r *Registrar) handleQuery(now time.Time, peer string, q *notice.Query) {
	if q.WantsAnnouncement() {
		r.announcer.schedule(now, peer)
		r.sendAnnouncements(now)
	}
	if q.WantsSubscription() && r.isRelay() {
		// A relay that was an ordinary node before ends its subscription.
		r.send(peer, notice.KindSubscription, notice.NewSubscription(0, false, false, nil))
		return
	}
	if q.WantsSubscription() {
		r.subscriber.schedule(now, peer)
		r.sendDue(now)
	}
}
