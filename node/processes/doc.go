// Package processes holds tests that run the programs as separate processes and disturb them with signals.
package processes
