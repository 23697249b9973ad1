// Package gossiper is the part that spreads what nodes know: each node's own endpoint, the configuration and the orders
// to move a service.
//
// Each node speaks only for its own endpoint, and sends it to all nodes on each change and once in an interval. Records
// of the store are ordered by its revisions, so the highest one wins wherever it comes from. A node that learns a record
// from the store or from another region passes it on in its own region; the interval's pulse names the revisions that a
// node has, and whoever hears of a lower one sends what is missing.
package gossiper
