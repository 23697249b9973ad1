// Package calls measures the latency and processor time that nodes add to calls, using the real programs on loopback.
package calls
