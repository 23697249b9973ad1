// Package revalidator is the part that keeps proofs of how fresh the configuration of this node is, and passes them on.
//
// A proof is a moment and a version: a linearizable read of the store that began at that moment, by this host's boot-time
// clock, found no configuration newer than the version. See docs/design/keys.md.
package revalidator
