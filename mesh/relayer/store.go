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

// Rates of store calls, from the design page: a node spends one call in 10 s, a relay 20 in a second. The node's burst
// covers an attempt at each of the two leases (two reads and a write) soon after its start; with 4 tokens, vacancies
// stayed open for over 10 s in the tests.
const (
	nodeRate, nodeBurst   = 0.1, 10
	relayRate, relayBurst = 20, 20
)

// readReserve is the number of tokens that only lease and head calls may use.
const readReserve = 6

type store struct {
	budget  bucket
	serial  uint64
	pending map[string]func(event.Event)
	out     bool // the last answer was that the store is unavailable
}

func newStore() store {
	return store{budget: newBucket(nodeRate, nodeBurst), pending: map[string]func(event.Event){}}
}

// request asks the store within the node's budget and reports whether it did; urgent calls may use the whole budget.
func (r *relayer) request(k effect.Kind, o object.Object, urgent bool, done func(event.Event)) bool {
	reserve := float64(readReserve)
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
	r.store.serial++
	return name + "/" + strconv.FormatUint(r.store.serial, 10)
}

func (r *relayer) answered(e event.Event) {
	done := r.store.pending[e.ID()]
	if done == nil || !strings.HasPrefix(e.ID(), name+"/") {
		return
	}
	delete(r.store.pending, e.ID())
	r.store.out = fault.KindOf(e.Err()) == fault.Unavailable
	done(e)
}

func (r *relayer) tickStore() {}

// backoff doubles from the first to the last delay and is jittered by half, so that clients do not return in step.
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
