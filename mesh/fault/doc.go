// Package fault defines the typed error that all packages return to operators and callers.
package fault
