// Package relayer is the state machine that distributes the configuration: leases, the watch of the head, and deltas.
package relayer
