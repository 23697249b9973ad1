// Package pacer starts calls at a fixed rate, independently of how long earlier calls take.
package pacer
