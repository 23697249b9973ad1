package notice

import (
	"github.com/fxamacker/cbor/v2"

	"wisteriaspoke.example/mesh/endpoint"
)

// Announcement describes the endpoint of the sending node.
type Announcement struct{ w announcement }

type announcement struct {
	_        struct{} `cbor:",toarray"`
	Endpoint endpoint.Endpoint
	Sequence uint64
}

// NewAnnouncement returns an announcement; sequence grows with each change within an incarnation.
func NewAnnouncement(e endpoint.Endpoint, sequence uint64) *Announcement {
	return &Announcement{w: announcement{Endpoint: e, Sequence: sequence}}
}

// Endpoint returns the announced endpoint.
func (a Announcement) Endpoint() endpoint.Endpoint { return a.w.Endpoint }

// Sequence returns the sequence number of the announcement within its incarnation.
func (a Announcement) Sequence() uint64 { return a.w.Sequence }

// MarshalCBOR encodes the announcement.
func (a Announcement) MarshalCBOR() ([]byte, error) { return cbor.Marshal(a.w) }

// UnmarshalCBOR decodes the announcement.
func (a *Announcement) UnmarshalCBOR(data []byte) error { return cbor.Unmarshal(data, &a.w) }

// Receipt confirms an announcement.
type Receipt struct{ w receipt }

type receipt struct {
	_           struct{} `cbor:",toarray"`
	Incarnation uint64
	Sequence    uint64
}

// NewReceipt returns the confirmation of one announcement.
func NewReceipt(incarnation, sequence uint64) *Receipt {
	return &Receipt{w: receipt{Incarnation: incarnation, Sequence: sequence}}
}

// Incarnation returns the incarnation of the confirmed announcement.
func (r Receipt) Incarnation() uint64 { return r.w.Incarnation }

// Sequence returns the sequence number of the confirmed announcement.
func (r Receipt) Sequence() uint64 { return r.w.Sequence }

// MarshalCBOR encodes the receipt.
func (r Receipt) MarshalCBOR() ([]byte, error) { return cbor.Marshal(r.w) }

// UnmarshalCBOR decodes the receipt.
func (r *Receipt) UnmarshalCBOR(data []byte) error { return cbor.Unmarshal(data, &r.w) }
