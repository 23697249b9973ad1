// Package caller sends one call over HTTP and reads the whole answer.
package caller
