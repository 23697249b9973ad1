package notice

import "github.com/fxamacker/cbor/v2"

// sumBits is the part of a beat's number for the sum of the sets; the rest is for the identity. Announcements and
// subscriptions are repeated until they are answered, so that a wrong match of the identity does little harm.
const sumBits = 20

// Beat is a node's heartbeat. It is one number of 32 bits, since a relay gets one each second from every node of its
// data centre: 860 at the target, with 12 KB/s for all control.
type Beat struct{ check uint32 }

// NewBeat returns a heartbeat; identity stands for the latest announcement and subscription, sum for the sets held.
func NewBeat(identity, sum uint64) *Beat {
	return &Beat{check: uint32(identity)<<sumBits | uint32(sum)&(1<<sumBits-1)}
}

// SameIdentity reports whether the sender's announcement and subscription are those of the identity.
func (b Beat) SameIdentity(identity uint64) bool {
	return b.check>>sumBits == uint32(identity)<<sumBits>>sumBits
}

// SameSum reports whether the sender holds the sets with the sum.
func (b Beat) SameSum(sum uint64) bool { return (b.check^uint32(sum))<<(32-sumBits) == 0 }

// MarshalCBOR writes the heartbeat's own format.
func (b Beat) MarshalCBOR() ([]byte, error) { return cbor.Marshal(b.check) }

// UnmarshalCBOR reads the heartbeat's own format.
func (b *Beat) UnmarshalCBOR(data []byte) error { return cbor.Unmarshal(data, &b.check) }

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
