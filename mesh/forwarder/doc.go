// Package forwarder is the part that sends a request to an endpoint: it chooses the endpoint, decides on retries, and
// never reports a request as not run if it may have run.
package forwarder
