package share

import (
	"encoding/json"

	"github.com/fxamacker/cbor/v2"
)

// FullPermille is the share of all calls, in thousandths.
const FullPermille = 1000

// Share is an immutable split of one service's calls between a stable version and a candidate.
type Share struct {
	fields fields
}

// fields is the encoded form of a Share.
type fields struct {
	Stable    string `json:"stable" cbor:"1,keyasint"`
	Candidate string `json:"candidate,omitempty" cbor:"2,keyasint,omitempty"`
	Permille  int    `json:"permille,omitempty" cbor:"3,keyasint,omitempty"`
	Rollout   string `json:"rollout,omitempty" cbor:"4,keyasint,omitempty"`
	Epoch     uint64 `json:"epoch,omitempty" cbor:"5,keyasint,omitempty"`
}

// New returns a split that sends permille thousandths of the calls to candidate and the rest to stable. rollout
// identifies the rollout that set the share, and epoch the lease under which it was set.
func New(stable, candidate string, permille int, rollout string, epoch uint64) Share {
	return Share{fields: fields{Stable: stable, Candidate: candidate, Permille: permille, Rollout: rollout, Epoch: epoch}}
}

// MarshalJSON encodes the share as JSON.
func (s Share) MarshalJSON() ([]byte, error) { return json.Marshal(s.fields) }

// UnmarshalJSON decodes the share from JSON.
func (s *Share) UnmarshalJSON(data []byte) error { return json.Unmarshal(data, &s.fields) }

// MarshalCBOR encodes the share for messages between nodes.
func (s Share) MarshalCBOR() ([]byte, error) { return cbor.Marshal(s.fields) }

// UnmarshalCBOR decodes the share from a message between nodes.
func (s *Share) UnmarshalCBOR(data []byte) error { return cbor.Unmarshal(data, &s.fields) }

// Stable returns the version that gets the calls that do not go to the candidate.
func (s Share) Stable() string { return s.fields.Stable }

// Candidate returns the new version, or the empty string when no rollout is under way.
func (s Share) Candidate() string { return s.fields.Candidate }

// Permille returns the candidate's share in thousandths.
func (s Share) Permille() int { return s.fields.Permille }

// Rollout returns the identifier of the rollout that set the share.
func (s Share) Rollout() string { return s.fields.Rollout }

// Epoch returns the epoch of the lease under which the share was set.
func (s Share) Epoch() uint64 { return s.fields.Epoch }
