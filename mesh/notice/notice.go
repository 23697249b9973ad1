package notice

import "wisteriaspoke.example/mesh/encoder"

// The kinds of membership messages.
const (
	KindAnnouncement = "announce" // Announcement: node to relay
	KindReceipt      = "receipt"  // Receipt: relay to node
	KindHeartbeat    = "up"       // Heartbeat: node to relay; the most frequent message has the shortest name
	KindQuery        = "query"    // Query: relay to node
	KindSubscription = "interest" // Subscription: node to relay
	KindDigest       = "digest"   // Digest: relay to relay or node
	KindPull         = "pull"     // Pull: node or relay to relay
	KindSets         = "sets"     // Sets: relay to relay or node
	KindProbe        = "probe"    // Probe: owner to node, or to the other relay about a node
	KindProbeReply   = "echo"     // ProbeReply: reply to a Probe
)

func init() {
	encoder.Register(KindAnnouncement, func() any { return new(Announcement) })
	encoder.Register(KindReceipt, func() any { return new(Receipt) })
	encoder.Register(KindHeartbeat, func() any { return new(Heartbeat) })
	encoder.Register(KindQuery, func() any { return new(Query) })
	encoder.Register(KindSubscription, func() any { return new(Subscription) })
	encoder.Register(KindDigest, func() any { return new(Digest) })
	encoder.Register(KindPull, func() any { return new(Pull) })
	encoder.Register(KindSets, func() any { return new(Sets) })
	encoder.Register(KindProbe, func() any { return new(Probe) })
	encoder.Register(KindProbeReply, func() any { return new(ProbeReply) })
}
