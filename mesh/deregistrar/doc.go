// Package deregistrar is the part that removes a stopping node's entry from the store.
package deregistrar
