package head

import (
	"encoding/json"
	"maps"
	"slices"

	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/object"
	"wisteriaspoke.example/mesh/share"
)

// Plural and Name are the head's collection and name in the store.
const (
	Plural = "heads"
	Name   = "active"
)

// historyLimit is the number of past versions in the head. A writer whose answer was lost looks for its token there,
// also after later writes.
const historyLimit = 16

// Head is one immutable version of the configuration in force; it refers to the service definitions by their digests.
type Head struct {
	fields wireFormat
}

type wireFormat struct {
	Version           uint64                 `json:"version"`
	Preset            string                 `json:"preset"`
	DefinitionDigests map[string]string      `json:"parts"`
	Shares            map[string]share.Share `json:"shares,omitempty"`
	Token             string                 `json:"token"`
	Writer            string                 `json:"writer,omitempty"`
	History           []Entry                `json:"history,omitempty"`
}

// Entry is one past version in the head's history.
type Entry struct {
	Version uint64 `json:"version"`
	Preset  string `json:"preset"`
	Token   string `json:"token"`
	Writer  string `json:"writer,omitempty"`
}

// Decode returns the head in a stored object, or the zero Head for an object that does not exist.
func Decode(o object.Object) (Head, error) {
	var h Head
	if len(o.Spec()) == 0 {
		return h, nil
	}
	if err := json.Unmarshal(o.Spec(), &h.fields); err != nil {
		return h, fault.Wrap(fault.Invalid, err, "the head object is malformed",
			"restore heads/active from the platform's backup")
	}
	return h, nil
}

// Encode returns the head's content as JSON.
func (h Head) Encode() ([]byte, error) { return json.Marshal(h.fields) }

// Version returns the number of the version; later versions have higher numbers, and zero means none yet.
func (h Head) Version() uint64 { return h.fields.Version }

// Preset returns the name of the preset in force.
func (h Head) Preset() string { return h.fields.Preset }

// DefinitionDigests returns the digest of each service's definition; callers must not change the map.
func (h Head) DefinitionDigests() map[string]string { return h.fields.DefinitionDigests }

// Shares returns the traffic split of each service that had a rollout; callers must not change the map.
func (h Head) Shares() map[string]share.Share { return h.fields.Shares }

// Token returns the unique token of the write that made this version.
func (h Head) Token() string { return h.fields.Token }

// Writer returns who wrote this version.
func (h Head) Writer() string { return h.fields.Writer }

// History returns past versions, newest first; callers must not change the slice.
func (h Head) History() []Entry { return h.fields.History }

// HasToken reports whether this version or one in its history has the token.
func (h Head) HasToken(token string) bool {
	if h.fields.Token == token {
		return true
	}
	return slices.ContainsFunc(h.fields.History, func(e Entry) bool { return e.Token == token })
}

// successor returns a copy with the next version number and h's version in the history.
func (h Head) successor(token, writer string) Head {
	n := h
	n.fields.Version++
	n.fields.Token = token
	n.fields.Writer = writer
	if h.fields.Version > 0 {
		previous := Entry{Version: h.fields.Version, Preset: h.fields.Preset, Token: h.fields.Token, Writer: h.fields.Writer}
		n.fields.History = slices.Insert(slices.Clone(h.fields.History), 0, previous)
		n.fields.History = n.fields.History[:min(len(n.fields.History), historyLimit)]
	}
	return n
}

// WithPreset returns the next version with another preset and its definitions. Shares are kept, so that a rollout is
// not lost, except those of services that the preset lacks, as nodes refuse a share without its service.
func (h Head) WithPreset(preset string, digests map[string]string, token, writer string) Head {
	n := h.successor(token, writer)
	n.fields.Preset = preset
	n.fields.DefinitionDigests = maps.Clone(digests)
	n.fields.Shares = maps.Clone(h.fields.Shares)
	maps.DeleteFunc(n.fields.Shares, func(service string, _ share.Share) bool {
		_, found := digests[service]
		return !found
	})
	return n
}

// WithShare returns the next version with another share for the service.
func (h Head) WithShare(service string, s share.Share, token, writer string) Head {
	n := h.successor(token, writer)
	n.fields.Shares = maps.Clone(h.fields.Shares)
	if n.fields.Shares == nil {
		n.fields.Shares = map[string]share.Share{}
	}
	n.fields.Shares[service] = s
	return n
}
