package answer

import (
	"bytes"

	"github.com/fxamacker/cbor/v2"

	"wisteriaspoke.example/mesh/call"
	"wisteriaspoke.example/mesh/crashcount"
	"wisteriaspoke.example/mesh/holder"
)

// Ran states whether the upstream ran the call.
type Ran string

// Values of Ran.
const (
	No    Ran = "no"    // proven not to have run: not sent to the upstream, or refused by it
	Maybe Ran = "maybe" // may have run: no complete response arrived
	Yes   Ran = "yes"   // ran: a complete response arrived
)

// lowestStatus and highestStatus bound the status of a response that is not an interim one.
const (
	lowestStatus  = 200
	highestStatus = 599
)

// PossibleStatus reports whether a response that is not an interim one can have the status.
func PossibleStatus(status int) bool { return status >= lowestStatus && status <= highestStatus }

// Answer is an immutable response or refusal.
type Answer struct {
	f Fields
}

// Fields are the values of an Answer.
type Fields struct {
	Status           int              `cbor:"1,keyasint"`
	Headers          []call.Header    `cbor:"2,keyasint,omitempty"`
	Body             []byte           `cbor:"3,keyasint,omitempty"`
	Ran              Ran              `cbor:"4,keyasint"`
	Reason           string           `cbor:"5,keyasint,omitempty"`  // one word for a refusal or failure, such as "full"
	Retried          bool             `cbor:"6,keyasint,omitempty"`  // a nested call used a retry
	Outstanding      int              `cbor:"7,keyasint,omitempty"`  // calls at the endpoint, including queued ones
	Slots            int              `cbor:"8,keyasint,omitempty"`  // the endpoint's current limit
	RetryAfter       int64            `cbor:"9,keyasint,omitempty"`  // milliseconds until a refused call may get a slot
	ServiceTime      int64            `cbor:"10,keyasint,omitempty"` // microseconds in the upstream
	ServiceTimeRatio int64            `cbor:"11,keyasint,omitempty"` // service time / expected service time, in thousandths
	SentAt           int64            `cbor:"12,keyasint,omitempty"` // milliseconds since the link's start, by the sender's clock
	Leaving          bool             `cbor:"13,keyasint,omitempty"` // the upstream has said that it leaves
	CrashCount       crashcount.Count `cbor:"14,keyasint,omitempty"` // of the request, after the call
	Hold             *holder.Hold     `cbor:"-"`                     // the memory of a large body, or nil
}

// New returns an answer with the fields, whose slices must not be changed afterwards.
func New(f Fields) Answer { return Answer{f: f} }

// MarshalCBOR encodes the answer for a link between nodes.
func (a Answer) MarshalCBOR() ([]byte, error) { return cbor.Marshal(a.f) }

// MarshalTo appends the answer to the buffer, encoded as by MarshalCBOR.
func (a Answer) MarshalTo(b *bytes.Buffer) error {
	if len(a.f.Body) > holder.CountedFrom {
		return a.appendLarge(b)
	}
	return cbor.MarshalToBuffer(a.f, b)
}

// UnmarshalCBOR decodes an answer that MarshalCBOR encoded.
func (a *Answer) UnmarshalCBOR(data []byte) error { return cbor.Unmarshal(data, &a.f) }

// Status returns the HTTP status.
func (a Answer) Status() int { return a.f.Status }

// Headers returns the end-to-end headers, which must not be changed.
func (a Answer) Headers() []call.Header { return a.f.Headers }

// Body returns the whole body, which must not be changed.
func (a Answer) Body() []byte { return a.f.Body }

// Ran returns whether the upstream ran the call.
func (a Answer) Ran() Ran { return a.f.Ran }

// Reason returns one word for a refusal or failure, such as "full", or the empty string.
func (a Answer) Reason() string { return a.f.Reason }

// Retried reports whether a nested call used a retry.
func (a Answer) Retried() bool { return a.f.Retried }

// Outstanding returns the number of calls at the endpoint, including queued ones.
func (a Answer) Outstanding() int { return a.f.Outstanding }

// Slots returns the endpoint's current limit of concurrent calls, or zero if unknown.
func (a Answer) Slots() int { return a.f.Slots }

// RetryAfter returns the milliseconds until a refused call is expected to get a slot, or 0 if unknown.
func (a Answer) RetryAfter() int64 { return a.f.RetryAfter }

// ServiceTime returns the microseconds that the call spent in the upstream, or 0 if it did not get there.
func (a Answer) ServiceTime() int64 { return a.f.ServiceTime }

// ServiceTimeRatio returns the endpoint's service time as a multiple of the expected one, in thousandths, or 0 if
// unknown.
func (a Answer) ServiceTimeRatio() int64 { return a.f.ServiceTimeRatio }

// Leaving reports whether the upstream has said in a response that it leaves.
func (a Answer) Leaving() bool { return a.f.Leaving }

// SentAt returns when the answer was sent, in milliseconds since the link's start by the sender's clock, or 0 if unknown.
func (a Answer) SentAt() int64 { return a.f.SentAt }

// CrashCount returns how often the request has crashed upstreams, after the call.
func (a Answer) CrashCount() crashcount.Count { return a.f.CrashCount }

// Hold returns the memory of the body, which whoever ends the answer's way releases, or nil.
func (a Answer) Hold() *holder.Hold { return a.f.Hold }

// Fields returns a copy of the values, from which a modified answer can be built.
func (a Answer) Fields() Fields { return a.f }
