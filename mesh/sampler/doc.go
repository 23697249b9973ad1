// Package sampler draws one of a few candidates so that many nodes with the same data do not all draw the same one.
package sampler
