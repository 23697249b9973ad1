// Package isolator is the part that stops a request that crashes upstreams from reaching more than two of them. Package
// guard decides which calls may run, and package spreader distributes the marks.
package isolator
