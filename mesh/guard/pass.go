package guard

// Pass is an immutable permission to send one call to the local upstream.
type Pass struct {
	id          uint64
	epoch       uint64
	fingerprint string
}

// NewPass returns the pass of a call that is not sent yet. The ID is 0 for a call without marks, and the fingerprint is
// empty if it has not been computed.
func NewPass(id uint64, fingerprint string) Pass { return Pass{id: id, fingerprint: fingerprint} }

// WithEpoch returns the pass of the call after it was sent in the epoch.
func (p Pass) WithEpoch(epoch uint64) Pass {
	p.epoch = epoch
	return p
}

// ID returns the ID of a suspect, or 0 for a call without marks.
func (p Pass) ID() uint64 { return p.id }

// Epoch returns the epoch in which the call was sent.
func (p Pass) Epoch() uint64 { return p.epoch }

// Fingerprint returns the call's fingerprint, or the empty string if it has not been computed.
func (p Pass) Fingerprint() string { return p.fingerprint }
