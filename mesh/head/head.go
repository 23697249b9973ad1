package head

import (
	"encoding/json"
	"maps"
	"slices"

	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/object"
	"wisteriaspoke.example/mesh/share"
)

// Plural and Name are where the head stands in the store.
const (
	Plural = "heads"
	Name   = "active"
)

// historyLimit bounds the past entries kept in the head, so that a lost answer can be resolved after later writes.
const historyLimit = 16

// Head is one immutable version of the configuration in force, as digests of its parts.
type Head struct {
	w wire
}

type wire struct {
	Version uint64                 `json:"version"`
	Preset  string                 `json:"preset"`
	Parts   map[string]string      `json:"parts"`
	Shares  map[string]share.Share `json:"shares,omitempty"`
	Token   string                 `json:"token"`
	Writer  string                 `json:"writer,omitempty"`
	History []Entry                `json:"history,omitempty"`
}

// Entry is one past version in the head's history.
type Entry struct {
	Version uint64 `json:"version"`
	Preset  string `json:"preset"`
	Token   string `json:"token"`
	Writer  string `json:"writer,omitempty"`
}

// Decode returns the head in a stored object; the zero Head for an object that does not stand.
func Decode(o object.Object) (Head, error) {
	var h Head
	if len(o.Spec()) == 0 {
		return h, nil
	}
	if err := json.Unmarshal(o.Spec(), &h.w); err != nil {
		return h, fault.Wrap(fault.Invalid, err, "the head object is malformed", "restore heads/active from the platform's backup")
	}
	return h, nil
}

// Encode returns the head's content as JSON.
func (h Head) Encode() ([]byte, error) { return json.Marshal(h.w) }

// Version returns the place in the total order of configurations; zero before the first.
func (h Head) Version() uint64 { return h.w.Version }

// Preset returns the name of the preset in force.
func (h Head) Preset() string { return h.w.Preset }

// DefinitionDigests returns the digest of each service's definition, which must not be changed.
func (h Head) DefinitionDigests() map[string]string { return h.w.Parts }

// Shares returns the split of each service that had a rollout, which must not be changed.
func (h Head) Shares() map[string]share.Share { return h.w.Shares }

// Token returns the token of the writer of this version.
func (h Head) Token() string { return h.w.Token }

// Writer returns who wrote this version.
func (h Head) Writer() string { return h.w.Writer }

// History returns past versions, newest first, which must not be changed.
func (h Head) History() []Entry { return h.w.History }

// HasToken reports whether this version or one in its history carries the token.
func (h Head) HasToken(token string) bool {
	if h.w.Token == token {
		return true
	}
	return slices.ContainsFunc(h.w.History, func(e Entry) bool { return e.Token == token })
}

// next returns a copy with the following version, the old one put into the history.
func (h Head) next(token, writer string) Head {
	n := h
	n.w.Version++
	n.w.Token = token
	n.w.Writer = writer
	if h.w.Version > 0 {
		past := Entry{Version: h.w.Version, Preset: h.w.Preset, Token: h.w.Token, Writer: h.w.Writer}
		n.w.History = slices.Insert(slices.Clone(h.w.History), 0, past)
		n.w.History = n.w.History[:min(len(n.w.History), historyLimit)]
	}
	return n
}

// WithPreset returns the following version with another preset; shares stay as they are, so that a rollout is not lost,
// except those of services that the preset does not have, as nodes refuse a share without its service.
func (h Head) WithPreset(preset string, parts map[string]string, token, writer string) Head {
	n := h.next(token, writer)
	n.w.Preset = preset
	n.w.Parts = maps.Clone(parts)
	n.w.Shares = maps.Clone(h.w.Shares)
	maps.DeleteFunc(n.w.Shares, func(service string, _ share.Share) bool {
		_, stays := parts[service]
		return !stays
	})
	return n
}

// WithShare returns the following version with another share of the service.
func (h Head) WithShare(service string, s share.Share, token, writer string) Head {
	n := h.next(token, writer)
	n.w.Shares = maps.Clone(h.w.Shares)
	if n.w.Shares == nil {
		n.w.Shares = map[string]share.Share{}
	}
	n.w.Shares[service] = s
	return n
}
