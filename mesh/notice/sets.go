package notice

import (
	"github.com/fxamacker/cbor/v2"

	"wisteriaspoke.example/mesh/encoder"
	"wisteriaspoke.example/mesh/group"
)

// Digest identifies the sets that a relay holds by one checksum for each data centre.
type Digest struct{ w digest }

type digest struct {
	_    struct{} `cbor:",toarray"`
	Sums map[string]uint64
}

// NewDigest returns a digest; the key is a data centre, or empty for the receiver's whole subscription.
func NewDigest(sums map[string]uint64) *Digest { return &Digest{w: digest{Sums: sums}} }

// Sums returns the checksum for each scope, which must not be changed.
func (d Digest) Sums() map[string]uint64 { return d.w.Sums }

// MarshalCBOR encodes the digest.
func (d Digest) MarshalCBOR() ([]byte, error) { return encoder.Marshal(d.w) }

// UnmarshalCBOR decodes the digest.
func (d *Digest) UnmarshalCBOR(data []byte) error { return cbor.Unmarshal(data, &d.w) }

// SetVersion is the version of one set.
type SetVersion struct {
	dataCentre string
	service    string
	epoch      uint64
	sequence   uint64
}

type setVersion struct {
	_          struct{} `cbor:",toarray"`
	DataCentre string
	Service    string
	Epoch      uint64
	Sequence   uint64
}

// NewSetVersion returns the version of a set.
func NewSetVersion(g group.Group) SetVersion {
	return SetVersion{dataCentre: g.DataCentre(), service: g.Service(), epoch: g.Epoch(), sequence: g.Sequence()}
}

// EmptyGroup returns an empty group with the version, for comparison.
func (v SetVersion) EmptyGroup() group.Group {
	return group.New(v.dataCentre, v.service, v.epoch, v.sequence, nil)
}

// MarshalCBOR encodes the version.
func (v SetVersion) MarshalCBOR() ([]byte, error) {
	return cbor.Marshal(setVersion{DataCentre: v.dataCentre, Service: v.service, Epoch: v.epoch, Sequence: v.sequence})
}

// UnmarshalCBOR decodes the version.
func (v *SetVersion) UnmarshalCBOR(data []byte) error {
	var w setVersion
	if err := cbor.Unmarshal(data, &w); err != nil {
		return err
	}
	*v = SetVersion{dataCentre: w.DataCentre, service: w.Service, epoch: w.Epoch, sequence: w.Sequence}
	return nil
}

// Pull requests the sets of some scopes that are newer than those held.
type Pull struct{ w pull }

type pull struct {
	_            struct{} `cbor:",toarray"`
	Scopes       []string
	HeldVersions []SetVersion
}

// NewPull returns a request; scopes are as in a Digest, or empty for everything.
func NewPull(scopes []string, held []SetVersion) *Pull {
	return &Pull{w: pull{Scopes: scopes, HeldVersions: held}}
}

// Scopes returns the requested scopes, which must not be changed.
func (p Pull) Scopes() []string { return p.w.Scopes }

// HeldVersions returns the versions that the sender holds, which must not be changed.
func (p Pull) HeldVersions() []SetVersion { return p.w.HeldVersions }

// MarshalCBOR encodes the request.
func (p Pull) MarshalCBOR() ([]byte, error) { return cbor.Marshal(p.w) }

// UnmarshalCBOR decodes the request.
func (p *Pull) UnmarshalCBOR(data []byte) error { return cbor.Unmarshal(data, &p.w) }

// Sets contains sets of endpoints, and departures that these sets may not include yet.
type Sets struct{ w sets }

type sets struct {
	_          struct{} `cbor:",toarray"`
	Groups     []group.Group
	Departures []Departure
	Complete   bool
}

// NewSets returns a message with sets; complete is set on the last reply to a Pull without scopes.
func NewSets(groups []group.Group, departures []Departure, complete bool) *Sets {
	return &Sets{w: sets{Groups: groups, Departures: departures, Complete: complete}}
}

// Groups returns the sets, which must not be changed.
func (s Sets) Groups() []group.Group { return s.w.Groups }

// Departures returns the departures, which must not be changed.
func (s Sets) Departures() []Departure { return s.w.Departures }

// Complete reports whether the message is the last reply to a Pull without scopes.
func (s Sets) Complete() bool { return s.w.Complete }

// MarshalCBOR encodes the message.
func (s Sets) MarshalCBOR() ([]byte, error) { return cbor.Marshal(s.w) }

// UnmarshalCBOR decodes the message.
func (s *Sets) UnmarshalCBOR(data []byte) error { return cbor.Unmarshal(data, &s.w) }

// Departure states that one incarnation of an endpoint accepts no new calls, even if a set still lists it.
type Departure struct{ w departure }

type departure struct {
	_           struct{} `cbor:",toarray"`
	Address     string
	DataCentre  string
	Service     string
	Incarnation uint64
}

// NewDeparture returns the departure of one incarnation of an endpoint.
func NewDeparture(address, dataCentre, service string, incarnation uint64) Departure {
	return Departure{w: departure{Address: address, DataCentre: dataCentre, Service: service, Incarnation: incarnation}}
}

// Address returns the endpoint's address.
func (d Departure) Address() string { return d.w.Address }

// DataCentre returns the endpoint's data centre.
func (d Departure) DataCentre() string { return d.w.DataCentre }

// Service returns the endpoint's service.
func (d Departure) Service() string { return d.w.Service }

// Incarnation returns the last incarnation that departed.
func (d Departure) Incarnation() uint64 { return d.w.Incarnation }

// MarshalCBOR encodes the departure.
func (d Departure) MarshalCBOR() ([]byte, error) { return cbor.Marshal(d.w) }

// UnmarshalCBOR decodes the departure.
func (d *Departure) UnmarshalCBOR(data []byte) error { return cbor.Unmarshal(data, &d.w) }
