// Package tracer determines from the log lines of nodes how a request ended and why.
package tracer
