// Package event defines the input events of the control plane's state machines.
package event
