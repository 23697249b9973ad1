// Package fault defines the error type that is returned to operators and callers.
package fault
