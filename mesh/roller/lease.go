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
	// maxRaceDelay bounds the random delay before a gateway tries to acquire a free lease.
	maxRaceDelay = 400 * time.Millisecond
	// retryDelay is the time before a failed lease request is retried, short enough for several tries before expiry.
	retryDelay = 400 * time.Millisecond
	// maxRetryDelay bounds the retry delay of a node that does not hold the lease. The delay doubles with each failure, so
	// that all gateways and rollouts together do not overload a recovering store.
	maxRetryDelay = 3 * time.Second
	// replyTimeout is how long a reply is waited for; the driver ends requests after 2 s.
	replyTimeout = 5 * time.Second
)

// leaseSpec is the content of a lease in the store.
type leaseSpec struct {
	Holder   string    `json:"holder"`
	Epoch    uint64    `json:"epoch"`
	Renewed  time.Time `json:"renewed"`  // when the holder sent the renewal, by its clock
	Duration int64     `json:"duration"` // milliseconds
}

// lease acquires, renews and releases one service's lease for this node.
type lease struct {
	view *view
	name string

	object         object.Object // as last seen
	spec           leaseSpec
	revisionSeenAt time.Time // when this revision was first seen
	held           bool
	expiresAt      time.Time // leaseDuration after the last confirmed renewal was sent
	lastWriteAt    time.Time // when this node last sent a write of the lease
	mustRead       bool      // the object must be read before it is written again
	pendingID      string
	sentAt         time.Time
	nextTryAt      time.Time
	failures       int // consecutive failed requests
	requestIDs     requestIDs
}

func newLease(v *view, service string, now time.Time) *lease {
	return &lease{
		view: v, name: "roller-" + service, mustRead: true, requestIDs: requestIDs{name: service + ":lease"},
		nextTryAt: now.Add(time.Duration(v.node.Rand.Int64N(int64(maxRaceDelay)))),
	}
}

// valid reports whether this node holds the lease now.
func (l *lease) valid(now time.Time) bool { return l.held && now.Before(l.expiresAt) }

// epoch returns the epoch of the lease as last seen. While this node holds the lease, it is this node's epoch.
func (l *lease) epoch() uint64 { return l.spec.Epoch }

// stepDown marks the lease as lost, after it has expired or another holder's write was seen.
func (l *lease) stepDown(now time.Time) {
	l.held = false
	l.mustRead = true
	l.nextTryAt = now.Add(leaseDuration)
}

// tick renews the lease, tries to acquire it, or releases it if it is no longer wanted.
func (l *lease) tick(now time.Time, wanted bool) []effect.Effect {
	if l.held && !now.Before(l.expiresAt) {
		l.stepDown(now)
	}
	if l.pendingID != "" && now.Sub(l.sentAt) < replyTimeout || now.Before(l.nextTryAt) {
		return nil
	}
	switch {
	case !l.held && !wanted:
		return nil
	case l.mustRead:
		return l.request(now, effect.Get, object.New(leasePlural, l.name, "", nil))
	case !l.held:
		l.mustRead = true
		return nil
	case !wanted:
		return l.write(now, effect.Update, leaseSpec{Epoch: l.spec.Epoch})
	case now.Sub(l.lastWriteAt) >= renewPeriod:
		return l.write(now, effect.Update, l.ownSpec(now, l.spec.Epoch))
	}
	return nil
}

func (l *lease) ownSpec(now time.Time, epoch uint64) leaseSpec {
	return leaseSpec{Holder: l.view.node.Node, Epoch: epoch, Renewed: now, Duration: leaseDuration.Milliseconds()}
}

func (l *lease) request(now time.Time, k effect.Kind, o object.Object) []effect.Effect {
	l.pendingID = l.requestIDs.next()
	l.sentAt = now
	return []effect.Effect{effect.NewStoreRequest(k, l.pendingID, o)}
}

func (l *lease) write(now time.Time, k effect.Kind, s leaseSpec) []effect.Effect {
	data, err := json.Marshal(s)
	if err != nil {
		return nil
	}
	l.lastWriteAt = now
	return l.request(now, k, object.New(leasePlural, l.name, l.object.Revision(), data))
}

// acquire writes this node as the holder with the next epoch.
func (l *lease) acquire(now time.Time, k effect.Kind) []effect.Effect {
	return l.write(now, k, l.ownSpec(now, l.spec.Epoch+1))
}

// handleReply handles the reply to the pending request.
func (l *lease) handleReply(now time.Time, e event.Event, wanted bool) []effect.Effect {
	l.pendingID = ""
	switch {
	case fault.KindOf(e.Err()) == fault.NotFound:
		l.held = false
		l.object, l.spec = object.Object{}, leaseSpec{}
		if wanted {
			return l.acquire(now, effect.Create)
		}
		return nil
	case e.Err() != nil:
		l.mustRead = true
		l.nextTryAt = now.Add(l.nextRetryDelay() + time.Duration(l.view.node.Rand.Int64N(int64(maxRaceDelay))))
		return nil
	}
	l.failures = 0
	l.record(now, e.Object())
	l.mustRead = false
	if l.confirmsOwnWrite(now) {
		l.held = true
		l.expiresAt = l.lastWriteAt.Add(leaseDuration)
		return nil
	}
	l.held = false
	l.mustRead = true
	if !wanted {
		return nil
	}
	return l.tryAcquire(now)
}

// nextRetryDelay returns the delay before the next try after a failure.
func (l *lease) nextRetryDelay() time.Duration {
	if l.held {
		return retryDelay
	}
	l.failures++
	return backoff(retryDelay, maxRetryDelay, l.failures)
}

// backoff returns the delay after a number of consecutive failures; it doubles with each one up to the limit.
func backoff(first, limit time.Duration, failures int) time.Duration {
	for range failures - 1 {
		if first *= 2; first >= limit {
			return limit
		}
	}
	return first
}

// confirmsOwnWrite reports whether the lease as read is this node's last write and has not expired. Expiry is measured
// on this node's monotonic clock; the time in the store only identifies the write.
func (l *lease) confirmsOwnWrite(now time.Time) bool {
	return l.spec.Holder == l.view.node.Node && l.spec.Renewed.Equal(l.lastWriteAt) &&
		now.Before(l.lastWriteAt.Add(leaseDuration))
}

func (l *lease) record(now time.Time, o object.Object) {
	if o.Revision() != l.object.Revision() {
		l.revisionSeenAt = now
	}
	l.object = o
	l.spec = leaseSpec{}
	if err := json.Unmarshal(o.Spec(), &l.spec); err != nil {
		// A malformed lease has no holder. Its epoch is lost, but the epoch in the head still protects the share.
		l.spec = leaseSpec{}
	}
}

// tryAcquire acquires the lease if it is free, was held by an earlier process of this node, or was not renewed for its
// duration by this node's clock.
func (l *lease) tryAcquire(now time.Time) []effect.Effect {
	free := l.spec.Holder == "" || l.spec.Holder == l.view.node.Node
	if free || now.Sub(l.revisionSeenAt) >= leaseDuration {
		return l.acquire(now, effect.Update)
	}
	l.nextTryAt = l.revisionSeenAt.Add(leaseDuration + time.Duration(l.view.node.Rand.Int64N(int64(maxRaceDelay))))
	return nil
}
