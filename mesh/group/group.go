package group

import (
	"encoding/json"

	"github.com/fxamacker/cbor/v2"

	"wisteriaspoke.example/mesh/endpoint"
)

// Group is an immutable set of endpoints with the order in which sets replace each other.
type Group struct {
	w wire
}

// Complete says that all groups that the relays know and the node subscribes to were handed over once.
type Complete struct{}

type wire struct {
	DataCentre string              `json:"centre" cbor:"1,keyasint"`
	Service    string              `json:"service" cbor:"2,keyasint"`
	Epoch      uint64              `json:"epoch" cbor:"3,keyasint"`
	Sequence   uint64              `json:"sequence" cbor:"4,keyasint"`
	Endpoints  []endpoint.Endpoint `json:"endpoints" cbor:"5,keyasint"`
}

// New returns a group; epoch is that of the owner's lease, sequence counts within the epoch.
func New(dataCentre, service string, epoch, sequence uint64, endpoints []endpoint.Endpoint) Group {
	return Group{w: wire{DataCentre: dataCentre, Service: service, Epoch: epoch, Sequence: sequence, Endpoints: endpoints}}
}

// MarshalJSON writes the group's own format.
func (g Group) MarshalJSON() ([]byte, error) { return json.Marshal(g.w) }

// UnmarshalJSON reads the group's own format.
func (g *Group) UnmarshalJSON(data []byte) error { return json.Unmarshal(data, &g.w) }

// MarshalCBOR writes the group for messages between nodes.
func (g Group) MarshalCBOR() ([]byte, error) { return cbor.Marshal(g.w) }

// UnmarshalCBOR reads the group from a message between nodes.
func (g *Group) UnmarshalCBOR(data []byte) error { return cbor.Unmarshal(data, &g.w) }

// DataCentre returns the data centre whose relay owns the group.
func (g Group) DataCentre() string { return g.w.DataCentre }

// Service returns the service's name.
func (g Group) Service() string { return g.w.Service }

// Epoch returns the epoch of the owner's lease.
func (g Group) Epoch() uint64 { return g.w.Epoch }

// Sequence returns the count within the epoch.
func (g Group) Sequence() uint64 { return g.w.Sequence }

// Endpoints returns the endpoints, which must not be changed.
func (g Group) Endpoints() []endpoint.Endpoint { return g.w.Endpoints }

// Replaces reports whether g is newer than old, which is the zero Group when none is known.
func (g Group) Replaces(old Group) bool {
	if g.w.Epoch != old.w.Epoch {
		return g.w.Epoch > old.w.Epoch
	}
	return g.w.Sequence > old.w.Sequence
}
