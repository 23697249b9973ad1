package call

import (
	"bytes"

	"github.com/fxamacker/cbor/v2"

	"wisteriaspoke.example/mesh/crashcount"
	"wisteriaspoke.example/mesh/route"
)

// Header is one header line of a call or an answer.
type Header struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Call is an immutable request that a node routes to an endpoint of a service.
type Call struct {
	f Fields
}

// Fields are the values of a Call.
type Fields struct {
	ID                  uint64           `cbor:"1,keyasint"` // random, the same on all hops and attempts
	Method              string           `cbor:"2,keyasint"`
	Host                string           `cbor:"3,keyasint"`
	Path                string           `cbor:"4,keyasint"` // including the query
	Headers             []Header         `cbor:"5,keyasint,omitempty"`
	Body                []byte           `cbor:"6,keyasint,omitempty"`
	Service             string           `cbor:"7,keyasint"`
	Version             string           `cbor:"8,keyasint"`
	Route               string           `cbor:"9,keyasint"`
	Tenant              string           `cbor:"10,keyasint,omitempty"`
	Class               route.Class      `cbor:"11,keyasint"`
	Idempotent          bool             `cbor:"12,keyasint,omitempty"`
	IdempotencyKey      string           `cbor:"13,keyasint,omitempty"` // of the caller
	TimeLeft            int64            `cbor:"14,keyasint"`           // milliseconds until the deadline
	Depth               int              `cbor:"15,keyasint,omitempty"` // number of calls in the chain above this one
	KeyCreated          int64            `cbor:"16,keyasint,omitempty"` // creation time of the key in Unix milliseconds, or 0
	RequestID           string           `cbor:"17,keyasint,omitempty"` // the caller's identifier of the request
	Instance            string           `cbor:"18,keyasint,omitempty"` // only upstream instance that may run it; empty for any
	Caller              string           `cbor:"19,keyasint,omitempty"` // service whose node received the request first
	Priority            int              `cbor:"20,keyasint,omitempty"` // 0 is the highest
	MaxWait             int64            `cbor:"21,keyasint,omitempty"` // wait limit for a slot, in milliseconds
	LatestStart         int64            `cbor:"22,keyasint,omitempty"` // milliseconds until the latest start, may be negative
	ExpectedServiceTime int64            `cbor:"23,keyasint,omitempty"` // of such calls in an upstream, in microseconds
	SentAt              int64            `cbor:"24,keyasint,omitempty"` // milliseconds since the link's start, by the receiver's clock
	CrashCount          crashcount.Count `cbor:"25,keyasint,omitempty"` // of the request, as known where it was sent
	KeyHash             []byte           `cbor:"26,keyasint,omitempty"` // of the tenant's key; empty if the route needs none
	KeyVersion          uint64           `cbor:"27,keyasint,omitempty"` // of the configuration that has the key; 0 if keys are not checked again

	// Nested says that an upstream makes the call while it runs another one. The nodes that send a call need to know; its
	// priority and its times say enough where it runs.
	Nested bool `cbor:"-"`
}

// New returns a call with the fields, whose slices must not be changed afterwards.
func New(f Fields) Call { return Call{f: f} }

// MarshalCBOR encodes the call for a link between nodes.
func (c Call) MarshalCBOR() ([]byte, error) { return cbor.Marshal(c.f) }

// MarshalTo appends the call to the buffer, encoded as by MarshalCBOR.
func (c Call) MarshalTo(b *bytes.Buffer) error { return cbor.MarshalToBuffer(c.f, b) }

// UnmarshalCBOR decodes a call that MarshalCBOR encoded.
func (c *Call) UnmarshalCBOR(data []byte) error { return cbor.Unmarshal(data, &c.f) }

// ID returns the identifier that all attempts and hops of the call share.
func (c Call) ID() uint64 { return c.f.ID }

// Method returns the HTTP method.
func (c Call) Method() string { return c.f.Method }

// Host returns the HTTP host.
func (c Call) Host() string { return c.f.Host }

// Path returns the path including the query.
func (c Call) Path() string { return c.f.Path }

// Headers returns the end-to-end headers, which must not be changed.
func (c Call) Headers() []Header { return c.f.Headers }

// Body returns the whole body, which must not be changed.
func (c Call) Body() []byte { return c.f.Body }

// Service returns the service that the call was routed to.
func (c Call) Service() string { return c.f.Service }

// Version returns the chosen version of the upstream.
func (c Call) Version() string { return c.f.Version }

// Route returns the name of the matched route.
func (c Call) Route() string { return c.f.Route }

// KeyHash returns the hash of the tenant's key, or nil if the call needs none. It must not be changed.
func (c Call) KeyHash() []byte { return c.f.KeyHash }

// KeyVersion returns the version of the configuration that has the key, or 0 if the key is not checked again.
func (c Call) KeyVersion() uint64 { return c.f.KeyVersion }

// Tenant returns the tenant of the route, or the name of the tenant whose key the request has.
func (c Call) Tenant() string { return c.f.Tenant }

// Class returns the class of the route.
func (c Call) Class() route.Class { return c.f.Class }

// Idempotent reports whether the call may run more than once.
func (c Call) Idempotent() bool { return c.f.Idempotent }

// IdempotencyKey returns the caller's idempotency key, or the empty string.
func (c Call) IdempotencyKey() string { return c.f.IdempotencyKey }

// TimeLeft returns the milliseconds until the deadline at the time of sending.
func (c Call) TimeLeft() int64 { return c.f.TimeLeft }

// Depth returns the number of calls of the mesh in the chain above this one.
func (c Call) Depth() int { return c.f.Depth }

// KeyCreated returns the creation time that the caller states for the key, in Unix milliseconds, or 0.
func (c Call) KeyCreated() int64 { return c.f.KeyCreated }

// RequestID returns the caller's identifier of the request, or the empty string.
func (c Call) RequestID() string { return c.f.RequestID }

// Instance returns the identifier of the only upstream instance that may run the call, or the empty string for any.
func (c Call) Instance() string { return c.f.Instance }

// Caller returns the service whose node received the request first.
func (c Call) Caller() string { return c.f.Caller }

// Priority returns the priority; 0 is the highest.
func (c Call) Priority() int { return c.f.Priority }

// MaxWait returns the wait limit for a slot, in milliseconds.
func (c Call) MaxWait() int64 { return c.f.MaxWait }

// LatestStart returns the milliseconds until the latest start that meets the latency objective; it may be negative.
func (c Call) LatestStart() int64 { return c.f.LatestStart }

// ExpectedServiceTime returns the expected service time of such calls, in microseconds, or 0 if unknown.
func (c Call) ExpectedServiceTime() int64 { return c.f.ExpectedServiceTime }

// SentAt returns a time before which the call was not sent, in milliseconds since the link's start by the receiver's
// clock, or 0 if unknown.
func (c Call) SentAt() int64 { return c.f.SentAt }

// CrashCount returns how often the request has crashed upstreams, as known where the call was sent.
func (c Call) CrashCount() crashcount.Count { return c.f.CrashCount }

// Fields returns a copy of the values, from which a modified call can be built.
func (c Call) Fields() Fields { return c.f }
