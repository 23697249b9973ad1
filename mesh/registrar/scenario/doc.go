// Package scenario drives the registrars of a fleet in the simulator with scripted rosters, for tests and figures.
package scenario
