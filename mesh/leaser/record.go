package leaser

import (
	"encoding/json"
	"time"

	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/object"
)

// Plural is where leases stand in the store.
const Plural = "leases"

// Record is the immutable content of a stored lease.
type Record struct {
	w wire
}

type wire struct {
	Holder         string `json:"holder"`
	Incarnation    uint64 `json:"life,omitempty"` // holder's incarnation, so that a restart counts as a change of holder
	Epoch          uint64 `json:"epoch"`
	Renewed        int64  `json:"renewed"`  // milliseconds since 1970 on the holder's clock, when the renewal was sent
	Duration       int64  `json:"duration"` // milliseconds
	DataCentre     string `json:"centre,omitempty"`
	Region         string `json:"region,omitempty"`
	Index          int    `json:"index,omitempty"`
	PendingVersion uint64 `json:"attempt,omitempty"` // version that the holder is about to apply
}

// Decode returns the record of a stored lease; the zero Record for an object that does not stand.
func Decode(o object.Object) (Record, error) {
	var r Record
	if len(o.Spec()) == 0 {
		return r, nil
	}
	if err := json.Unmarshal(o.Spec(), &r.w); err != nil {
		return r, fault.Wrap(fault.Invalid, err, "the lease "+o.Name()+" is malformed", "delete it")
	}
	return r, nil
}

// Holder returns the holder's address; empty when the lease was handed over.
func (r Record) Holder() string { return r.w.Holder }

// Epoch returns the number of changes of holder.
func (r Record) Epoch() uint64 { return r.w.Epoch }

// DataCentre returns the data centre of the lease, empty for leases without one.
func (r Record) DataCentre() string { return r.w.DataCentre }

// Region returns the region of the lease's data centre.
func (r Record) Region() string { return r.w.Region }

// Index returns the place of the lease in its data centre.
func (r Record) Index() int { return r.w.Index }

// PendingVersion returns the version that the holder was about to apply, or zero.
func (r Record) PendingVersion() uint64 { return r.w.PendingVersion }

// Renewed returns when the renewal was sent, on the holder's clock.
func (r Record) Renewed() time.Time { return time.UnixMilli(r.w.Renewed) }

// Duration returns how long the lease lasts after a renewal.
func (r Record) Duration() time.Duration { return time.Duration(r.w.Duration) * time.Millisecond }
