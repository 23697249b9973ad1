// Package watcher is the part that keeps in touch with the store: it enters this node's address, finds other nodes, and
// watches the configuration and the orders if this node is elected to do so.
package watcher
