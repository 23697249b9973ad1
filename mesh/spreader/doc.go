// Package spreader distributes the marks of the crash guard to all nodes and reports when all nodes have them.
//
// A node sends its marks to the first relay of its data centre, and to all of them if no confirmation arrives. The
// relay forwards them to the other relays of its region, to the gateways of the other regions and to the nodes that
// have recently pulled from it. A gateway forwards marks from other regions to the relays of its region, and each relay
// forwards marks to its nodes. A receiver confirms marks after all nodes to which it forwarded them have confirmed, so
// the confirmation that the first sender receives means that all nodes have the marks. If a confirmation does not
// arrive, the sender assumes nothing and waits up to its own limit. A new relay does not confirm before its nodes have
// had time to pull from it.
//
// Marks that are lost on the way are pulled: once a second, each node asks its relays for marks that changed after the
// last ones that it received, relays ask the relays of their region, and gateways ask the other gateways.
package spreader
