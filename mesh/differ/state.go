package differ

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"wisteriaspoke.example/mesh/config"
	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/service"
	"wisteriaspoke.example/mesh/share"
)

// State is an immutable configuration version with the encoded definitions of its services.
type State struct {
	version uint64
	preset  string
	parts   map[string]Definition
	shares  map[string]share.Share
	digest  uint64
}

// Definition is one decoded definition with its encoding.
type Definition struct {
	digest  string
	data    []byte
	service service.Service
}

// DecodeDefinition returns the part in data; its digest is that of the canonical encoding.
func DecodeDefinition(data []byte) (Definition, error) {
	var s service.Service
	if err := json.Unmarshal(data, &s); err != nil {
		return Definition{}, fault.Wrap(fault.Invalid, err, "a definition cannot be decoded", "apply the preset again")
	}
	canonical, err := json.Marshal(s)
	if err != nil {
		return Definition{}, fault.Wrap(fault.Invalid, err, "a definition cannot be encoded", "apply the preset again")
	}
	return Definition{digest: service.DigestOf(canonical), data: canonical, service: s}, nil
}

// Digest returns the name under which the part is stored.
func (p Definition) Digest() string { return p.digest }

// Service returns the definition.
func (p Definition) Service() service.Service { return p.service }

// New returns a state that passed the check of the whole: each part names its own service, and no share names a
// service without a part. The maps are not changed afterwards.
func New(version uint64, preset string, parts map[string]Definition, shares map[string]share.Share) (State, error) {
	for name, p := range parts {
		if p.service.Name() != name {
			return State{}, fault.New(fault.Invalid,
				fmt.Sprintf("version %d has the definition of %q under the name %q", version, p.service.Name(), name),
				"apply the preset again")
		}
	}
	for name := range shares {
		if _, ok := parts[name]; !ok {
			return State{}, fault.New(fault.Invalid,
				fmt.Sprintf("version %d has a share for %q but no definition of it", version, name),
				"apply a preset that defines the service or remove the share")
		}
	}
	s := State{version: version, preset: preset, parts: parts, shares: shares}
	s.digest = s.sum()
	return s, nil
}

func (s State) sum() uint64 {
	h := xxhash.New()
	put := func(text string) {
		// The length first keeps ("ab", "c") and ("a", "bc") apart.
		_, _ = h.Write(binary.AppendUvarint(nil, uint64(len(text))))
		_, _ = h.WriteString(text)
	}
	_, _ = h.Write(binary.AppendUvarint(nil, s.version))
	put(s.preset)
	for _, name := range slices.Sorted(maps.Keys(s.parts)) {
		put(name)
		put(s.parts[name].digest)
	}
	for _, name := range slices.Sorted(maps.Keys(s.shares)) {
		v := s.shares[name]
		put(name)
		put(fmt.Sprintf("%s %s %d %s %d", v.Stable(), v.Candidate(), v.Permille(), v.Rollout(), v.Epoch()))
	}
	return h.Sum64()
}

// Version returns the place in the total order of configurations; zero before the first.
func (s State) Version() uint64 { return s.version }

// Digest returns the digest of the whole state.
func (s State) Digest() uint64 { return s.digest }

// Definition returns the definition of the service, if the state has it.
func (s State) Definition(name string) (Definition, bool) {
	p, ok := s.parts[name]
	return p, ok
}

// Definitions returns the definitions by name, which must not be changed.
func (s State) Definitions() map[string]Definition { return s.parts }

// Config returns the state as the data path takes it.
func (s State) Config() config.Config {
	services := make(map[string]service.Service, len(s.parts))
	for name, p := range s.parts {
		services[name] = p.service
	}
	return config.New(s.version, s.preset, services, s.shares)
}

// Filter returns the state with the services that an upstream of own needs: itself, those it depends on and those
// demanded. All remain when own is empty, unknown, or lists no dependencies.
func (s State) Filter(own string, demanded []string) State {
	if s.NeedsAllServices(own) {
		return s
	}
	p := s.parts[own]
	f := State{version: s.version, preset: s.preset, parts: map[string]Definition{own: p}, shares: map[string]share.Share{}}
	for _, names := range [][]string{p.service.Dependencies(), demanded} {
		for _, name := range names {
			if d, ok := s.parts[name]; ok {
				f.parts[name] = d
			}
		}
	}
	for name := range f.parts {
		if v, ok := s.shares[name]; ok {
			f.shares[name] = v
		}
	}
	f.digest = f.sum()
	return f
}

// NeedsAllServices reports whether an upstream of own needs all services of the state.
func (s State) NeedsAllServices(own string) bool {
	p, ok := s.parts[own]
	return own == "" || !ok || len(p.service.Dependencies()) == 0
}
