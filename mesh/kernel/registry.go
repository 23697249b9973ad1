package kernel

import (
	"fmt"
	"slices"
)

type registration struct {
	name     string
	priority int
	factory  func() Part
}

// registry is written only by init functions and read only after them, so it needs no lock.
var registry []registration

// Register adds a part to every program that imports its package; parts start in ascending priority.
//
// It panics if the name is already registered, because the settings of two parts with the same name would be ambiguous.
func Register(name string, priority int, factory func() Part) {
	if slices.ContainsFunc(registry, func(r registration) bool { return r.name == name }) {
		panic(fmt.Sprintf("kernel: part %q is registered twice", name))
	}
	registry = append(registry, registration{name: name, priority: priority, factory: factory})
}

func registeredByPriority() []registration {
	rs := slices.Clone(registry)
	slices.SortStableFunc(rs, func(a, b registration) int { return a.priority - b.priority })
	return rs
}
