package leaser

import (
	"encoding/json"
	"time"

	"wisteriaspoke.example/mesh/effect"
	"wisteriaspoke.example/mesh/object"
)

// Lease is one node's view of one stored lease and its claim to it; one goroutine uses it. Exported fields are set
// before the first method call.
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
	seen   time.Time // when this node first saw the current revision
	orphan uint64

	heardAt      time.Time
	heardEpoch   uint64
	heardRenewed time.Time
}

// Observe takes the lease as read from the store at now; a record with an older epoch than the known one is ignored.
func (l *Lease) Observe(now time.Time, o object.Object) {
	r, err := Decode(o)
	if err != nil {
		// A malformed record has no valid holder. The known epoch stays, so that a claim still raises it.
		r = Record{w: wire{Epoch: l.record.w.Epoch}}
	}
	if r.w.Epoch < l.record.w.Epoch && o.Revision() != "" {
		return
	}
	if o.Revision() != l.object.Revision() || l.seen.IsZero() {
		l.seen = now
		if r.w.Epoch == l.heardEpoch && r.Renewed().Equal(l.heardRenewed) && l.heardAt.Before(now) {
			l.seen = l.heardAt
		}
	}
	l.object = o
	l.record = r
}

// Record returns the last observed record.
func (l *Lease) Record() Record { return l.record }

// IsRecordedHolder reports whether the last observed record names this life of this node.
func (l *Lease) IsRecordedHolder() bool {
	return l.record.w.Holder == l.Node && l.record.w.Incarnation == l.Incarnation
}

// Held reports whether this node holds the lease now, on its own clock since the last confirmed renewal was sent.
func (l *Lease) Held(now time.Time) bool {
	return l.IsRecordedHolder() && now.Before(l.record.Renewed().Add(l.Duration))
}

// CanClaim reports whether the lease may be claimed. Clocks of different nodes are not compared: a holder counts as
// gone when its record has stood unchanged for the lease's duration on this node's clock.
func (l *Lease) CanClaim(now time.Time) bool {
	if l.seen.IsZero() {
		return false
	}
	if l.record.w.Holder == "" || l.record.w.Holder == l.Node {
		return !l.IsRecordedHolder()
	}
	return !now.Before(l.seen.Add(l.duration()))
}

// Expiry returns when the observed lease becomes vacant unless it is renewed.
func (l *Lease) Expiry() time.Time { return l.seen.Add(l.duration()) }

func (l *Lease) duration() time.Duration {
	if d := l.record.Duration(); d > 0 {
		return d
	}
	return l.Duration
}

// AbandonedVersion returns the version that an earlier holder was about to apply when it stopped, or zero.
func (l *Lease) AbandonedVersion() uint64 { return l.orphan }

// ClaimOrRenew returns the conditional write that claims the lease or renews it, marking the version about to be applied.
func (l *Lease) ClaimOrRenew(now time.Time, attempt uint64) (effect.Kind, object.Object) {
	w := wire{
		Holder: l.Node, Incarnation: l.Incarnation, Epoch: l.record.w.Epoch, Renewed: now.UnixMilli(),
		Duration: l.Duration.Milliseconds(), DataCentre: l.DataCentre, Region: l.Region, Index: l.Index, PendingVersion: attempt,
	}
	if !l.IsRecordedHolder() {
		w.Epoch++
		l.orphan = l.record.w.PendingVersion
	}
	return l.put(w)
}

// Release returns the conditional write that empties the holder, so that another node may claim at once.
func (l *Lease) Release(now time.Time) (effect.Kind, object.Object) {
	w := l.record.w
	w.Holder, w.Incarnation, w.PendingVersion = "", 0, 0
	w.Renewed = now.UnixMilli()
	return l.put(w)
}

func (l *Lease) put(w wire) (effect.Kind, object.Object) {
	spec, err := json.Marshal(w)
	if err != nil {
		panic("leaser: a record of plain values cannot fail to encode: " + err.Error())
	}
	if l.object.Revision() == "" {
		return effect.Create, object.New(Plural, l.Name, "", spec)
	}
	return effect.Update, object.New(Plural, l.Name, l.object.Revision(), spec)
}

// ObserveRenewal notes that the holder of the epoch said at the given time that it had sent its renewal at renewed, on its own
// clock. A record read later with this same renewal has stood unchanged since then.
func (l *Lease) ObserveRenewal(at time.Time, epoch uint64, renewed time.Time) {
	if epoch < l.heardEpoch || (epoch == l.heardEpoch && !renewed.After(l.heardRenewed)) {
		return
	}
	l.heardAt, l.heardEpoch, l.heardRenewed = at, epoch, renewed
}
