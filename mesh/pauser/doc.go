// Package pauser provides a sleep that a context can cancel.
package pauser
