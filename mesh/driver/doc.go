// Package driver is the part that runs the node's control machines on the real clock, the links and the store.
package driver
