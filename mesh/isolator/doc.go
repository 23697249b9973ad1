// Package isolator is the part that keeps a request that crashes upstreams from reaching more than two of them. What it
// decides is in package guard, and how marks spread is in package spreader.
package isolator
