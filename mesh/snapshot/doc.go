// Package snapshot holds the immutable routes and endpoints that one call uses from start to end.
package snapshot
