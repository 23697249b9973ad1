// Package explain is the command that tells which route a call would take.
package explain
