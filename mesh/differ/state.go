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
	version     uint64
	preset      string
	definitions map[string]Definition
	shares      map[string]share.Share
	digest      uint64
}

// Definition is the definition of one service, decoded and encoded.
type Definition struct {
	digest  string
	encoded []byte
	service service.Service
}

// DecodeDefinition decodes a definition; its digest is computed from the canonical encoding, not from data.
func DecodeDefinition(data []byte) (Definition, error) {
	var s service.Service
	if err := json.Unmarshal(data, &s); err != nil {
		return Definition{}, fault.Wrap(fault.Invalid, err, "a definition cannot be decoded", "apply the preset again")
	}
	canonical, err := json.Marshal(s)
	if err != nil {
		return Definition{}, fault.Wrap(fault.Invalid, err, "a definition cannot be encoded", "apply the preset again")
	}
	return Definition{digest: service.DigestOf(canonical), encoded: canonical, service: s}, nil
}

// Digest returns the digest of the definition, which is also its name in the store.
func (d Definition) Digest() string { return d.digest }

// Service returns the decoded definition.
func (d Definition) Service() service.Service { return d.service }

// New returns a state after it has checked it: each definition is filed under its service's name, and each share has a
// definition of its service. The caller must not change the maps afterwards.
func New(
	version uint64, preset string, definitions map[string]Definition, shares map[string]share.Share,
) (State, error) {
	for name, p := range definitions {
		if p.service.Name() != name {
			return State{}, fault.New(fault.Invalid,
				fmt.Sprintf("version %d has the definition of %q under the name %q", version, p.service.Name(), name),
				"apply the preset again")
		}
	}
	for name := range shares {
		if _, ok := definitions[name]; !ok {
			return State{}, fault.New(fault.Invalid,
				fmt.Sprintf("version %d has a share for %q but no definition of it", version, name),
				"apply a preset that defines the service or remove the share")
		}
	}
	s := State{version: version, preset: preset, definitions: definitions, shares: shares}
	s.digest = s.computeDigest()
	return s, nil
}

func (s State) computeDigest() uint64 {
	h := xxhash.New()
	hashString := func(text string) {
		// Without the length, ("ab", "c") and ("a", "bc") would have the same digest.
		_, _ = h.Write(binary.AppendUvarint(nil, uint64(len(text))))
		_, _ = h.WriteString(text)
	}
	_, _ = h.Write(binary.AppendUvarint(nil, s.version))
	hashString(s.preset)
	for _, name := range slices.Sorted(maps.Keys(s.definitions)) {
		hashString(name)
		hashString(s.definitions[name].digest)
	}
	for _, name := range slices.Sorted(maps.Keys(s.shares)) {
		v := s.shares[name]
		hashString(name)
		hashString(fmt.Sprintf("%s %s %d %s %d", v.Stable(), v.Candidate(), v.Permille(), v.Rollout(), v.Epoch()))
	}
	return h.Sum64()
}

// Version returns the number of the version; later versions have higher numbers, and zero means none yet.
func (s State) Version() uint64 { return s.version }

// Digest returns the digest of the whole state.
func (s State) Digest() uint64 { return s.digest }

// Definition returns the definition of the named service and whether the state has it.
func (s State) Definition(name string) (Definition, bool) {
	p, ok := s.definitions[name]
	return p, ok
}

// Definitions returns the definitions by service name; callers must not change the map.
func (s State) Definitions() map[string]Definition { return s.definitions }

// Config returns the state in the form that the data path uses.
func (s State) Config() config.Config {
	services := make(map[string]service.Service, len(s.definitions))
	for name, p := range s.definitions {
		services[name] = p.service
	}
	return config.New(s.version, s.preset, services, s.shares)
}

// Filter returns the state with only the services that an upstream of ownService needs: ownService, its dependencies
// and the demanded ones. It returns s unchanged when ownService is empty, unknown, or lists no dependencies.
func (s State) Filter(ownService string, demanded []string) State {
	if s.NeedsAllServices(ownService) {
		return s
	}
	p := s.definitions[ownService]
	filtered := State{
		version: s.version, preset: s.preset,
		definitions: map[string]Definition{ownService: p}, shares: map[string]share.Share{},
	}
	for _, names := range [][]string{p.service.Dependencies(), demanded} {
		for _, name := range names {
			if d, ok := s.definitions[name]; ok {
				filtered.definitions[name] = d
			}
		}
	}
	for name := range filtered.definitions {
		if v, ok := s.shares[name]; ok {
			filtered.shares[name] = v
		}
	}
	filtered.digest = filtered.computeDigest()
	return filtered
}

// NeedsAllServices reports whether Filter keeps all services for an upstream of ownService.
func (s State) NeedsAllServices(ownService string) bool {
	p, ok := s.definitions[ownService]
	return ownService == "" || !ok || len(p.service.Dependencies()) == 0
}
