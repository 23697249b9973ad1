package relayer

import (
	"strconv"
	"strings"
	"time"

	"wisteriaspoke.example/mesh/effect"
	"wisteriaspoke.example/mesh/event"
	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/object"
)

// Rates (per second) and bursts of store calls, from the design page: one call in 10 s for a node, 20 a second for a
// relay. The node's burst covers an attempt to claim each of the two leases (two reads and a write) soon after its
// start; with a burst of 4, leases stayed vacant for over 10 s in the tests.
const (
	nodeRate, nodeBurst   = 0.1, 10
	relayRate, relayBurst = 20, 20
)

// urgentReserve is the number of tokens that only lease and head calls may use.
const urgentReserve = 6

type store struct {
	budget      bucket
	lastID      uint64
	pending     map[string]func(event.Event)
	unreachable bool // as the last answer reported
}

func newStore() store {
	return store{budget: newBucket(nodeRate, nodeBurst), pending: map[string]func(event.Event){}}
}

// request sends a request to the store if the node's budget allows it, and reports whether it did; urgent requests may
// use the whole budget.
func (r *relayer) request(k effect.Kind, o object.Object, urgent bool, done func(event.Event)) bool {
	reserve := float64(urgentReserve)
	if urgent {
		reserve = 0
	}
	if !r.store.budget.take(r.now, reserve) {
		return false
	}
	id := r.nextID()
	r.store.pending[id] = done
	r.emit(effect.NewStoreRequest(k, id, o))
	return true
}

func (r *relayer) nextID() string {
	r.store.lastID++
	return name + "/" + strconv.FormatUint(r.store.lastID, 10)
}

func (r *relayer) handleStoreReply(e event.Event) {
	done := r.store.pending[e.ID()]
	if done == nil || !strings.HasPrefix(e.ID(), name+"/") {
		return
	}
	delete(r.store.pending, e.ID())
	r.store.unreachable = fault.KindOf(e.Err()) == fault.Unavailable
	done(e)
}

func (r *relayer) tickStore() {}

// backoff is a delay that doubles from firstBackoff to lastBackoff. Half of it is random, so that clients do not retry
// at the same time.
type backoff struct {
	next  time.Duration
	until time.Time
}

const (
	firstBackoff = 50 * time.Millisecond
	lastBackoff  = 5 * time.Second
)

func (r *relayer) backOff(b *backoff) {
	b.next = min(max(2*b.next, firstBackoff), lastBackoff)
	b.until = r.now.Add(b.next/2 + r.jitter(b.next/2))
	r.wake(b.until)
}
