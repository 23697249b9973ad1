// Package runner is the part that runs calls on the local upstream, for this node and for others. It has the last word:
// a call for another instance, for one that is leaving or without a slot is refused before the upstream gets a byte.
package runner
