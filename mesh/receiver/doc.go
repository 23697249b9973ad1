// Package receiver is the part that accepts HTTP requests from callers and from the local upstream.
//
// It owns the connections, which pipeliner serves: a request ends at its endpoint as soon as its caller disconnects, also
// when further requests wait behind it.
package receiver
