package preset

import (
	"encoding/json"

	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/object"
)

// Plural is where presets stand in the store.
const Plural = "presets"

// DefinitionPlural is where the definitions of all presets stand in the store, each under its digest.
const DefinitionPlural = "parts"

// Manifest is one immutable version of a preset's manifest in the store.
type Manifest struct {
	w wire
}

type wire struct {
	Name     string            `json:"name"`
	Parts    map[string]string `json:"parts"`
	Revision uint64            `json:"revision"`
	Writer   string            `json:"writer,omitempty"`
	Token    string            `json:"token"`
}

// Decode returns the manifest in a stored object; the zero Manifest for an object that does not stand.
func Decode(o object.Object) (Manifest, error) {
	var s Manifest
	if len(o.Spec()) == 0 {
		return s, nil
	}
	if err := json.Unmarshal(o.Spec(), &s.w); err != nil {
		return s, fault.Wrap(fault.Invalid, err, "the object presets/"+o.Name()+" is malformed", "apply the preset again")
	}
	return s, nil
}

// Encode returns the manifest's content as JSON.
func (s Manifest) Encode() ([]byte, error) { return json.Marshal(s.w) }

// Next returns the manifest that follows s with the content of p.
func (s Manifest) Next(p Preset, token, writer string) Manifest {
	return Manifest{w: wire{Name: p.Name(), Parts: p.DefinitionDigests(), Revision: s.w.Revision + 1, Writer: writer, Token: token}}
}

// Name returns the preset's name.
func (s Manifest) Name() string { return s.w.Name }

// DefinitionDigests returns the digest of each service's definition, which must not be changed.
func (s Manifest) DefinitionDigests() map[string]string { return s.w.Parts }

// Revision returns how often the preset was applied; zero if it does not stand.
func (s Manifest) Revision() uint64 { return s.w.Revision }

// Writer returns who applied it last.
func (s Manifest) Writer() string { return s.w.Writer }

// Token returns the token of the last write.
func (s Manifest) Token() string { return s.w.Token }
