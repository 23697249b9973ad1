// Package relayer is the state machine that distributes the configuration to nodes. Nodes that hold a relay lease watch
// the head in the store and send deltas to the other nodes of their data centre.
package relayer
