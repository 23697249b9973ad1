package relayer

import (
	"time"

	"wisteriaspoke.example/mesh/effect"
	"wisteriaspoke.example/mesh/event"
	"wisteriaspoke.example/mesh/leaser"
	"wisteriaspoke.example/mesh/object"
)

const (
	// seedQueryTime is how long a node only queries seeds before it reads the leases from the store.
	seedQueryTime = 500 * time.Millisecond
	// relistPeriod is the time between a relay's reads of the leases, which find relays that no message mentions.
	relistPeriod = 10 * time.Second
)

// finder is the state of the search for relays.
type finder struct {
	leasesSeen     bool // a relay, a peer or the store sent the leases
	queryBackoff   backoff
	searchingSince time.Time // when the node lost its last relay
	nextListAt     time.Time
}

func (r *relayer) tickFinder() {
	if r.leaseIndex >= 0 {
		if !r.now.Before(r.finder.nextListAt) {
			r.finder.nextListAt = r.now.Add(relistPeriod)
			r.listLeases()
		}
		return
	}
	if r.client.connected(r.now) {
		r.finder.searchingSince = time.Time{}
		r.finder.queryBackoff = backoff{}
		return
	}
	if r.finder.searchingSince.IsZero() {
		r.finder.searchingSince = r.now
		r.finder.nextListAt = r.now.Add(seedQueryTime/2 + r.jitter(seedQueryTime/2))
	}
	if !r.now.Before(r.finder.queryBackoff.until) {
		r.querySeed()
		r.backOff(&r.finder.queryBackoff)
	}
	if !r.now.Before(r.finder.nextListAt) {
		r.finder.nextListAt = r.now.Add(lastBackoff/2 + r.jitter(lastBackoff))
		r.listLeases()
	}
}

func (r *relayer) querySeed() {
	if n := len(r.config.Seeds); n > 0 {
		r.send(r.config.Seeds[r.config.Rand.IntN(n)], relayQueryKind, &relayQuery{})
	}
}

func (r *relayer) listLeases() {
	r.request(effect.List, object.New(leaser.Plural, "", "", nil), false, func(e event.Event) {
		if e.Err() != nil {
			return
		}
		r.finder.leasesSeen = true
		for _, o := range e.Objects() {
			if c, err := leaser.Decode(o); err == nil && c.DataCentre() != "" {
				r.mergeLease(leaseInfoOf(c))
			}
		}
		r.tickClient()
		r.updateRoster()
	})
}

func (r *relayer) receiveRelayQuery(peer string) {
	m := &relayAnswer{DataCentre: r.config.DataCentre, Version: r.versionFloor.published}
	m.Leases = r.leaseTable.leaseInfos(r.now, func(h *knownLease) bool { return h.live(r.now) })
	r.send(peer, relayAnswerKind, m)
}

func (r *relayer) receiveRelayAnswer(peer string, m *relayAnswer) {
	r.versionFloor.peerVersions[peer] = peerVersion{centre: m.DataCentre, version: m.Version, receivedAt: r.now}
	if len(m.Leases) > 0 {
		r.finder.leasesSeen = true
		r.mergeLeases(m.Leases)
		r.tickClient()
	}
	r.updateRoster()
}
