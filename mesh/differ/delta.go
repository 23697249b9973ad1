package differ

import (
	"fmt"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/share"
)

// Delta is what changes from one state to another; with base zero it holds a whole state.
type Delta struct {
	w wire
}

type wire struct {
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

// MarshalCBOR writes the delta for messages between nodes.
func (d Delta) MarshalCBOR() ([]byte, error) { return encMode.Marshal(d.w) }

// UnmarshalCBOR reads the delta from a message between nodes.
func (d *Delta) UnmarshalCBOR(data []byte) error { return cbor.Unmarshal(data, &d.w) }

// Version returns the version that the delta leads to.
func (d Delta) Version() uint64 { return d.w.Version }

// Base returns the version that the delta starts from, or zero for a whole state.
func (d Delta) Base() uint64 { return d.w.Base }

// Digest returns the digest of the state that the delta leads to.
func (d Delta) Digest() uint64 { return d.w.Digest }

// Diff returns the delta from base to next; the zero State as base gives the whole of next.
func Diff(base, next State) Delta {
	w := wire{Version: next.version, Base: base.version, Preset: next.preset, Digest: next.digest}
	for _, name := range slices.Sorted(maps.Keys(next.parts)) {
		if p := next.parts[name]; base.parts[name].digest != p.digest {
			w.Definitions = append(w.Definitions, p.data)
		}
	}
	for name, v := range next.shares {
		if old, ok := base.shares[name]; !ok || old != v {
			if w.Shares == nil {
				w.Shares = map[string]share.Share{}
			}
			w.Shares[name] = v
		}
	}
	w.RemovedServices = missing(base.parts, next.parts)
	w.RemovedShares = missing(base.shares, next.shares)
	return Delta{w: w}
}

func missing[V any](base, next map[string]V) []string {
	var names []string
	for name := range base {
		if _, ok := next[name]; !ok {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Apply returns the state that the delta leads to from base. A base that does not fit and a digest that does not
// match are faults of kind Conflict, after which the whole state is needed; a state that fails the check of the whole
// is a fault of kind Invalid.
func Apply(base State, d Delta) (State, error) {
	if d.w.Base == 0 {
		base = State{}
	}
	if d.w.Base != base.version {
		return State{}, fault.New(fault.Conflict,
			fmt.Sprintf("the delta to %d needs version %d, not %d", d.w.Version, d.w.Base, base.version), "pull the whole state")
	}
	parts := maps.Clone(base.parts)
	if parts == nil {
		parts = make(map[string]Definition, len(d.w.Definitions))
	}
	for _, name := range d.w.RemovedServices {
		delete(parts, name)
	}
	for _, data := range d.w.Definitions {
		p, err := DecodeDefinition(data)
		if err != nil {
			return State{}, err
		}
		parts[p.service.Name()] = p
	}
	shares := maps.Clone(base.shares)
	if shares == nil {
		shares = make(map[string]share.Share, len(d.w.Shares))
	}
	for _, name := range d.w.RemovedShares {
		delete(shares, name)
	}
	maps.Copy(shares, d.w.Shares)
	next, err := New(d.w.Version, d.w.Preset, parts, shares)
	if err != nil {
		return State{}, err
	}
	if next.digest != d.w.Digest {
		return State{}, fault.New(fault.Conflict,
			fmt.Sprintf("the delta to %d does not give the stated digest", d.w.Version), "pull the whole state")
	}
	return next, nil
}
