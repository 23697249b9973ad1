// Package trace is the command that explains one request from the logs of nodes.
package trace
