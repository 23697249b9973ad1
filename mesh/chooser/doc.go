// Package chooser picks the endpoint that is expected to answer an attempt soonest.
package chooser
