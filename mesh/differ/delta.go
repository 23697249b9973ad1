package differ

import (
	"fmt"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/share"
)

// Delta holds the changes from one state to another; with base zero it holds a whole state.
type Delta struct {
	fields wireFormat
}

type wireFormat struct {
	Version         uint64                 `cbor:"1,keyasint"`
	Base            uint64                 `cbor:"2,keyasint,omitempty"`
	Preset          string                 `cbor:"3,keyasint,omitempty"`
	Definitions     [][]byte               `cbor:"4,keyasint,omitempty"`
	RemovedServices []string               `cbor:"5,keyasint,omitempty"`
	Shares          map[string]share.Share `cbor:"6,keyasint,omitempty"`
	RemovedShares   []string               `cbor:"7,keyasint,omitempty"`
	Digest          uint64                 `cbor:"8,keyasint"`
}

// encMode sorts map keys, so that equal deltas have equal encodings.
var encMode = newEncMode()

func newEncMode() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic("differ: the deterministic encoding is a valid option: " + err.Error())
	}
	return m
}

// MarshalCBOR encodes the delta for messages between nodes.
func (d Delta) MarshalCBOR() ([]byte, error) { return encMode.Marshal(d.fields) }

// UnmarshalCBOR decodes the delta from a message between nodes.
func (d *Delta) UnmarshalCBOR(data []byte) error { return cbor.Unmarshal(data, &d.fields) }

// Version returns the version of the state that Apply returns.
func (d Delta) Version() uint64 { return d.fields.Version }

// Base returns the version that the delta applies to, or zero for a whole state.
func (d Delta) Base() uint64 { return d.fields.Base }

// Digest returns the digest of the state that Apply returns.
func (d Delta) Digest() uint64 { return d.fields.Digest }

// Diff returns the delta from base to next; with the zero State as base it holds the whole of next.
func Diff(base, next State) Delta {
	fields := wireFormat{Version: next.version, Base: base.version, Preset: next.preset, Digest: next.digest}
	for _, name := range slices.Sorted(maps.Keys(next.definitions)) {
		if p := next.definitions[name]; base.definitions[name].digest != p.digest {
			fields.Definitions = append(fields.Definitions, p.encoded)
		}
	}
	for name, v := range next.shares {
		if old, ok := base.shares[name]; !ok || old != v {
			if fields.Shares == nil {
				fields.Shares = map[string]share.Share{}
			}
			fields.Shares[name] = v
		}
	}
	fields.RemovedServices = removedNames(base.definitions, next.definitions)
	fields.RemovedShares = removedNames(base.shares, next.shares)
	return Delta{fields: fields}
}

// removedNames returns the keys of base that next lacks, sorted.
func removedNames[V any](base, next map[string]V) []string {
	var names []string
	for name := range base {
		if _, ok := next[name]; !ok {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Apply returns the state that results from the delta and base. If the base's version or the result's digest does not
// match, the error is of kind Conflict and the caller needs the whole state; if a definition cannot be decoded or New
// refuses the result, it is of kind Invalid.
func Apply(base State, d Delta) (State, error) {
	if d.fields.Base == 0 {
		base = State{}
	}
	if d.fields.Base != base.version {
		return State{}, fault.New(fault.Conflict,
			fmt.Sprintf("the delta to %d needs version %d, not %d", d.fields.Version, d.fields.Base, base.version),
			"pull the whole state")
	}
	definitions := maps.Clone(base.definitions)
	if definitions == nil {
		definitions = make(map[string]Definition, len(d.fields.Definitions))
	}
	for _, name := range d.fields.RemovedServices {
		delete(definitions, name)
	}
	for _, data := range d.fields.Definitions {
		definition, err := DecodeDefinition(data)
		if err != nil {
			return State{}, err
		}
		definitions[definition.service.Name()] = definition
	}
	shares := maps.Clone(base.shares)
	if shares == nil {
		shares = make(map[string]share.Share, len(d.fields.Shares))
	}
	for _, name := range d.fields.RemovedShares {
		delete(shares, name)
	}
	maps.Copy(shares, d.fields.Shares)
	next, err := New(d.fields.Version, d.fields.Preset, definitions, shares)
	if err != nil {
		return State{}, err
	}
	if next.digest != d.fields.Digest {
		return State{}, fault.New(fault.Conflict,
			fmt.Sprintf("the delta to %d does not give the stated digest", d.fields.Version), "pull the whole state")
	}
	return next, nil
}
