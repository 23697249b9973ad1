package leaser

import (
	"encoding/json"
	"time"

	"wisteriaspoke.example/mesh/effect"
	"wisteriaspoke.example/mesh/object"
)

// Lease is one node's view of one stored lease and builds the writes that claim, renew and release it. It is not safe
// for concurrent use. Exported fields are set before the first method call.
type Lease struct {
	Name        string
	Node        string
	Incarnation uint64
	Duration    time.Duration
	DataCentre  string
	Region      string
	Index       int

	object object.Object
	record Record
	// unchangedSince is when this node first read the current revision, or earlier, when the holder
	// announced the renewal in it.
	unchangedSince   time.Time
	abandonedVersion uint64

	// The last renewal that ObserveRenewal recorded.
	renewalHeardAt     time.Time
	heardRenewalEpoch  uint64
	heardRenewalSentAt time.Time // on the holder's clock
}

// Observe records the lease as read from the store at now; a record with an older epoch than the last one is ignored.
func (l *Lease) Observe(now time.Time, o object.Object) {
	r, err := Decode(o)
	if err != nil {
		// A malformed record has no valid holder. The last epoch is kept, so that a claim still raises it.
		r = Record{fields: wireFormat{Epoch: l.record.fields.Epoch}}
	}
	if r.fields.Epoch < l.record.fields.Epoch && o.Revision() != "" {
		return
	}
	if o.Revision() != l.object.Revision() || l.unchangedSince.IsZero() {
		l.unchangedSince = now
		if r.fields.Epoch == l.heardRenewalEpoch && r.Renewed().Equal(l.heardRenewalSentAt) && l.renewalHeardAt.Before(now) {
			l.unchangedSince = l.renewalHeardAt
		}
	}
	l.object = o
	l.record = r
}

// Record returns the last observed record.
func (l *Lease) Record() Record { return l.record }

// IsRecordedHolder reports whether the last observed record names this node and its current incarnation.
func (l *Lease) IsRecordedHolder() bool {
	return l.record.fields.Holder == l.Node && l.record.fields.Incarnation == l.Incarnation
}

// Held reports whether this node holds the lease: on its own clock, less than Duration has passed since it sent its
// last confirmed renewal.
func (l *Lease) Held(now time.Time) bool {
	return l.IsRecordedHolder() && now.Before(l.record.Renewed().Add(l.Duration))
}

// CanClaim reports whether the lease may be claimed. Clocks of different nodes are not compared: a lease has expired
// when its record has not changed for the lease's duration on this node's clock.
func (l *Lease) CanClaim(now time.Time) bool {
	if l.unchangedSince.IsZero() {
		return false
	}
	if l.record.fields.Holder == "" || l.record.fields.Holder == l.Node {
		return !l.IsRecordedHolder()
	}
	return !now.Before(l.unchangedSince.Add(l.observedDuration()))
}

// Expiry returns when the observed lease may be claimed unless it is renewed before then.
func (l *Lease) Expiry() time.Time { return l.unchangedSince.Add(l.observedDuration()) }

// observedDuration returns the duration in the last observed record, or this node's own if the record has none.
func (l *Lease) observedDuration() time.Duration {
	if d := l.record.Duration(); d > 0 {
		return d
	}
	return l.Duration
}

// AbandonedVersion returns the version that the previous holder was about to apply when it stopped, or zero.
func (l *Lease) AbandonedVersion() uint64 { return l.abandonedVersion }

// ClaimOrRenew returns the conditional write that claims or renews the lease; pendingVersion is the version that this
// node is about to apply, or zero.
func (l *Lease) ClaimOrRenew(now time.Time, pendingVersion uint64) (effect.Kind, object.Object) {
	fields := wireFormat{
		Holder: l.Node, Incarnation: l.Incarnation, Epoch: l.record.fields.Epoch, Renewed: now.UnixMilli(),
		Duration: l.Duration.Milliseconds(), DataCentre: l.DataCentre, Region: l.Region, Index: l.Index,
		PendingVersion: pendingVersion,
	}
	if !l.IsRecordedHolder() {
		fields.Epoch++
		l.abandonedVersion = l.record.fields.PendingVersion
	}
	return l.conditionalWrite(fields)
}

// Release returns the conditional write that clears the holder, so that another node may claim the lease at once.
func (l *Lease) Release(now time.Time) (effect.Kind, object.Object) {
	fields := l.record.fields
	fields.Holder, fields.Incarnation, fields.PendingVersion = "", 0, 0
	fields.Renewed = now.UnixMilli()
	return l.conditionalWrite(fields)
}

// conditionalWrite returns a write that fails if the stored lease has changed since it was last observed.
func (l *Lease) conditionalWrite(fields wireFormat) (effect.Kind, object.Object) {
	spec, err := json.Marshal(fields)
	if err != nil {
		panic("leaser: a record of plain values cannot fail to encode: " + err.Error())
	}
	if l.object.Revision() == "" {
		return effect.Create, object.New(Plural, l.Name, "", spec)
	}
	return effect.Update, object.New(Plural, l.Name, l.object.Revision(), spec)
}

// ObserveRenewal records a message received at the given time from the holder of the epoch: it sent its last renewal at
// renewed, on its own clock. A record with this renewal that is read later counts as unchanged since that message.
func (l *Lease) ObserveRenewal(at time.Time, epoch uint64, renewed time.Time) {
	if epoch < l.heardRenewalEpoch || (epoch == l.heardRenewalEpoch && !renewed.After(l.heardRenewalSentAt)) {
		return
	}
	l.renewalHeardAt, l.heardRenewalEpoch, l.heardRenewalSentAt = at, epoch, renewed
}
