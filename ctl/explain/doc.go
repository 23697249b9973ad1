// Package explain implements the command that shows which route a call would take.
package explain
