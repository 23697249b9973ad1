package core

import "slices"

type registration struct {
	name     string
	help     string
	priority int
	factory  func() any
}

// registry is written only by init functions and read only after them, so it needs no lock.
var registry []registration

// Register adds a command. The factory returns a struct for kong, in which each command without subcommands has a
// method Run(*Session) error. Commands are listed in ascending priority.
func Register(name string, priority int, help string, factory func() any) {
	registry = append(registry, registration{name: name, help: help, priority: priority, factory: factory})
}

// sortedRegistrations returns the registered commands in ascending priority.
func sortedRegistrations() []registration {
	rs := slices.Clone(registry)
	slices.SortStableFunc(rs, func(a, b registration) int { return a.priority - b.priority })
	return rs
}
