// Package core parses the command line and runs a command. Commands register themselves, so core imports none of them.
package core
