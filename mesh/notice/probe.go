package notice

import "github.com/fxamacker/cbor/v2"

// Probe asks a node whether it lives, or a relay when it last heard the node at Address.
type Probe struct{ w probe }

type probe struct {
	_       struct{} `cbor:",toarray"`
	Address string
}

// NewProbe returns a question about the node at the address.
func NewProbe(address string) *Probe { return &Probe{w: probe{Address: address}} }

// Address returns the address of the node in question.
func (p Probe) Address() string { return p.w.Address }

// MarshalCBOR writes the probe's own format.
func (p Probe) MarshalCBOR() ([]byte, error) { return cbor.Marshal(p.w) }

// UnmarshalCBOR reads the probe's own format.
func (p *Probe) UnmarshalCBOR(data []byte) error { return cbor.Unmarshal(data, &p.w) }

// ProbeReply answers a Probe.
type ProbeReply struct{ w echo }

type echo struct {
	_                struct{} `cbor:",toarray"`
	Address          string
	MillisSinceHeard int64
}

// NewProbeReply returns an answer about the node at the address; age is the time since it was heard, in milliseconds.
func NewProbeReply(address string, age int64) *ProbeReply {
	return &ProbeReply{w: echo{Address: address, MillisSinceHeard: age}}
}

// Address returns the address of the node in question.
func (e ProbeReply) Address() string { return e.w.Address }

// MillisSinceHeard returns the time since the node was heard, in milliseconds.
func (e ProbeReply) MillisSinceHeard() int64 { return e.w.MillisSinceHeard }

// MarshalCBOR writes the answer's own format.
func (e ProbeReply) MarshalCBOR() ([]byte, error) { return cbor.Marshal(e.w) }

// UnmarshalCBOR reads the answer's own format.
func (e *ProbeReply) UnmarshalCBOR(data []byte) error { return cbor.Unmarshal(data, &e.w) }
