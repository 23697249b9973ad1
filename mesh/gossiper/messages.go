package gossiper

import (
	"wisteriaspoke.example/mesh/encoder"
	"wisteriaspoke.example/mesh/endpoint"
	"wisteriaspoke.example/mesh/record"
	"wisteriaspoke.example/mesh/suspicion"
)

// Kinds of messages.
const (
	kindStatus     = "gossip.pulse"
	kindRecords    = "gossip.records"
	kindNodes      = "gossip.nodes"
	kindPull       = "gossip.pull"
	kindHeartbeats = "gossip.heartbeats"
	kindRevisions  = "gossip.revisions"
	kindWithdrawal = "gossip.withdrawal"
	kindSuspicions = "gossip.suspicions"
	kindUpstream   = "gossip.upstream"
)

func init() {
	encoder.Register(kindStatus, func() any { return new(status) })
	encoder.Register(kindRecords, func() any { return new(records) })
	encoder.Register(kindPull, func() any { return new(pullRequest) })
	encoder.Register(kindNodes, func() any { return new(nodes) })
	encoder.Register(kindRevisions, func() any { return new(revisions) })
	encoder.Register(kindWithdrawal, func() any { return new(withdrawal) })
	encoder.Register(kindUpstream, func() any { return new(lastUpstream) })
	encoder.Register(kindSuspicions, func() any { return new(suspicions) })
	encoder.Register(kindHeartbeats, func() any { return new(heartbeats) })
}

// status is the message in which a node publishes its state.
type status struct {
	_                     struct{} `cbor:",toarray"`
	Incarnation           uint64
	Sequence              uint64 // grows with each message of an incarnation
	DataCentre            string
	Region                string
	StoreReachable        bool               // whether the node reaches the store
	StoreLatency          int64              // milliseconds, of the store's fastest response
	Leaving               bool               // whether the node is stopping
	ConfigurationRevision uint64             // version of the configuration that the node has, or 0
	OrdersRevision        uint64             // highest position among the orders that the node has
	Outstanding           int                // calls in progress at the upstream
	ServiceTimeRatio      int64              // the upstream's service time relative to the expected one, per mille
	Endpoint              *endpoint.Endpoint // nil before the upstream announces itself
	StoreFailureAge       int64              // milliseconds since the last failed call to the store, or negative without one
	Age                   int64              // of the process, in milliseconds
	LinkRate              int                // millions of bits a second that the host's link carries, or 0 if that is not known
}

// withdrawal is the message that tells a restarted node which upstream has left.
type withdrawal struct {
	_        struct{} `cbor:",toarray"`
	Instance string
	Start    uint64 // of the process; earlier ones of the instance have left, too
}

// lastUpstream is the message that tells a restarted node which upstream it had, as far as another node of its region knows.
type lastUpstream struct {
	_        struct{} `cbor:",toarray"`
	Instance string
	Start    uint64 // of the process
}

// suspicions is the message that shares which requests have crashed upstreams.
type suspicions struct {
	_    struct{} `cbor:",toarray"`
	List []suspicion.Suspicion
}

// records is the message that transfers objects of the store.
type records struct {
	_       struct{} `cbor:",toarray"`
	Records []record.Record
}

// nodes is the message that lists the addresses of the sender's linked nodes.
type nodes struct {
	_         struct{} `cbor:",toarray"`
	Addresses []string
}

// heartbeats is the message in which a region's delegate relays the heartbeats of the region's nodes.
type heartbeats struct {
	_     struct{} `cbor:",toarray"`
	Nodes []heartbeat
}

// heartbeat holds the fields of a node's status that change with each message, and the node's address.
type heartbeat struct {
	_                struct{} `cbor:",toarray"`
	Address          string
	Incarnation      uint64
	Sequence         uint64 // of the node's last status message
	Outstanding      int
	ServiceTimeRatio int64
}

// pullRequest asks for a configuration of a higher version and for orders at higher positions.
type pullRequest struct {
	_                     struct{} `cbor:",toarray"`
	ConfigurationRevision uint64
	OrdersRevision        uint64
}
