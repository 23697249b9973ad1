package notice

import "github.com/fxamacker/cbor/v2"

// sumBits is the number of bits of a heartbeat for the sum of the sets; the other bits are for the identity. A wrong
// match of the identity does little harm, as announcements and subscriptions are sent again until they are answered.
const sumBits = 20

// Heartbeat is the periodic message of a node to its relays. It is one 32-bit number, since a relay receives one each
// second from every node of its data centre: 860 at the target, with 12 KB/s for all control messages.
type Heartbeat struct{ bits uint32 }

// NewHeartbeat returns a heartbeat; identity is a hash of the latest announcement and subscription, and sum a
// checksum of the sets held.
func NewHeartbeat(identity, sum uint64) *Heartbeat {
	return &Heartbeat{bits: uint32(identity)<<sumBits | uint32(sum)&(1<<sumBits-1)}
}

// SameIdentity reports whether the sender's announcement and subscription are those of the identity.
func (h Heartbeat) SameIdentity(identity uint64) bool {
	return h.bits>>sumBits == uint32(identity)<<sumBits>>sumBits
}

// SameSum reports whether the sender holds the sets with the sum.
func (h Heartbeat) SameSum(sum uint64) bool { return (h.bits^uint32(sum))<<(32-sumBits) == 0 }

// MarshalCBOR encodes the heartbeat.
func (h Heartbeat) MarshalCBOR() ([]byte, error) { return cbor.Marshal(h.bits) }

// UnmarshalCBOR decodes the heartbeat.
func (h *Heartbeat) UnmarshalCBOR(data []byte) error { return cbor.Unmarshal(data, &h.bits) }

// Query asks a node to send its announcement or its subscription again.
type Query struct{ w query }

type query struct {
	_            struct{} `cbor:",toarray"`
	Announcement bool
	Subscription bool
}

// NewQuery returns a request for the announcement, the subscription, or both.
func NewQuery(announcement, subscription bool) *Query {
	return &Query{w: query{Announcement: announcement, Subscription: subscription}}
}

// WantsAnnouncement reports whether the announcement is requested.
func (q Query) WantsAnnouncement() bool { return q.w.Announcement }

// WantsSubscription reports whether the subscription is requested.
func (q Query) WantsSubscription() bool { return q.w.Subscription }

// MarshalCBOR encodes the query.
func (q Query) MarshalCBOR() ([]byte, error) { return cbor.Marshal(q.w) }

// UnmarshalCBOR decodes the query.
func (q *Query) UnmarshalCBOR(data []byte) error { return cbor.Unmarshal(data, &q.w) }

// Subscription is the list of services whose endpoints a node needs.
type Subscription struct{ w subscription }

type subscription struct {
	_        struct{} `cbor:",toarray"`
	Sequence uint64
	All      bool
	Active   bool
	Services []string
}

// NewSubscription returns a subscription; changes are pushed only for an active one, and sequence grows with each
// change.
func NewSubscription(sequence uint64, all, active bool, services []string) *Subscription {
	return &Subscription{w: subscription{Sequence: sequence, All: all, Active: active, Services: services}}
}

// Sequence returns the sequence number of the subscription within the node's incarnation.
func (s Subscription) Sequence() uint64 { return s.w.Sequence }

// All reports whether the node subscribes to every service.
func (s Subscription) All() bool { return s.w.All }

// Active reports whether the relay pushes changes to the node.
func (s Subscription) Active() bool { return s.w.Active }

// Services returns the subscribed services, which must not be changed.
func (s Subscription) Services() []string { return s.w.Services }

// MarshalCBOR encodes the subscription.
func (s Subscription) MarshalCBOR() ([]byte, error) { return cbor.Marshal(s.w) }

// UnmarshalCBOR decodes the subscription.
func (s *Subscription) UnmarshalCBOR(data []byte) error { return cbor.Unmarshal(data, &s.w) }
