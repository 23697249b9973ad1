package verdict

import "github.com/fxamacker/cbor/v2"

// Verdict states that a rollout's new version is bad and must get no more calls. It is never withdrawn for its rollout.
type Verdict struct {
	w wire
}

type wire struct {
	Service string `cbor:"1,keyasint"`
	Version string `cbor:"2,keyasint"`
	Rollout string `cbor:"3,keyasint"`
	Reason  string `cbor:"4,keyasint"`
}

// New returns a verdict on the rollout's new version of the service.
func New(service, version, rollout, reason string) Verdict {
	return Verdict{w: wire{Service: service, Version: version, Rollout: rollout, Reason: reason}}
}

// MarshalCBOR encodes the verdict for messages between nodes.
func (v Verdict) MarshalCBOR() ([]byte, error) { return cbor.Marshal(v.w) }

// UnmarshalCBOR decodes the verdict from a message between nodes.
func (v *Verdict) UnmarshalCBOR(data []byte) error { return cbor.Unmarshal(data, &v.w) }

// Service returns the service's name.
func (v Verdict) Service() string { return v.w.Service }

// Version returns the bad version.
func (v Verdict) Version() string { return v.w.Version }

// Rollout returns the identifier of the rollout that the verdict ends.
func (v Verdict) Rollout() string { return v.w.Rollout }

// Reason returns one sentence for operators that says why the version is bad.
func (v Verdict) Reason() string { return v.w.Reason }
