// Package throttle limits the rates of reads and writes of the object store.
package throttle
