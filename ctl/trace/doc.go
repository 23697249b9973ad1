// Package trace implements the command that explains from the logs of nodes how a request ended.
package trace
