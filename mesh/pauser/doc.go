// Package pauser waits in a way that a context can end.
package pauser
