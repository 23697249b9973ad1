// Package spreader decides which nodes get the marks of the crash guard from whom, and when they have them.
//
// A node sends its marks to the first relay of its data centre, and to all of them if no confirmation comes. The relay
// passes them to the other relays of its region, to the gateways of the other regions and to the nodes that have pulled
// from it lately. A gateway passes marks from elsewhere to the relays of its region, and each relay passes marks to its
// nodes. A receiver confirms marks after those that it passed them to have confirmed, so the first sender learns when
// the marks have reached everyone. A confirmation that does not come is not replaced by a guess: the sender waits up to
// its own limit. A new relay does not confirm before its nodes have had time to pull from it.
//
// What is lost on the way is pulled: each node asks its relays once a second for marks that changed after the last ones
// that it got, relays ask the relays of their region, and gateways ask the other gateways.
package spreader
