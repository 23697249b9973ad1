// Package tally counts calls by result and records their latencies.
package tally
