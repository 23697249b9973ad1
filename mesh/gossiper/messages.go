package gossiper

import (
	"wisteriaspoke.example/mesh/encoder"
	"wisteriaspoke.example/mesh/endpoint"
	"wisteriaspoke.example/mesh/record"
)

// Kinds of messages.
const (
	kindPulse      = "gossip.pulse"
	kindRecords    = "gossip.records"
	kindNodes      = "gossip.nodes"
	kindPull       = "gossip.pull"
	kindHeartbeats = "gossip.heartbeats"
)

func init() {
	encoder.Register(kindPulse, func() any { return new(pulse) })
	encoder.Register(kindRecords, func() any { return new(records) })
	encoder.Register(kindPull, func() any { return new(pull) })
	encoder.Register(kindNodes, func() any { return new(nodes) })
	encoder.Register(kindHeartbeats, func() any { return new(heartbeats) })
}

// pulse is what a node says of itself.
type pulse struct {
	_                     struct{} `cbor:",toarray"`
	Incarnation           uint64
	Sequence              uint64 // grows with each pulse of an incarnation
	DataCentre            string
	Region                string
	StoreReachable        bool               // the node reaches the store
	StoreLatency          int64              // milliseconds that the quickest answer of the store took
	Leaving               bool               // the node is stopping
	ConfigurationRevision uint64             // revision of the configuration that the node has
	OrdersRevision        uint64             // highest revision of an order that the node has
	Outstanding           int                // calls at the upstream
	ServiceTimeRatio      int64              // the upstream's time for calls as a multiple of the usual one, in thousandths
	Endpoint              *endpoint.Endpoint // nil while no upstream has announced itself
}

// records are objects of the store.
type records struct {
	_       struct{} `cbor:",toarray"`
	Records []record.Record
}

// nodes are the addresses of nodes that the sender has heard of lately.
type nodes struct {
	_         struct{} `cbor:",toarray"`
	Addresses []string
}

// heartbeats are those of one region's nodes, as one of them has heard the others.
type heartbeats struct {
	_     struct{} `cbor:",toarray"`
	Nodes []heartbeat
}

// heartbeat is what changes from one pulse of a node to the next.
type heartbeat struct {
	_                struct{} `cbor:",toarray"`
	Address          string
	Incarnation      uint64
	Sequence         uint64 // of the node's last pulse
	Outstanding      int
	ServiceTimeRatio int64
}

// pull asks for the records that are newer than the revisions.
type pull struct {
	_                     struct{} `cbor:",toarray"`
	ConfigurationRevision uint64
	OrdersRevision        uint64
}
