// Package gossiper is the part that distributes endpoints, the configuration and the orders to move services.
//
// Each node publishes only its own endpoint, in a status message that goes to all nodes on each change and
// periodically. Records of the store are ordered by the store's revisions, so the highest revision wins whichever node
// sent it. A node that receives a record from the store or from another region forwards it within its own region. The
// status message holds the revisions that its sender has; a node that stays behind them pulls the missing records from
// one node, the nearest.
package gossiper
