package group

import (
	"encoding/json"

	"github.com/fxamacker/cbor/v2"

	"wisteriaspoke.example/mesh/endpoint"
)

// Group is an immutable set of endpoints of one service in one data centre; Replaces orders successive sets.
type Group struct {
	fields wireFormat
}

// Complete signals that each group that the relays have and the node subscribes to was delivered at least once.
type Complete struct{}

type wireFormat struct {
	DataCentre string              `json:"centre" cbor:"1,keyasint"`
	Service    string              `json:"service" cbor:"2,keyasint"`
	Epoch      uint64              `json:"epoch" cbor:"3,keyasint"`
	Sequence   uint64              `json:"sequence" cbor:"4,keyasint"`
	Endpoints  []endpoint.Endpoint `json:"endpoints" cbor:"5,keyasint"`
}

// New returns a group; epoch is that of its relay's lease, and sequence numbers its changes within the epoch.
func New(dataCentre, service string, epoch, sequence uint64, endpoints []endpoint.Endpoint) Group {
	return Group{fields: wireFormat{
		DataCentre: dataCentre, Service: service, Epoch: epoch, Sequence: sequence, Endpoints: endpoints,
	}}
}

// MarshalJSON encodes the group as JSON.
func (g Group) MarshalJSON() ([]byte, error) { return json.Marshal(g.fields) }

// UnmarshalJSON decodes the group from JSON.
func (g *Group) UnmarshalJSON(data []byte) error { return json.Unmarshal(data, &g.fields) }

// MarshalCBOR encodes the group for messages between nodes.
func (g Group) MarshalCBOR() ([]byte, error) { return cbor.Marshal(g.fields) }

// UnmarshalCBOR decodes the group from a message between nodes.
func (g *Group) UnmarshalCBOR(data []byte) error { return cbor.Unmarshal(data, &g.fields) }

// DataCentre returns the endpoints' data centre, whose relay owns the group.
func (g Group) DataCentre() string { return g.fields.DataCentre }

// Service returns the service's name.
func (g Group) Service() string { return g.fields.Service }

// Epoch returns the epoch of the lease of the relay that owns the group.
func (g Group) Epoch() uint64 { return g.fields.Epoch }

// Sequence returns the number of the group's change within the epoch.
func (g Group) Sequence() uint64 { return g.fields.Sequence }

// Endpoints returns the endpoints; callers must not change the slice.
func (g Group) Endpoints() []endpoint.Endpoint { return g.fields.Endpoints }

// Replaces reports whether g is newer than old, which may be the zero Group.
func (g Group) Replaces(old Group) bool {
	if g.fields.Epoch != old.fields.Epoch {
		return g.fields.Epoch > old.fields.Epoch
	}
	return g.fields.Sequence > old.fields.Sequence
}
