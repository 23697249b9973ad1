// Package exchanger sends calls to the local upstream over its own pool of HTTP/1.1 connections.
//
// One send is one attempt: nothing below this package retries a request. A response is returned only if it is complete
// and has the request's identifier. A response that is incomplete, unframed (no length or chunked encoding) or for
// another request closes its connection.
package exchanger
