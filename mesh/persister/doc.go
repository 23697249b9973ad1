// Package persister keeps the withdrawals of the local upstream in the store, so that they outlive all nodes.
package persister
