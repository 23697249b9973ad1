// Package pipeliner serves the HTTP/1.1 requests of one caller's connection.
//
// A caller may send requests before earlier ones are answered. Those that may be repeated run side by side, the others
// alone and in turn; answers go out in the order of the requests. An answer that closes the connection is the last one:
// no request behind it has been handed to the handler, or its answer has gone out first.
//
// The connection is read while requests run, so that a caller that hangs up ends all of its requests.
package pipeliner
