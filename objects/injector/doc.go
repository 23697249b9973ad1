// Package injector injects delays, outages and lost answers into the object store.
package injector
