// Package machine defines control decisions as deterministic state machines and registers them by name.
package machine
