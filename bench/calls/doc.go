// Package calls measures the time and the processor time that nodes add to calls, with the real programs on loopback.
package calls
