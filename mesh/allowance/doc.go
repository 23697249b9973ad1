// Package allowance bounds how often a node sends requests of one service a second time, as its part of a bound that
// holds for the whole mesh.
package allowance
