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
	addRoute("GET", "/v1/presets", (*api).listPresets)
	addRoute("PUT", "/v1/presets/*", (*api).apply)
	addRoute("GET", "/v1/presets/*", (*api).showPreset)
	addRoute("POST", "/v1/presets/*/use", (*api).use)
	addRoute("GET", "/v1/history", (*api).history)
	addRoute("GET", "/v1/diff", (*api).diff)
}

// States of a stored preset.
const (
	stateStored  = "stored"
	stateInForce = "in force"
	stateOlder   = "older revision in force" // the preset was applied again after it was put in force
)

// summary describes one preset in a list.
type summary struct {
	Name     string `json:"name"`
	State    string `json:"state"`
	Revision uint64 `json:"revision"`
	Services int    `json:"services"`
	Writer   string `json:"writer"`
	Token    string `json:"token"`
}

func summarise(s preset.Manifest, h head.Head) summary {
	state := stateStored
	if h.Preset() == s.Name() {
		state = stateOlder
		if maps.Equal(h.DefinitionDigests(), s.DefinitionDigests()) {
			state = stateInForce
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

// presetDetails describes one preset with its definitions.
type presetDetails struct {
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
	definitions, err := a.accepter.ReadDefinitions(ctx, s.DefinitionDigests())
	if err != nil {
		return nil, err
	}
	all := presetDetails{summary: summarise(s, h)}
	for _, name := range slices.Sorted(maps.Keys(definitions)) {
		all.Definitions = append(all.Definitions, definitions[name])
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
