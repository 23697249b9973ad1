package oracle

import (
	"encoding/json"
	"fmt"

	"wisteriaspoke.example/mesh/preset"
	"wisteriaspoke.example/mesh/service"
	"wisteriaspoke.example/mesh/simulator"
)

// The versions of the service that moves.
const (
	mover       = "startlisten"
	firstGood   = "1"
	secondGood  = "2"
	badVersion  = "3"
	badFailures = 0.3
	someFailure = 0.002
)

// token returns a random mark of a write.
func token(s *simulator.Simulator) string { return fmt.Sprintf("%016x", s.Rand().Uint64()) }

// definitions are the services of each preset, in the order in which actions select them. The second narrows what some
// nodes subscribe to, and the third lacks a service.
var definitions = []struct {
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

// paths are the paths of all routes, each with its service.
var paths = map[string]string{"/lists": "startlisten", "/heats": "startlisten", "/entries": "meldung", "/results": "ergebnis"}

// malformed is the content of a part that no node may apply.
const malformed = `{"name":"meldung","version":`

// prepare puts all presets into the store.
func prepare(s *simulator.Simulator) {
	for _, d := range definitions {
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
		stored := preset.Manifest{}.Next(p, token(s), "setup")
		spec, err := stored.Encode()
		must(err)
		s.Store().Put(preset.Plural, d.name, spec)
	}
	s.Store().Put(preset.DefinitionPlural, malformedDigest(), []byte(malformed))
}

func malformedDigest() string { return service.DigestOf([]byte(malformed)) }

// must panics on an error that only a fault of the model can cause.
func must(err error) {
	if err != nil {
		panic(err)
	}
}
