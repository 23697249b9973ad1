// Package distribution measures how a configuration spreads through simulated fleets, against nodes that poll the store.
package distribution
