// Package scenario runs the registrars of a fleet in the simulator with scripted rosters, for tests and benchmarks.
package scenario
