// Package quarantiner is the part that keeps a request that crashes upstreams from reaching more and more of them.
//
// Requests are the same if method, host, path and body are, whatever their identifiers and callers. The node beside an
// upstream counts a crash for each call that the crash cut off; a complete response to a later run clears the count. The
// answer carries the count to the node where the request began, and gossip carries it to all others:
//
//   - After one crash the request may be retried, as most calls in flight at a crash did not cause it.
//   - After two crashes in a row it runs again if a caller sends it, but is not retried or hedged.
//   - After three it is refused as not run. From time to time it may run once, so that a request that was blamed wrongly, or
//     whose upstream was mended, is served again. The time between such trials doubles.
//
// The node beside the upstream decides last, so a node that does not know a count yet cannot get a refused request run.
// Regions that are cut off from each other count on their own: each allows one retry.
//
// A node that restarts learns the counts from the first nodes that it links with. They are lost if all nodes restart together.
// A crash is not seen if the upstream listens again before its node has dialled it.
package quarantiner
