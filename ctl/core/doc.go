// Package core runs the commands that register themselves and knows none of them by name.
package core
