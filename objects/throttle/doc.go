// Package throttle limits the rates of reads and writes of the stand-in store.
package throttle
