package notice

import "github.com/fxamacker/cbor/v2"

// sumBits is the part of a beat's number for the sum of the sets; the rest is for the identity. Announcements and
// subscriptions are repeated until they are answered, so that a wrong match of the identity does little harm.
const sumBits = 20

// Heartbeat is a node's heartbeat. It is one number of 32 bits, since a relay gets one each second from every node of its
// data centre: 860 at the target, with 12 KB/s for all control.
type Heartbeat struct{ check uint32 }

// NewHeartbeat returns a heartbeat; identity stands for the latest announcement and subscription, sum for the sets held.
func NewHeartbeat(identity, sum uint64) *Heartbeat {
	return &Heartbeat{check: uint32(identity)<<sumBits | uint32(sum)&(1<<sumBits-1)}
}

// SameIdentity reports whether the sender's announcement and subscription are those of the identity.
func (b Heartbeat) SameIdentity(identity uint64) bool {
	return b.check>>sumBits == uint32(identity)<<sumBits>>sumBits
}

// SameSum reports whether the sender holds the sets with the sum.
func (b Heartbeat) SameSum(sum uint64) bool { return (b.check^uint32(sum))<<(32-sumBits) == 0 }

// MarshalCBOR writes the heartbeat's own format.
func (b Heartbeat) MarshalCBOR() ([]byte, error) { return cbor.Marshal(b.check) }

// UnmarshalCBOR reads the heartbeat's own format.
func (b *Heartbeat) UnmarshalCBOR(data []byte) error { return cbor.Unmarshal(data, &b.check) }

// Query asks a node to announce itself and its subscription again.
type Query struct{ w query }

type query struct {
	_            struct{} `cbor:",toarray"`
	Announcement bool
	Subscription bool
}

// NewQuery returns a question for the endpoint, the subscription, or both.
func NewQuery(endpoint, interest bool) *Query {
	return &Query{w: query{Announcement: endpoint, Subscription: interest}}
}

// WantsAnnouncement reports whether the announcement is asked for.
func (q Query) WantsAnnouncement() bool { return q.w.Announcement }

// WantsSubscription reports whether the subscription is asked for.
func (q Query) WantsSubscription() bool { return q.w.Subscription }

// MarshalCBOR writes the query's own format.
func (q Query) MarshalCBOR() ([]byte, error) { return cbor.Marshal(q.w) }

// UnmarshalCBOR reads the query's own format.
func (q *Query) UnmarshalCBOR(data []byte) error { return cbor.Unmarshal(data, &q.w) }

// Subscription is a node's subscription.
type Subscription struct{ w interest }

type interest struct {
	_        struct{} `cbor:",toarray"`
	Sequence uint64
	All      bool
	Active   bool
	Services []string
}

// NewSubscription returns a subscription; only an active one has changes pushed, number grows with each change.
func NewSubscription(number uint64, all, active bool, services []string) *Subscription {
	return &Subscription{w: interest{Sequence: number, All: all, Active: active, Services: services}}
}

// Sequence returns the place of the subscription within the node's incarnation.
func (i Subscription) Sequence() uint64 { return i.w.Sequence }

// All reports whether the node wants every service.
func (i Subscription) All() bool { return i.w.All }

// Active reports whether the relay pushes changes to the node.
func (i Subscription) Active() bool { return i.w.Active }

// Services returns the wanted services, which must not be changed.
func (i Subscription) Services() []string { return i.w.Services }

// MarshalCBOR writes the subscription's own format.
func (i Subscription) MarshalCBOR() ([]byte, error) { return cbor.Marshal(i.w) }

// UnmarshalCBOR reads the subscription's own format.
func (i *Subscription) UnmarshalCBOR(data []byte) error { return cbor.Unmarshal(data, &i.w) }
