// Package receiver is the part that takes requests over HTTP from callers and from the local upstream.
//
// It is built on net/http and not on fasthttp: the standard server ends a request's context when the caller hangs up,
// which ends the work at the endpoint, and applies its limits while a request is read.
package receiver
