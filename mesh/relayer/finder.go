package relayer

import (
	"time"

	"wisteriaspoke.example/mesh/effect"
	"wisteriaspoke.example/mesh/event"
	"wisteriaspoke.example/mesh/leaser"
	"wisteriaspoke.example/mesh/object"
)

const (
	// listAfter is how long a node asks seeds before it reads the leases from the store.
	listAfter = 500 * time.Millisecond
	// relistPeriod is how often a relay reads the leases, to find relays that no message names.
	relistPeriod = 10 * time.Second
)

// finder is the search for relays.
type finder struct {
	found  bool // the node has seen the leases, from a relay or the store
	ask    backoff
	since  time.Time // when the node began to have no relay
	listAt time.Time
}

func (r *relayer) tickFinder() {
	if r.seat >= 0 {
		if !r.now.Before(r.finder.listAt) {
			r.finder.listAt = r.now.Add(relistPeriod)
			r.listLeases()
		}
		return
	}
	if r.client.connected(r.now) {
		r.finder.since = time.Time{}
		r.finder.ask = backoff{}
		return
	}
	if r.finder.since.IsZero() {
		r.finder.since = r.now
		r.finder.listAt = r.now.Add(listAfter/2 + r.jitter(listAfter/2))
	}
	if !r.now.Before(r.finder.ask.until) {
		r.askSeed()
		r.backOff(&r.finder.ask)
	}
	if !r.now.Before(r.finder.listAt) {
		r.finder.listAt = r.now.Add(lastBackoff/2 + r.jitter(lastBackoff))
		r.listLeases()
	}
}

func (r *relayer) askSeed() {
	if n := len(r.config.Seeds); n > 0 {
		r.send(r.config.Seeds[r.config.Rand.IntN(n)], askKind, &ask{})
	}
}

func (r *relayer) listLeases() {
	r.request(effect.List, object.New(leaser.Plural, "", "", nil), false, func(e event.Event) {
		if e.Err() != nil {
			return
		}
		r.finder.found = true
		for _, o := range e.Objects() {
			if c, err := leaser.Decode(o); err == nil && c.DataCentre() != "" {
				r.noteSeat(seatOf(c))
			}
		}
		r.tickClient()
		r.updateRoster()
	})
}

func (r *relayer) receiveAsk(peer string) {
	k := &known{DataCentre: r.config.DataCentre, Version: r.floor.published}
	k.Leases = r.table.seats(r.now, func(h *holding) bool { return h.live(r.now) })
	r.send(peer, knownKind, k)
}

func (r *relayer) receiveKnown(peer string, k *known) {
	r.floor.answers[peer] = answer{centre: k.DataCentre, version: k.Version, at: r.now}
	if len(k.Leases) > 0 {
		r.finder.found = true
		r.merge(k.Leases)
		r.tickClient()
	}
	r.updateRoster()
}
