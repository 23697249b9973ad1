// Package publisher is the part that builds the snapshot for calls from what the control plane hands over.
package publisher
