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
	// maxJitter bounds the random part of the delay before the first request, before a retry and before an expired
	// lease is acquired, so that the gateways (one node per region; they compete for the leases) do not send at the
	// same time.
	maxJitter = 400 * time.Millisecond
	// retryDelay is the time, without jitter, before the holder retries a failed request, short enough for several
	// retries before the lease expires. For other nodes it is the delay after the first failure.
	retryDelay = 400 * time.Millisecond
	// maxRetryDelay bounds the retry delay of a gateway that does not hold the lease. The delay doubles with each
	// failure, so that all gateways, each with one lease per rollout, do not overload a recovering store together.
	maxRetryDelay = 3 * time.Second
	// replyTimeout is how long a reply is waited for; package objectclient ends requests after 2 s by default.
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
	failures       int // failed requests without the lease since the last success; NotFound neither counts nor resets
	requestIDs     requestIDs
}

func newLease(v *view, service string, now time.Time) *lease {
	return &lease{
		view: v, name: "roller-" + service, mustRead: true, requestIDs: requestIDs{name: service + ":lease"},
		nextTryAt: now.Add(time.Duration(v.node.Rand.Int64N(int64(maxJitter)))),
	}
}

// valid reports whether this node holds the lease now.
func (l *lease) valid(now time.Time) bool { return l.held && now.Before(l.expiresAt) }

// epoch returns the epoch of the lease as last seen, which is this node's epoch while it holds the lease. It grows by
// one with each acquisition, so that the writes of earlier holders can be rejected.
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
		// The lease was deleted while this node held it. If a create was sent since, its reply was lost and it may have
		// succeeded, so the lease is read before it is written again.
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
		l.nextTryAt = now.Add(l.nextRetryDelay() + time.Duration(l.view.node.Rand.Int64N(int64(maxJitter))))
		return nil
	}
	l.failures = 0
	// The reply to a read or a write contains the stored object, so a read also confirms a write whose reply was lost.
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
		// A malformed lease counts as free, with epoch 0, so the next holder may have a lower epoch than an earlier
		// one. The share (the split of the service's calls between two versions) is still protected: the head (the
		// stored object that names the configuration in force) contains it with the epoch of its last writer, and a
		// holder with a lower epoch steps down instead of writing.
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
	l.nextTryAt = l.revisionSeenAt.Add(leaseDuration + time.Duration(l.view.node.Rand.Int64N(int64(maxJitter))))
	return nil
}
