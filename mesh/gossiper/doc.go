// Package gossiper is the part that spreads what nodes know: each node's own endpoint, the configuration and the orders
// to move a service.
//
// Each node speaks only for its own endpoint, and sends it to all nodes on each change and once in an interval. Records
// of the store are ordered by its revisions, so the highest one wins wherever it comes from. A node that learns a record
// from the store or from another region passes it on in its own region; the pulse names the revisions that a node has, and a
// node that hears of a higher one for a while asks one node, the nearest, for what it lacks.
package gossiper
