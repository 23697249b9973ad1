package preset

import (
	"encoding/json"

	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/object"
)

// Plural is the resource name of presets in the store.
const Plural = "presets"

// DefinitionPlural is the resource name of the definitions of all presets in the store, each named by its digest.
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

// Decode returns the manifest in a stored object; the zero Manifest if the object does not exist.
func Decode(o object.Object) (Manifest, error) {
	var m Manifest
	if len(o.Spec()) == 0 {
		return m, nil
	}
	if err := json.Unmarshal(o.Spec(), &m.w); err != nil {
		return m, fault.Wrap(fault.Invalid, err, "the object presets/"+o.Name()+" is malformed", "apply the preset again")
	}
	return m, nil
}

// Encode returns the manifest's content as JSON.
func (m Manifest) Encode() ([]byte, error) { return json.Marshal(m.w) }

// Next returns the manifest that follows m with the content of p.
func (m Manifest) Next(p Preset, token, writer string) Manifest {
	return Manifest{w: wire{Name: p.Name(), Parts: p.DefinitionDigests(), Revision: m.w.Revision + 1, Writer: writer, Token: token}}
}

// Name returns the preset's name.
func (m Manifest) Name() string { return m.w.Name }

// DefinitionDigests returns the digest of each service's definition, which must not be changed.
func (m Manifest) DefinitionDigests() map[string]string { return m.w.Parts }

// Revision returns how often the preset was applied; zero if it does not exist.
func (m Manifest) Revision() uint64 { return m.w.Revision }

// Writer returns who applied the preset last.
func (m Manifest) Writer() string { return m.w.Writer }

// Token returns the token of the last write.
func (m Manifest) Token() string { return m.w.Token }
