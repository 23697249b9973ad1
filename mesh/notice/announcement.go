package notice

import (
	"github.com/fxamacker/cbor/v2"

	"wisteriaspoke.example/mesh/endpoint"
)

// Announcement is what a node says of its own upstream.
type Announcement struct{ w announcement }

type announcement struct {
	_        struct{} `cbor:",toarray"`
	Endpoint endpoint.Endpoint
	Sequence uint64
}

// NewAnnouncement returns an announcement; number grows with each change within an incarnation.
func NewAnnouncement(e endpoint.Endpoint, number uint64) *Announcement {
	return &Announcement{w: announcement{Endpoint: e, Sequence: number}}
}

// Endpoint returns the announced endpoint.
func (a Announcement) Endpoint() endpoint.Endpoint { return a.w.Endpoint }

// Sequence returns the place of the announcement within its incarnation.
func (a Announcement) Sequence() uint64 { return a.w.Sequence }

// MarshalCBOR writes the announcement's own format.
func (a Announcement) MarshalCBOR() ([]byte, error) { return cbor.Marshal(a.w) }

// UnmarshalCBOR reads the announcement's own format.
func (a *Announcement) UnmarshalCBOR(data []byte) error { return cbor.Unmarshal(data, &a.w) }

// Receipt confirms an announcement.
type Receipt struct{ w receipt }

type receipt struct {
	_           struct{} `cbor:",toarray"`
	Incarnation uint64
	Sequence    uint64
}

// NewReceipt returns the confirmation of one announcement.
func NewReceipt(incarnation, number uint64) *Receipt {
	return &Receipt{w: receipt{Incarnation: incarnation, Sequence: number}}
}

// Incarnation returns the incarnation of the confirmed announcement.
func (r Receipt) Incarnation() uint64 { return r.w.Incarnation }

// Sequence returns the number of the confirmed announcement.
func (r Receipt) Sequence() uint64 { return r.w.Sequence }

// MarshalCBOR writes the receipt's own format.
func (r Receipt) MarshalCBOR() ([]byte, error) { return cbor.Marshal(r.w) }

// UnmarshalCBOR reads the receipt's own format.
func (r *Receipt) UnmarshalCBOR(data []byte) error { return cbor.Unmarshal(data, &r.w) }
