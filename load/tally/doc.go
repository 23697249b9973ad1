// Package tally adds up the results of calls.
package tally
