package leaser

import (
	"encoding/json"
	"time"

	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/object"
)

// Plural is the store's collection of leases.
const Plural = "leases"

// Record is the immutable content of a stored lease.
type Record struct {
	fields wireFormat
}

type wireFormat struct {
	Holder         string `json:"holder"`
	Incarnation    uint64 `json:"life,omitempty"` // of the holder, so that its restart counts as a change of holder
	Epoch          uint64 `json:"epoch"`
	Renewed        int64  `json:"renewed"`  // when the renewal was sent, in Unix milliseconds on the holder's clock
	Duration       int64  `json:"duration"` // milliseconds
	DataCentre     string `json:"centre,omitempty"`
	Region         string `json:"region,omitempty"`
	Index          int    `json:"index,omitempty"`
	PendingVersion uint64 `json:"attempt,omitempty"` // version that the holder is about to apply; zero if none
}

// Decode returns the record of a stored lease, or the zero Record for an object that does not exist.
func Decode(o object.Object) (Record, error) {
	var r Record
	if len(o.Spec()) == 0 {
		return r, nil
	}
	if err := json.Unmarshal(o.Spec(), &r.fields); err != nil {
		return r, fault.Wrap(fault.Invalid, err, "the lease "+o.Name()+" is malformed", "delete it")
	}
	return r, nil
}

// Holder returns the holder's address, empty after a release.
func (r Record) Holder() string { return r.fields.Holder }

// Epoch returns the number of claims so far; renewals do not raise it.
func (r Record) Epoch() uint64 { return r.fields.Epoch }

// DataCentre returns the data centre of the lease, empty for leases without one.
func (r Record) DataCentre() string { return r.fields.DataCentre }

// Region returns the region of the lease's data centre.
func (r Record) Region() string { return r.fields.Region }

// Index returns the lease's number within its data centre.
func (r Record) Index() int { return r.fields.Index }

// PendingVersion returns the version that the holder was about to apply when it wrote the record, or zero.
func (r Record) PendingVersion() uint64 { return r.fields.PendingVersion }

// Renewed returns when the renewal was sent, on the holder's clock.
func (r Record) Renewed() time.Time { return time.UnixMilli(r.fields.Renewed) }

// Duration returns how long the lease is valid after a renewal.
func (r Record) Duration() time.Duration { return time.Duration(r.fields.Duration) * time.Millisecond }
