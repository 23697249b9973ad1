// Package admitter is the part that takes calls over HTTP and brings each to its end.
package admitter
