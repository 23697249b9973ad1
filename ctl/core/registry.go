package core

import "slices"

type registration struct {
	name     string
	help     string
	priority int
	factory  func() any
}

// registry is filled by init functions only and is read after them, so it needs no lock.
var registry []registration

// Register adds a command; factory returns a struct for kong, whose leaves have a method Run(*Session) error. Commands
// are listed in ascending priority.
func Register(name string, priority int, help string, factory func() any) {
	registry = append(registry, registration{name: name, help: help, priority: priority, factory: factory})
}

func registered() []registration {
	rs := slices.Clone(registry)
	slices.SortStableFunc(rs, func(a, b registration) int { return a.priority - b.priority })
	return rs
}
