// Package intaker is the part that decides which large bodies of other nodes this node receives at a time.
//
// All bodies for an upstream arrive over its host's one network link. Sent at once, they share its bandwidth, so that
// all of them are late and every small call waits behind them. Received a few at a time, most urgent first, most are in
// time, small calls wait for one body at most, and a body that cannot be in time is refused before it is sent.
package intaker
