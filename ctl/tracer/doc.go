// Package tracer tells from the log lines of nodes how a request ended and why.
package tracer
