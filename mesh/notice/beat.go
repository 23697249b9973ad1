package notice

import "github.com/fxamacker/cbor/v2"

// Beat is a node's heartbeat; it repeats nothing that the relay already has.
type Beat struct{ w beat }

type beat struct {
	_           struct{} `cbor:",toarray"`
	Incarnation uint64
	Number      uint64
	Interest    uint64
	Sum         uint64
}

// NewBeat returns a heartbeat; number is that of the latest announcement, or 0 if the node has no upstream, interest
// the number of the latest Interest, sum the digest of the sets held.
func NewBeat(incarnation, number, interest, sum uint64) *Beat {
	return &Beat{w: beat{Incarnation: incarnation, Number: number, Interest: interest, Sum: sum}}
}

// Incarnation returns the node's incarnation.
func (b Beat) Incarnation() uint64 { return b.w.Incarnation }

// Number returns the number of the node's latest announcement, or 0 if there is none.
func (b Beat) Number() uint64 { return b.w.Number }

// Interest returns the number of the node's latest Interest.
func (b Beat) Interest() uint64 { return b.w.Interest }

// Sum returns the digest of the sets that the node holds of its subscription.
func (b Beat) Sum() uint64 { return b.w.Sum }

// MarshalCBOR writes the heartbeat's own format.
func (b Beat) MarshalCBOR() ([]byte, error) { return cbor.Marshal(b.w) }

// UnmarshalCBOR reads the heartbeat's own format.
func (b *Beat) UnmarshalCBOR(data []byte) error { return cbor.Unmarshal(data, &b.w) }

// Query asks a node to announce itself and its subscription again.
type Query struct{ w query }

type query struct {
	_        struct{} `cbor:",toarray"`
	Endpoint bool
	Interest bool
}

// NewQuery returns a question for the endpoint, the subscription, or both.
func NewQuery(endpoint, interest bool) *Query {
	return &Query{w: query{Endpoint: endpoint, Interest: interest}}
}

// Endpoint reports whether the announcement is asked for.
func (q Query) Endpoint() bool { return q.w.Endpoint }

// Interest reports whether the subscription is asked for.
func (q Query) Interest() bool { return q.w.Interest }

// MarshalCBOR writes the query's own format.
func (q Query) MarshalCBOR() ([]byte, error) { return cbor.Marshal(q.w) }

// UnmarshalCBOR reads the query's own format.
func (q *Query) UnmarshalCBOR(data []byte) error { return cbor.Unmarshal(data, &q.w) }

// Interest is a node's subscription.
type Interest struct{ w interest }

type interest struct {
	_        struct{} `cbor:",toarray"`
	Number   uint64
	All      bool
	Active   bool
	Services []string
}

// NewInterest returns a subscription; only an active one has changes pushed, number grows with each change.
func NewInterest(number uint64, all, active bool, services []string) *Interest {
	return &Interest{w: interest{Number: number, All: all, Active: active, Services: services}}
}

// Number returns the place of the subscription within the node's incarnation.
func (i Interest) Number() uint64 { return i.w.Number }

// All reports whether the node wants every service.
func (i Interest) All() bool { return i.w.All }

// Active reports whether the relay pushes changes to the node.
func (i Interest) Active() bool { return i.w.Active }

// Services returns the wanted services, which must not be changed.
func (i Interest) Services() []string { return i.w.Services }

// MarshalCBOR writes the subscription's own format.
func (i Interest) MarshalCBOR() ([]byte, error) { return cbor.Marshal(i.w) }

// UnmarshalCBOR reads the subscription's own format.
func (i *Interest) UnmarshalCBOR(data []byte) error { return cbor.Unmarshal(data, &i.w) }
