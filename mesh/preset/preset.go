package preset

import (
	"encoding/json"
	"fmt"

	"wisteriaspoke.example/mesh/service"
)

// Preset is an immutable, named set of validated service definitions.
type Preset struct {
	name     string
	services []service.Service
	digests  map[string]string
	encoded  map[string][]byte
}

// New returns a preset of the services, which must be validated already; an error means that one cannot be encoded.
func New(name string, services []service.Service) (Preset, error) {
	p := Preset{name: name, services: services, digests: map[string]string{}, encoded: map[string][]byte{}}
	for _, s := range services {
		data, err := json.Marshal(s)
		if err != nil {
			return Preset{}, fmt.Errorf("service %s: %w", s.Name(), err)
		}
		digest := service.DigestOf(data)
		p.digests[s.Name()] = digest
		p.encoded[digest] = data
	}
	return p, nil
}

// Name returns the preset's name.
func (p Preset) Name() string { return p.name }

// Services returns the definitions in the order of the file, which must not be changed.
func (p Preset) Services() []service.Service { return p.services }

// DefinitionDigests returns the manifest, that is the digest of each service's definition, which must not be changed.
func (p Preset) DefinitionDigests() map[string]string { return p.digests }

// EncodedDefinitions returns the encoded definitions by digest, which must not be changed.
func (p Preset) EncodedDefinitions() map[string][]byte { return p.encoded }
