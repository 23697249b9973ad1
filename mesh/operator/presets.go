package operator

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"

	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/head"
	"wisteriaspoke.example/mesh/preset"
	"wisteriaspoke.example/mesh/service"
)

func init() {
	handle("GET", "/v1/presets", (*api).listPresets)
	handle("PUT", "/v1/presets/*", (*api).apply)
	handle("GET", "/v1/presets/*", (*api).showPreset)
	handle("POST", "/v1/presets/*/use", (*api).use)
	handle("GET", "/v1/history", (*api).history)
	handle("GET", "/v1/diff", (*api).diff)
}

// States of a stored preset.
const (
	stored  = "stored"
	inForce = "in force"
	older   = "older revision in force" // it was applied again after it was put in force
)

// summary is one preset of a list.
type summary struct {
	Name     string `json:"name"`
	State    string `json:"state"`
	Revision uint64 `json:"revision"`
	Services int    `json:"services"`
	Writer   string `json:"writer"`
	Token    string `json:"token"`
}

func summarise(s preset.Manifest, h head.Head) summary {
	state := stored
	if h.Preset() == s.Name() {
		state = older
		if maps.Equal(h.DefinitionDigests(), s.DefinitionDigests()) {
			state = inForce
		}
	}
	return summary{Name: s.Name(), State: state, Revision: s.Revision(), Services: len(s.DefinitionDigests()), Writer: s.Writer(), Token: s.Token()}
}

func (a *api) listPresets(ctx context.Context, _ request) (any, error) {
	h, err := a.accepter.ReadHead(ctx)
	if err != nil {
		return nil, err
	}
	objects, err := a.accepter.List(ctx, preset.Plural)
	if err != nil {
		return nil, err
	}
	all := []summary{}
	for _, o := range objects {
		s, err := preset.Decode(o)
		if err != nil {
			return nil, err
		}
		all = append(all, summarise(s, h))
	}
	slices.SortFunc(all, func(a, b summary) int { return cmp.Compare(a.Name, b.Name) })
	return map[string]any{"presets": all}, nil
}

func (a *api) apply(ctx context.Context, r request) (any, error) {
	p, err := a.checker.Check(r.body)
	if err != nil {
		return nil, err
	}
	if p.Name() != r.name {
		return nil, fault.New(fault.Invalid, fmt.Sprintf("the file names the preset %q, the request %q", p.Name(), r.name), "use one name")
	}
	s, err := a.accepter.Apply(ctx, p, r.writer)
	if err != nil {
		return nil, err
	}
	return map[string]any{"name": s.Name(), "revision": s.Revision(), "services": len(s.DefinitionDigests())}, nil
}

// shown is one preset with its definitions.
type shown struct {
	summary
	Definitions []service.Service `json:"definitions"`
}

func (a *api) showPreset(ctx context.Context, r request) (any, error) {
	h, err := a.accepter.ReadHead(ctx)
	if err != nil {
		return nil, err
	}
	s, err := a.accepter.ReadManifest(ctx, r.name)
	if err != nil {
		return nil, err
	}
	parts, err := a.accepter.ReadDefinitions(ctx, s.DefinitionDigests())
	if err != nil {
		return nil, err
	}
	all := shown{summary: summarise(s, h)}
	for _, name := range slices.Sorted(maps.Keys(parts)) {
		all.Definitions = append(all.Definitions, parts[name])
	}
	return all, nil
}

func (a *api) use(ctx context.Context, r request) (any, error) {
	version, err := a.accepter.Use(ctx, r.name, r.writer)
	if err != nil {
		return nil, err
	}
	return map[string]any{"preset": r.name, "version": version}, nil
}

func (a *api) history(ctx context.Context, _ request) (any, error) {
	h, err := a.accepter.ReadHead(ctx)
	if err != nil {
		return nil, err
	}
	all := []head.Entry{}
	if h.Version() > 0 {
		all = append(all, head.Entry{Version: h.Version(), Preset: h.Preset(), Token: h.Token(), Writer: h.Writer()})
	}
	return map[string]any{"history": append(all, h.History()...)}, nil
}
