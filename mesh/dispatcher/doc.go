// Package dispatcher is the part that sends calls to the local upstream and monitors its state.
package dispatcher
