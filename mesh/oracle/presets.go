package oracle

import (
	"encoding/json"
	"fmt"

	"wisteriaspoke.example/mesh/preset"
	"wisteriaspoke.example/mesh/service"
	"wisteriaspoke.example/mesh/simulator"
)

// The service that is rolled out, its versions and their failure rates.
const (
	rolloutService        = "startlisten"
	firstGoodVersion      = "1"
	secondGoodVersion     = "2"
	badVersion            = "3"
	badVersionFailureRate = 0.3
	normalFailureRate     = 0.002
)

// newToken returns a random token that identifies a write.
func newToken(s *simulator.Simulator) string { return fmt.Sprintf("%016x", s.Rand().Uint64()) }

// presetDefinitions lists the services of each preset in the order in which actions select them. The second preset
// reduces the subscriptions of some nodes, and the third omits a service.
var presetDefinitions = []struct {
	name     string
	services []string
}{
	{"ordinary", []string{
		`{"name":"startlisten","version":"1","routes":[{"name":"lists","path":"/lists"},{"name":"heats","path":"/heats"}]}`,
		`{"name":"meldung","version":"1","routes":[{"name":"entries","path":"/entries"}]}`,
		`{"name":"ergebnis","version":"1","routes":[{"name":"results","path":"/results"}]}`,
	}},
	{"peak", []string{
		`{"name":"startlisten","version":"1","routes":[{"name":"lists","path":"/lists"}]}`,
		`{"name":"meldung","version":"1","depends":["startlisten"],"routes":[{"name":"entries","path":"/entries"}]}`,
		`{"name":"ergebnis","version":"1","timeout":900,"routes":[{"name":"results","path":"/results"}]}`,
	}},
	{"maintenance", []string{
		`{"name":"startlisten","version":"1","timeout":500,"routes":[{"name":"lists","path":"/lists"}]}`,
		`{"name":"meldung","version":"1","timeout":500,"routes":[{"name":"entries","path":"/entries"}]}`,
	}},
}

// serviceByPath maps the path of each route to its service.
var serviceByPath = map[string]string{"/lists": "startlisten", "/heats": "startlisten", "/entries": "meldung", "/results": "ergebnis"}

// malformedDefinition is the content of a definition that no node may apply.
const malformedDefinition = `{"name":"meldung","version":`

// storePresets writes all presets and the malformed definition to the store.
func storePresets(s *simulator.Simulator) {
	for _, d := range presetDefinitions {
		var all []service.Service
		for _, text := range d.services {
			var v service.Service
			must(json.Unmarshal([]byte(text), &v))
			all = append(all, v)
		}
		p, err := preset.New(d.name, all)
		must(err)
		for digest, content := range p.EncodedDefinitions() {
			s.Store().Put(preset.DefinitionPlural, digest, content)
		}
		stored := preset.Manifest{}.Next(p, newToken(s), "setup")
		spec, err := stored.Encode()
		must(err)
		s.Store().Put(preset.Plural, d.name, spec)
	}
	s.Store().Put(preset.DefinitionPlural, malformedDigest(), []byte(malformedDefinition))
}

func malformedDigest() string { return service.DigestOf([]byte(malformedDefinition)) }

// must panics on an error that only a bug in the simulation can cause.
func must(err error) {
	if err != nil {
		panic(err)
	}
}
