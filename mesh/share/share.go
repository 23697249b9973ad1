package share

import (
	"encoding/json"

	"github.com/fxamacker/cbor/v2"
)

// FullPermille is the share of all calls, in thousandths.
const FullPermille = 1000

// Share is an immutable split of one service's calls.
type Share struct {
	w wire
}

type wire struct {
	Stable    string `json:"stable" cbor:"1,keyasint"`
	Candidate string `json:"candidate,omitempty" cbor:"2,keyasint,omitempty"`
	Permille  int    `json:"permille,omitempty" cbor:"3,keyasint,omitempty"`
	Rollout   string `json:"rollout,omitempty" cbor:"4,keyasint,omitempty"`
	Epoch     uint64 `json:"epoch,omitempty" cbor:"5,keyasint,omitempty"`
}

// New returns a split that gives candidate the permille of calls and stable the rest; rollout identifies the rollout
// that set it and epoch the lease under which it was set.
func New(stable, candidate string, permille int, rollout string, epoch uint64) Share {
	return Share{w: wire{Stable: stable, Candidate: candidate, Permille: permille, Rollout: rollout, Epoch: epoch}}
}

// MarshalJSON writes the share's own format.
func (s Share) MarshalJSON() ([]byte, error) { return json.Marshal(s.w) }

// UnmarshalJSON reads the share's own format.
func (s *Share) UnmarshalJSON(data []byte) error { return json.Unmarshal(data, &s.w) }

// MarshalCBOR writes the share for messages between nodes.
func (s Share) MarshalCBOR() ([]byte, error) { return cbor.Marshal(s.w) }

// UnmarshalCBOR reads the share from a message between nodes.
func (s *Share) UnmarshalCBOR(data []byte) error { return cbor.Unmarshal(data, &s.w) }

// Stable returns the version that takes the calls that the candidate does not.
func (s Share) Stable() string { return s.w.Stable }

// Candidate returns the new version, or the empty string when no rollout is under way.
func (s Share) Candidate() string { return s.w.Candidate }

// Permille returns the candidate's share in thousandths.
func (s Share) Permille() int { return s.w.Permille }

// Rollout returns the identifier of the rollout.
func (s Share) Rollout() string { return s.w.Rollout }

// Epoch returns the epoch of the lease under which the share was set.
func (s Share) Epoch() uint64 { return s.w.Epoch }
