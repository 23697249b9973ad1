// Package canary decides the steps of a move to a new version: how large its share of calls is, when it has proven
// itself, and when it is bad.
package canary
