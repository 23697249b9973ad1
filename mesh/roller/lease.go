package roller

import (
	"encoding/json"
	"time"

	"wisteriaspoke.example/mesh/effect"
	"wisteriaspoke.example/mesh/event"
	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/object"
)

const (
	leasePlural   = "leases"
	leaseDuration = 3 * time.Second
	renewPeriod   = time.Second
	// raceDelay bounds the random delay before a gateway reaches for a free lease.
	raceDelay = 400 * time.Millisecond
	// retryPause is the time before a failed lease request is repeated, short enough for several tries in one lease.
	retryPause = 400 * time.Millisecond
	// maxPause bounds the pause of a node that does not hold the lease; it doubles with each failure, so that all
	// gateways and rollouts together do not hold up a store that recovers.
	maxPause = 3 * time.Second
	// answerLimit is when an answer is given up; the driver ends requests after 2 s.
	answerLimit = 5 * time.Second
)

// leaseSpec is the content of a lease in the store.
type leaseSpec struct {
	Holder   string    `json:"holder"`
	Epoch    uint64    `json:"epoch"`
	Renewed  time.Time `json:"renewed"`  // clock of the holder, when it sent the renewal
	Duration int64     `json:"duration"` // milliseconds
}

// lease is this node's part in the race for one service's lease.
type lease struct {
	view *view
	name string

	object  object.Object // as last seen
	spec    leaseSpec
	seen    time.Time // when this revision was first seen
	held    bool
	expires time.Time // counted from when the last confirmed renewal was sent
	wrote   time.Time // when this node last sent a write of the lease
	stale   bool      // the object must be read before it is written again
	pending string
	sent    time.Time
	next    time.Time
	failed  int // requests in a row
	serial  serial
}

func newLease(v *view, service string, now time.Time) *lease {
	return &lease{
		view: v, name: "roller-" + service, stale: true, serial: serial{name: service + ":lease"},
		next: now.Add(time.Duration(v.node.Rand.Int64N(int64(raceDelay)))),
	}
}

// valid reports whether this node holds the lease now.
func (l *lease) valid(now time.Time) bool { return l.held && now.Before(l.expires) }

// epoch returns the epoch of the lease as last seen, which is this node's while it holds the lease.
func (l *lease) epoch() uint64 { return l.spec.Epoch }

// yield gives the lease up after another holder's writes were seen.
func (l *lease) yield(now time.Time) {
	l.held = false
	l.stale = true
	l.next = now.Add(leaseDuration)
}

// tick renews, reaches for or releases the lease.
func (l *lease) tick(now time.Time, wanted bool) []effect.Effect {
	if l.held && !now.Before(l.expires) {
		l.yield(now)
	}
	if l.pending != "" && now.Sub(l.sent) < answerLimit || now.Before(l.next) {
		return nil
	}
	switch {
	case !l.held && !wanted:
		return nil
	case l.stale:
		return l.request(now, effect.Get, object.New(leasePlural, l.name, "", nil))
	case !l.held:
		l.stale = true
		return nil
	case !wanted:
		return l.write(now, effect.Update, leaseSpec{Epoch: l.spec.Epoch})
	case now.Sub(l.wrote) >= renewPeriod:
		return l.write(now, effect.Update, l.mine(now, l.spec.Epoch))
	}
	return nil
}

func (l *lease) mine(now time.Time, epoch uint64) leaseSpec {
	return leaseSpec{Holder: l.view.node.Node, Epoch: epoch, Renewed: now, Duration: leaseDuration.Milliseconds()}
}

func (l *lease) request(now time.Time, k effect.Kind, o object.Object) []effect.Effect {
	l.pending = l.serial.id()
	l.sent = now
	return []effect.Effect{effect.NewStoreRequest(k, l.pending, o)}
}

func (l *lease) write(now time.Time, k effect.Kind, s leaseSpec) []effect.Effect {
	data, err := json.Marshal(s)
	if err != nil {
		return nil
	}
	l.wrote = now
	return l.request(now, k, object.New(leasePlural, l.name, l.object.Revision(), data))
}

// take reaches for the lease with the following epoch.
func (l *lease) take(now time.Time, k effect.Kind) []effect.Effect {
	return l.write(now, k, l.mine(now, l.spec.Epoch+1))
}

// answered handles the end of the pending request.
func (l *lease) answered(now time.Time, e event.Event, wanted bool) []effect.Effect {
	l.pending = ""
	switch {
	case fault.KindOf(e.Err()) == fault.NotFound:
		l.held = false
		l.object, l.spec = object.Object{}, leaseSpec{}
		if wanted {
			return l.take(now, effect.Create)
		}
		return nil
	case e.Err() != nil:
		l.stale = true
		l.next = now.Add(l.pause() + time.Duration(l.view.node.Rand.Int64N(int64(raceDelay))))
		return nil
	}
	l.failed = 0
	l.note(now, e.Object())
	l.stale = false
	if l.standsFor(now) {
		l.held = true
		l.expires = l.wrote.Add(leaseDuration)
		return nil
	}
	l.held = false
	l.stale = true
	if !wanted {
		return nil
	}
	return l.contend(now)
}

// pause returns the time until the next try after a failure.
func (l *lease) pause() time.Duration {
	if l.held {
		return retryPause
	}
	l.failed++
	return backOff(retryPause, maxPause, l.failed)
}

// backOff doubles the first pause with each failure in a row.
func backOff(first, most time.Duration, failed int) time.Duration {
	for range failed - 1 {
		if first *= 2; first >= most {
			return most
		}
	}
	return first
}

// standsFor reports whether the lease as read is this node's last write and has not expired. Both times are compared on
// this node's monotonic clock; the time in the store only identifies the write.
func (l *lease) standsFor(now time.Time) bool {
	return l.spec.Holder == l.view.node.Node && l.spec.Renewed.Equal(l.wrote) && now.Before(l.wrote.Add(leaseDuration))
}

func (l *lease) note(now time.Time, o object.Object) {
	if o.Revision() != l.object.Revision() {
		l.seen = now
	}
	l.object = o
	l.spec = leaseSpec{}
	if err := json.Unmarshal(o.Spec(), &l.spec); err != nil {
		l.spec = leaseSpec{} // a malformed lease has no holder; its epoch is lost and the head's epoch check remains
	}
}

// contend takes a lease that is free, was held by an earlier life of this node, or was not renewed for its duration on
// this node's own clock.
func (l *lease) contend(now time.Time) []effect.Effect {
	free := l.spec.Holder == "" || l.spec.Holder == l.view.node.Node
	if free || now.Sub(l.seen) >= leaseDuration {
		return l.take(now, effect.Update)
	}
	l.next = l.seen.Add(leaseDuration + time.Duration(l.view.node.Rand.Int64N(int64(raceDelay))))
	return nil
}
