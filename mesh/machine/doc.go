// Package machine defines and registers the deterministic state machines that make a node's control decisions.
package machine
