// Package intaker is the part that decides which large bodies of other nodes this node receives at a time.
//
// All bodies for an upstream come over its host's one network link. Sent at once, they share it, so that each of them is
// late and every small call waits behind them. Received few at a time, in the order of their deadlines, most are in time,
// small calls wait for one body at the most, and a body that cannot be in time is refused before it is sent.
package intaker
