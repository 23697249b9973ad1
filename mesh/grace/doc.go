// Package grace divides the time between a stop signal and the kill of the process into the phases of a graceful shutdown.
package grace
