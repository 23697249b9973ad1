// Package clock reads a monotonic clock that also counts the time during which the host was suspended.
package clock
