// Package forwarder is the part that takes one request to an endpoint and back: it chooses the endpoint, decides whether
// the request may be sent again, and says truly whether it has run.
package forwarder
