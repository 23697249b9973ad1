// Package registrar announces the local upstream, owns the endpoint sets of a data centre and spreads them.
//
// Every node runs one. An ordinary node announces itself to both relays of its data centre and holds the sets of its
// subscription. A relay holds all sets. The owner also decides which endpoints are in its data centre's sets.
//
// The data path gets each set by a Publish effect and must take the latest one: a departure that reaches a node ahead
// of its set is shown as a group of the same epoch and sequence with that endpoint leaving.
package registrar
