// Package exchanger sends calls to the local upstream over HTTP/1.1 connections that it owns.
//
// One send is one attempt: nothing below this package sends a request again. A response counts only if it is whole,
// framed and bears the request's identifier; anything else ends its connection.
package exchanger
