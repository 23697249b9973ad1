// Package publisher is the part that builds the snapshot for calls from the values that the control plane publishes.
package publisher
