// Package watcher is the part that talks to the store: it registers this node's address, lists the other nodes, and
// watches the configuration and the orders if this node is elected to.
package watcher
