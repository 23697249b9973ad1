// Package differ computes the delta between two states of the configuration and applies it with a check of the whole.
package differ
