// Package runner is the part that runs calls on the local upstream, for this node and for others. It makes the final
// check: a call for another instance, for one that is leaving or without a slot is refused before the upstream gets any
// byte of it.
package runner
