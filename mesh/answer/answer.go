package answer

import (
	"bytes"

	"github.com/fxamacker/cbor/v2"

	"wisteriaspoke.example/mesh/call"
)

// Ran says whether the upstream ran the call.
type Ran string

// What is known of a call's run.
const (
	No    Ran = "no"    // proven: the upstream got no byte of it
	Maybe Ran = "maybe" // no whole response came
	Yes   Ran = "yes"   // a whole response came
)

// Answer is an immutable response or refusal.
type Answer struct {
	f Fields
}

// Fields are the values of an Answer.
type Fields struct {
	Status           int           `cbor:"1,keyasint"`
	Headers          []call.Header `cbor:"2,keyasint,omitempty"`
	Body             []byte        `cbor:"3,keyasint,omitempty"`
	Ran              Ran           `cbor:"4,keyasint"`
	Reason           string        `cbor:"5,keyasint,omitempty"`  // one word for a refusal, such as "full"
	Retried          bool          `cbor:"6,keyasint,omitempty"`  // a deeper hop has used a retry
	Outstanding      int           `cbor:"7,keyasint,omitempty"`  // calls at the endpoint, with the queue
	Slots            int           `cbor:"8,keyasint,omitempty"`  // the endpoint's current limit
	RetryAfter       int64         `cbor:"9,keyasint,omitempty"`  // milliseconds until a refused call is expected to find room
	ServiceTime      int64         `cbor:"10,keyasint,omitempty"` // microseconds in the upstream
	ServiceTimeRatio int64         `cbor:"11,keyasint,omitempty"` // the upstream's time as a multiple of the usual one, in thousandths
}

// New returns an answer with the fields, whose slices are not changed afterwards.
func New(f Fields) Answer { return Answer{f: f} }

// MarshalCBOR writes the answer for a link between nodes.
func (a Answer) MarshalCBOR() ([]byte, error) { return cbor.Marshal(a.f) }

// MarshalTo appends the answer to the buffer, in the form of MarshalCBOR.
func (a Answer) MarshalTo(b *bytes.Buffer) error { return cbor.MarshalToBuffer(a.f, b) }

// UnmarshalCBOR reads the answer from a link between nodes.
func (a *Answer) UnmarshalCBOR(data []byte) error { return cbor.Unmarshal(data, &a.f) }

// Status returns the HTTP status.
func (a Answer) Status() int { return a.f.Status }

// Headers returns the end-to-end headers, which must not be changed.
func (a Answer) Headers() []call.Header { return a.f.Headers }

// Body returns the whole body, which must not be changed.
func (a Answer) Body() []byte { return a.f.Body }

// Ran returns what is known of the call's run.
func (a Answer) Ran() Ran { return a.f.Ran }

// Reason returns one word for a refusal, or the empty string.
func (a Answer) Reason() string { return a.f.Reason }

// Retried reports whether a deeper hop has used a retry.
func (a Answer) Retried() bool { return a.f.Retried }

// Outstanding returns the calls at the endpoint, with its queue.
func (a Answer) Outstanding() int { return a.f.Outstanding }

// Slots returns the endpoint's current limit of concurrent calls, or zero if unknown.
func (a Answer) Slots() int { return a.f.Slots }

// RetryAfter returns the milliseconds until a refused call is expected to find room, or 0 if unknown.
func (a Answer) RetryAfter() int64 { return a.f.RetryAfter }

// ServiceTime returns the microseconds that the call spent in the upstream, or 0 if it did not get there.
func (a Answer) ServiceTime() int64 { return a.f.ServiceTime }

// ServiceTimeRatio returns the upstream's time for calls as a multiple of the usual one, in thousandths, or 0 if unknown.
func (a Answer) ServiceTimeRatio() int64 { return a.f.ServiceTimeRatio }

// Fields returns a copy of the values, to build a changed answer from.
func (a Answer) Fields() Fields { return a.f }
