// Package meter is the part that serves health, readiness and metrics over HTTP.
package meter
