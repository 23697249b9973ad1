// Package receiver is the part that accepts HTTP requests from callers and from the local upstream.
//
// It uses net/http and not fasthttp: the standard server cancels a request's context when the caller disconnects, which
// cancels the call at the endpoint, and applies its limits while a request is read.
package receiver
