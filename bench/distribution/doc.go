// Package distribution measures configuration distribution in simulated fleets, compared with nodes that poll the
// store.
package distribution
