package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"wisteriaspoke.example/mesh/checker"
	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/route"
	"wisteriaspoke.example/mesh/service"
)

// difference describes a service that differs between two presets.
type difference struct {
	Service string   `json:"service"`
	Change  string   `json:"change"` // added, removed or changed
	Details []string `json:"details"`
}

func (a *api) diff(ctx context.Context, r request) (any, error) {
	from, err := a.definitions(ctx, "from", r)
	if err != nil {
		return nil, err
	}
	to, err := a.definitions(ctx, "to", r)
	if err != nil {
		return nil, err
	}
	return map[string]any{"from": r.queryValue("from"), "to": r.queryValue("to"), "differences": compare(from, to)}, nil
}

func (a *api) definitions(ctx context.Context, key string, r request) (map[string]service.Service, error) {
	name := r.queryValue(key)
	if !checker.IsDNSLabel(name) {
		return nil, fault.New(fault.Invalid, fmt.Sprintf("%s is %q, which is not the name of a preset", key, name), "set it to the name of a stored preset")
	}
	s, err := a.accepter.ReadManifest(ctx, name)
	if err != nil {
		return nil, err
	}
	return a.accepter.ReadDefinitions(ctx, s.DefinitionDigests())
}

func compare(from, to map[string]service.Service) []difference {
	names := map[string]bool{}
	for name := range from {
		names[name] = true
	}
	for name := range to {
		names[name] = true
	}
	all := []difference{}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		old, before := from[name]
		s, after := to[name]
		switch {
		case !before:
			all = append(all, difference{Service: name, Change: "added", Details: []string{"version " + s.Version()}})
		case !after:
			all = append(all, difference{Service: name, Change: "removed", Details: []string{"version " + old.Version()}})
		default:
			if details := describeChanges(old, s); len(details) > 0 {
				all = append(all, difference{Service: name, Change: "changed", Details: details})
			}
		}
	}
	return all
}

// describeChanges returns what differs between two definitions, one line for each field and each route.
func describeChanges(old, s service.Service) []string {
	var all []string
	add := func(field string, a, b any) {
		if x, y := fmt.Sprint(a), fmt.Sprint(b); x != y {
			all = append(all, fmt.Sprintf("%s %s -> %s", field, x, y))
		}
	}
	add("version", old.Version(), s.Version())
	add("timeout", old.Timeout(), s.Timeout())
	add("depends", strings.Join(old.Dependencies(), ","), strings.Join(s.Dependencies(), ","))
	before := routesByName(old)
	after := routesByName(s)
	for _, name := range slices.Sorted(maps.Keys(before)) {
		if _, ok := after[name]; !ok {
			all = append(all, "route "+name+" removed")
		}
	}
	for _, name := range slices.Sorted(maps.Keys(after)) {
		r, ok := before[name]
		switch {
		case !ok:
			all = append(all, "route "+name+" added")
		case encodeRoute(r) != encodeRoute(after[name]):
			all = append(all, fmt.Sprintf("route %s %s -> %s", name, encodeRoute(r), encodeRoute(after[name])))
		}
	}
	return all
}

func routesByName(s service.Service) map[string]route.Route {
	all := map[string]route.Route{}
	for _, r := range s.Routes() {
		all[r.Name()] = r
	}
	return all
}

// encodeRoute returns a route as JSON. Encoding cannot fail, as the route was decoded from JSON.
func encodeRoute(r route.Route) string {
	data, err := json.Marshal(r)
	if err != nil {
		return err.Error()
	}
	return string(data)
}
