package preset

import (
	"encoding/json"
	"fmt"

	"wisteriaspoke.example/mesh/service"
)

// Preset is an immutable set of checked definitions under one name.
type Preset struct {
	name     string
	services []service.Service
	parts    map[string]string
	contents map[string][]byte
}

// New returns a preset of the services, which are already checked; an error means that one cannot be encoded.
func New(name string, services []service.Service) (Preset, error) {
	p := Preset{name: name, services: services, parts: map[string]string{}, contents: map[string][]byte{}}
	for _, s := range services {
		data, err := json.Marshal(s)
		if err != nil {
			return Preset{}, fmt.Errorf("service %s: %w", s.Name(), err)
		}
		digest := service.DigestOf(data)
		p.parts[s.Name()] = digest
		p.contents[digest] = data
	}
	return p, nil
}

// Name returns the preset's name.
func (p Preset) Name() string { return p.name }

// Services returns the definitions in the order of the file, which must not be changed.
func (p Preset) Services() []service.Service { return p.services }

// DefinitionDigests returns the manifest, the digest of each service's definition, which must not be changed.
func (p Preset) DefinitionDigests() map[string]string { return p.parts }

// EncodedDefinitions returns the encoded definitions by digest, which must not be changed.
func (p Preset) EncodedDefinitions() map[string][]byte { return p.contents }
