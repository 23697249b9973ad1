package notice

import "github.com/fxamacker/cbor/v2"

// Probe asks a node whether it is alive, or a relay when it last received a message of the node at Address.
type Probe struct{ w probe }

type probe struct {
	_       struct{} `cbor:",toarray"`
	Address string
}

// NewProbe returns a probe of the node at the address.
func NewProbe(address string) *Probe { return &Probe{w: probe{Address: address}} }

// Address returns the address of the probed node.
func (p Probe) Address() string { return p.w.Address }

// MarshalCBOR encodes the probe.
func (p Probe) MarshalCBOR() ([]byte, error) { return cbor.Marshal(p.w) }

// UnmarshalCBOR decodes the probe.
func (p *Probe) UnmarshalCBOR(data []byte) error { return cbor.Unmarshal(data, &p.w) }

// ProbeReply answers a Probe.
type ProbeReply struct{ w probeReply }

type probeReply struct {
	_                struct{} `cbor:",toarray"`
	Address          string
	MillisSinceHeard int64
}

// NewProbeReply returns the reply about the node at the address.
func NewProbeReply(address string, millisSinceHeard int64) *ProbeReply {
	return &ProbeReply{w: probeReply{Address: address, MillisSinceHeard: millisSinceHeard}}
}

// Address returns the address of the probed node.
func (r ProbeReply) Address() string { return r.w.Address }

// MillisSinceHeard returns the milliseconds since the last message of the node was received.
func (r ProbeReply) MillisSinceHeard() int64 { return r.w.MillisSinceHeard }

// MarshalCBOR encodes the reply.
func (r ProbeReply) MarshalCBOR() ([]byte, error) { return cbor.Marshal(r.w) }

// UnmarshalCBOR decodes the reply.
func (r *ProbeReply) UnmarshalCBOR(data []byte) error { return cbor.Unmarshal(data, &r.w) }
