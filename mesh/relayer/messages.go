package relayer

import (
	"wisteriaspoke.example/mesh/differ"
	"wisteriaspoke.example/mesh/encoder"
)

// Kinds of the messages that this package sends.
const (
	relayQueryKind      = "ask"       // any node to a seed: requests the leases and the version in force
	relayAnswerKind     = "known"     // answer to relayQuery
	subscribeKind       = "subscribe" // client to relay each second, and at once when something changes
	heartbeatKind       = "pulse"     // relay to client after each renewal, and when the version changes
	deltaKind           = "delta"     // relay to client
	retryLaterKind      = "later"     // relay to client that asked for a whole state above the relay's rate
	relayStatusKind     = "sync"      // relay to relay
	redirectKind        = "redirect"  // relay to client of a large data centre
	unfilteredDeltaKind = "feed"      // relay to relay or sub-relay: a delta of the whole configuration
)

// leaseInfo is a node's information on one relay lease.
type leaseInfo struct {
	DataCentre string `cbor:"1,keyasint"`
	Region     string `cbor:"2,keyasint"`
	Index      int    `cbor:"3,keyasint,omitempty"`
	Holder     string `cbor:"4,keyasint,omitempty"`
	Epoch      uint64 `cbor:"5,keyasint"`
	Renewed    int64  `cbor:"6,keyasint,omitempty"` // Unix milliseconds on the holder's clock
	Age        int64  `cbor:"7,keyasint,omitempty"` // milliseconds since the last message from the holder
}

type relayQuery struct{}

type relayAnswer struct {
	Leases     []leaseInfo `cbor:"1,keyasint,omitempty"`
	DataCentre string      `cbor:"2,keyasint"`
	Version    uint64      `cbor:"3,keyasint,omitempty"` // in force on the sender; zero while it is not ready
}

type subscribe struct {
	DataCentre     string         `cbor:"1,keyasint,omitempty"`
	Service        string         `cbor:"2,keyasint,omitempty"`
	Demanded       []string       `cbor:"3,keyasint,omitempty"`
	Version        uint64         `cbor:"4,keyasint,omitempty"`
	Digest         uint64         `cbor:"5,keyasint,omitempty"`
	RefusedVersion uint64         `cbor:"6,keyasint,omitempty"`
	Reason         string         `cbor:"7,keyasint,omitempty"`
	Push           bool           `cbor:"8,keyasint,omitempty"`  // send deltas without a pull
	Pull           bool           `cbor:"9,keyasint,omitempty"`  // send a delta now
	Relay          bool           `cbor:"10,keyasint,omitempty"` // send the whole configuration, even unconfirmed
	Unchanged      bool           `cbor:"12,keyasint,omitempty"` // fields 1 to 3, 6, 7 and 13 are unchanged and omitted
	UptimeMillis   int64          `cbor:"11,keyasint,omitempty"` // since the client's start; set while it needs a floor
	SubRelay       bool           `cbor:"13,keyasint,omitempty"` // the sender is a sub-relay
	ClientSummary  *clientSummary `cbor:"14,keyasint,omitempty"` // set by sub-relays when it changed
}

type heartbeat struct {
	Version            uint64          `cbor:"1,keyasint,omitempty"` // confirmed version of the sender
	Leases             []leaseInfo     `cbor:"2,keyasint,omitempty"`
	NodeCount          int             `cbor:"3,keyasint,omitempty"` // nodes of the data centre that the sender counts
	UptimeMillis       int64           `cbor:"4,keyasint,omitempty"` // as in the subscription; set when MinVersion is
	MinVersion         uint64          `cbor:"5,keyasint,omitempty"`
	StoreUnreachable   bool            `cbor:"6,keyasint,omitempty"` // to the sender
	Renewed            int64           `cbor:"7,keyasint,omitempty"` // of the sender's own lease
	ResendSubscription bool            `cbor:"8,keyasint,omitempty"` // the receiver must send its subscription in full
	RelayLiveness      []relayLiveness `cbor:"9,keyasint,omitempty"` // of the data centre's relays; set by sub-relays
}

// relayLiveness is a sub-relay's information on a relay whose address and epoch its clients already have.
type relayLiveness struct {
	Index   int    `cbor:"1,keyasint,omitempty"`
	Epoch   uint64 `cbor:"2,keyasint"`
	Age     int64  `cbor:"3,keyasint,omitempty"` // milliseconds since the last message from the relay
	Renewed int64  `cbor:"4,keyasint,omitempty"` // as in leaseInfo
}

// redirect changes a client's place in the fan-out. With neither field set, a sub-relay becomes an ordinary client.
type redirect struct {
	SubRelays      []string `cbor:"1,keyasint,omitempty"` // subscribe to these sub-relays
	BecomeSubRelay bool     `cbor:"2,keyasint,omitempty"`
}

// unfilteredDelta has its own kind because a delta that a relay filtered for a node may still arrive after that node
// became a relay or a sub-relay, which would then serve a part of the configuration as the whole.
type unfilteredDelta struct {
	Delta differ.Delta `cbor:"1,keyasint"`
}

type retryLater struct {
	RetryAfterMillis int64 `cbor:"1,keyasint"`
}

type relayStatus struct {
	LatestVersion    uint64      `cbor:"1,keyasint,omitempty"`
	ConfirmedVersion uint64      `cbor:"2,keyasint,omitempty"`
	Digest           uint64      `cbor:"3,keyasint,omitempty"` // of the latest state
	Leases           []leaseInfo `cbor:"4,keyasint,omitempty"`
	RefusedVersion   uint64      `cbor:"5,keyasint,omitempty"` // newest version that the sender found invalid
	Reason           string      `cbor:"6,keyasint,omitempty"`
	PublishedVersion uint64      `cbor:"7,keyasint,omitempty"` // version in force on the sender's own node
	Reply            bool        `cbor:"8,keyasint,omitempty"` // sent only because the receiver sent one first
}

func init() {
	encoder.Register(relayQueryKind, func() any { return new(relayQuery) })
	encoder.Register(relayAnswerKind, func() any { return new(relayAnswer) })
	encoder.Register(subscribeKind, func() any { return new(subscribe) })
	encoder.Register(heartbeatKind, func() any { return new(heartbeat) })
	encoder.Register(deltaKind, func() any { return new(differ.Delta) })
	encoder.Register(retryLaterKind, func() any { return new(retryLater) })
	encoder.Register(relayStatusKind, func() any { return new(relayStatus) })
	encoder.Register(redirectKind, func() any { return new(redirect) })
	encoder.Register(unfilteredDeltaKind, func() any { return new(unfilteredDelta) })
}
