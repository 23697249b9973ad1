package call

import (
	"bytes"

	"github.com/fxamacker/cbor/v2"

	"wisteriaspoke.example/mesh/route"
)

// Header is one header line of a call or an answer.
type Header struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Call is an immutable request, routed or not.
type Call struct {
	f Fields
}

// Fields are the values of a Call.
type Fields struct {
	ID                  uint64      `cbor:"1,keyasint"` // random, the same on all hops and attempts
	Method              string      `cbor:"2,keyasint"`
	Host                string      `cbor:"3,keyasint"`
	Path                string      `cbor:"4,keyasint"` // with the query
	Headers             []Header    `cbor:"5,keyasint,omitempty"`
	Body                []byte      `cbor:"6,keyasint,omitempty"`
	Service             string      `cbor:"7,keyasint"`
	Version             string      `cbor:"8,keyasint"`
	Route               string      `cbor:"9,keyasint"`
	Tenant              string      `cbor:"10,keyasint,omitempty"`
	Class               route.Class `cbor:"11,keyasint"`
	Idempotent          bool        `cbor:"12,keyasint,omitempty"`
	IdempotencyKey      string      `cbor:"13,keyasint,omitempty"` // idempotency key
	TimeLeft            int64       `cbor:"14,keyasint"`           // milliseconds until the deadline
	Depth               int         `cbor:"15,keyasint,omitempty"` // calls above this one
	KeyCreated          int64       `cbor:"16,keyasint,omitempty"` // when the key was made, in milliseconds since 1970, or 0
	RequestID           string      `cbor:"17,keyasint,omitempty"` // the caller's identifier of the request
	Instance            string      `cbor:"18,keyasint,omitempty"` // the start of the upstream that may run the call; empty for any
	Caller              string      `cbor:"19,keyasint,omitempty"` // service beside which the request began
	Priority            int         `cbor:"20,keyasint,omitempty"` // urgency; 0 is the highest
	MaxWait             int64       `cbor:"21,keyasint,omitempty"` // longest wait for a slot, in milliseconds
	LatestStart         int64       `cbor:"22,keyasint,omitempty"` // milliseconds until the latest start that meets the latency objective
	ExpectedServiceTime int64       `cbor:"23,keyasint,omitempty"` // usual time of such calls in an upstream, in microseconds
	SentAt              int64       `cbor:"24,keyasint,omitempty"` // milliseconds from the link's start until the call was written, at the sender
}

// New returns a call with the fields, whose slices are not changed afterwards.
func New(f Fields) Call { return Call{f: f} }

// MarshalCBOR writes the call for a link between nodes.
func (c Call) MarshalCBOR() ([]byte, error) { return cbor.Marshal(c.f) }

// MarshalTo appends the call to the buffer, in the form of MarshalCBOR.
func (c Call) MarshalTo(b *bytes.Buffer) error { return cbor.MarshalToBuffer(c.f, b) }

// UnmarshalCBOR reads the call from a link between nodes.
func (c *Call) UnmarshalCBOR(data []byte) error { return cbor.Unmarshal(data, &c.f) }

// ID returns the identifier that all attempts of the call share.
func (c Call) ID() uint64 { return c.f.ID }

// Method returns the HTTP method.
func (c Call) Method() string { return c.f.Method }

// Host returns the HTTP host.
func (c Call) Host() string { return c.f.Host }

// Path returns the path with its query.
func (c Call) Path() string { return c.f.Path }

// Headers returns the end-to-end headers, which must not be changed.
func (c Call) Headers() []Header { return c.f.Headers }

// Body returns the whole body, which must not be changed.
func (c Call) Body() []byte { return c.f.Body }

// Service returns the service that the call was routed to.
func (c Call) Service() string { return c.f.Service }

// Version returns the upstream version that was drawn.
func (c Call) Version() string { return c.f.Version }

// Route returns the name of the matched route.
func (c Call) Route() string { return c.f.Route }

// Tenant returns the tenant of the route.
func (c Call) Tenant() string { return c.f.Tenant }

// Class returns the class of the route.
func (c Call) Class() route.Class { return c.f.Class }

// Idempotent reports whether the call may run more than once.
func (c Call) Idempotent() bool { return c.f.Idempotent }

// IdempotencyKey returns the caller's idempotency key, or the empty string.
func (c Call) IdempotencyKey() string { return c.f.IdempotencyKey }

// TimeLeft returns the milliseconds until the deadline at the time of sending.
func (c Call) TimeLeft() int64 { return c.f.TimeLeft }

// Depth returns how many calls of the mesh are above this one.
func (c Call) Depth() int { return c.f.Depth }

// KeyCreated returns when the caller says that it made the key, in milliseconds since 1970, or 0.
func (c Call) KeyCreated() int64 { return c.f.KeyCreated }

// RequestID returns the caller's identifier of the request, or the empty string.
func (c Call) RequestID() string { return c.f.RequestID }

// Instance returns the start of the upstream that may run the call, or the empty string for any.
func (c Call) Instance() string { return c.f.Instance }

// Caller returns the service beside which the request began.
func (c Call) Caller() string { return c.f.Caller }

// Priority returns the urgency; 0 is the highest.
func (c Call) Priority() int { return c.f.Priority }

// MaxWait returns the longest wait for a slot, in milliseconds.
func (c Call) MaxWait() int64 { return c.f.MaxWait }

// LatestStart returns the milliseconds until the latest start that meets the latency objective; it may have passed.
func (c Call) LatestStart() int64 { return c.f.LatestStart }

// ExpectedServiceTime returns the usual time of such calls in an upstream, in microseconds, or 0 if unknown.
func (c Call) ExpectedServiceTime() int64 { return c.f.ExpectedServiceTime }

// SentAt returns the milliseconds from the link's start until the call was written, by the sender's clock.
func (c Call) SentAt() int64 { return c.f.SentAt }

// Fields returns a copy of the values, to build a changed call from.
func (c Call) Fields() Fields { return c.f }
