// Package differ computes the delta between two states of the configuration, and applies and verifies it.
package differ
