// Package balancer selects the endpoint for one attempt of a call.
package balancer
