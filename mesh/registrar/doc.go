// Package registrar announces the local upstream, decides on the endpoint sets of a data centre and distributes them.
//
// Every node runs a Registrar. An ordinary node announces itself to both relays of its data centre and holds the sets
// it subscribes to. A relay holds all sets. The owner also decides which endpoints are in its data centre's sets.
//
// The data path receives each set in a Publish effect and must use the latest one: a departure that arrives before
// the changed set is published as a group of the same epoch and sequence with that endpoint leaving.
package registrar
