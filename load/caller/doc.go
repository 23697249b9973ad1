// Package caller sends calls over HTTP and reads the whole response of each.
package caller
