// Package checker checks a preset file as a whole before it is accepted.
package checker
