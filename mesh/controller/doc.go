// Package controller passes events to all registered state machines of one node.
package controller
