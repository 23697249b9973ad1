// Package snapshot holds what one call reads from its start to its end.
package snapshot
