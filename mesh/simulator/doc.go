// Package simulator drives the control planes of many nodes in one process, in virtual time, with a fake object store.
package simulator
