// Package canary decides the steps of a move to a new version: its share of the calls, when the move is complete, and
// when the version is bad.
package canary
