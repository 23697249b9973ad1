// Package admitter accepts calls over HTTP, routes and retries them, and answers each one.
package admitter
