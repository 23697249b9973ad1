package mark

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Mark is an immutable record that a call was in flight in one crash, or that this crash no longer counts against it.
type Mark struct {
	f Fields
}

// Fields are the values of a Mark. Endpoint, Incarnation and Counter identify the crash.
type Fields struct {
	Endpoint    string        `cbor:"1,keyasint"` // address of the node beside the upstream that crashed
	Incarnation uint64        `cbor:"2,keyasint"` // of that node
	Counter     uint64        `cbor:"3,keyasint"` // of crashes observed by that node since its start
	Fingerprint string        `cbor:"4,keyasint"` // fingerprint of the call
	Cleared     bool          `cbor:"5,keyasint,omitempty"`
	TimeLeft    time.Duration `cbor:"6,keyasint"` // time until the mark expires, not a date, as nodes' clocks differ
}

// New returns a mark with the fields.
func New(f Fields) Mark { return Mark{f: f} }

// MarshalCBOR encodes the mark for a link between nodes.
func (m Mark) MarshalCBOR() ([]byte, error) { return cbor.Marshal(m.f) }

// UnmarshalCBOR decodes the mark from a link between nodes.
func (m *Mark) UnmarshalCBOR(data []byte) error { return cbor.Unmarshal(data, &m.f) }

// CrashID returns the identity of the crash.
func (m Mark) CrashID() string {
	return fmt.Sprintf("%s/%d/%d", m.f.Endpoint, m.f.Incarnation, m.f.Counter)
}

// Endpoint returns the address of the node that observed the crash.
func (m Mark) Endpoint() string { return m.f.Endpoint }

// Fingerprint returns the fingerprint of the call.
func (m Mark) Fingerprint() string { return m.f.Fingerprint }

// Cleared reports whether the crash no longer counts against the call.
func (m Mark) Cleared() bool { return m.f.Cleared }

// TimeLeft returns the time until the mark expires.
func (m Mark) TimeLeft() time.Duration { return m.f.TimeLeft }

// Fields returns a copy of the values, from which a changed mark can be built.
func (m Mark) Fields() Fields { return m.f }
