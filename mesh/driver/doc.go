// Package driver is the part that runs the node's control machines with the real clock, links and store.
package driver
