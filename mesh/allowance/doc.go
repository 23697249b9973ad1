// Package allowance is the retry budget of a node for one service: the node's part of a bound on retries that holds for
// the whole mesh.
package allowance
