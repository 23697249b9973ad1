package notice

import "wisteriaspoke.example/mesh/encoder"

// The kinds of membership messages.
const (
	Announcing  = "announce" // Announcement: node to relay
	Receiving   = "receipt"  // Receipt: relay to node
	Beating     = "up"       // Beat: node to relay; the most frequent message has the shortest name
	Querying    = "query"    // Query: relay to node
	Subscribing = "interest" // Interest: node to relay
	Digesting   = "digest"   // Digest: relay to relay or node
	Pulling     = "pull"     // Pull: node or relay to relay
	Spreading   = "sets"     // Sets: relay to relay or node
	Probing     = "probe"    // Probe: owner to node, or to the other relay about a node
	Echoing     = "echo"     // Echo: the answer to a Probe
)

func init() {
	encoder.Register(Announcing, func() any { return new(Announcement) })
	encoder.Register(Receiving, func() any { return new(Receipt) })
	encoder.Register(Beating, func() any { return new(Beat) })
	encoder.Register(Querying, func() any { return new(Query) })
	encoder.Register(Subscribing, func() any { return new(Interest) })
	encoder.Register(Digesting, func() any { return new(Digest) })
	encoder.Register(Pulling, func() any { return new(Pull) })
	encoder.Register(Spreading, func() any { return new(Sets) })
	encoder.Register(Probing, func() any { return new(Probe) })
	encoder.Register(Echoing, func() any { return new(Echo) })
}
