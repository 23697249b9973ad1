package relayer

import (
	"wisteriaspoke.example/mesh/differ"
	"wisteriaspoke.example/mesh/encoder"
)

// Kinds of the messages that this package sends.
const (
	askKind       = "ask"       // any node to a seed: which relays are there
	knownKind     = "known"     // answer to ask
	subscribeKind = "subscribe" // client to relay each second, and at once when something changes
	pulseKind     = "pulse"     // relay to client after each renewal, and when the version changes
	deltaKind     = "delta"     // relay to client
	laterKind     = "later"     // relay to client that asked for a whole state above the relay's rate
	syncKind      = "sync"      // relay to relay
	redirectKind  = "redirect"  // relay to client of a large data centre
	feedKind      = "feed"      // relay to relay or sub-relay: a delta of the whole configuration
)

// seat is what a node says of one relay lease.
type seat struct {
	DataCentre string `cbor:"1,keyasint"`
	Region     string `cbor:"2,keyasint"`
	Index      int    `cbor:"3,keyasint,omitempty"`
	Holder     string `cbor:"4,keyasint,omitempty"`
	Epoch      uint64 `cbor:"5,keyasint"`
	Renewed    int64  `cbor:"6,keyasint,omitempty"` // milliseconds since 1970 on the holder's clock
	Age        int64  `cbor:"7,keyasint,omitempty"` // milliseconds since the holder was last heard
}

type ask struct{}

type known struct {
	Leases     []seat `cbor:"1,keyasint,omitempty"`
	DataCentre string `cbor:"2,keyasint"`
	Version    uint64 `cbor:"3,keyasint,omitempty"` // in force on the sender, zero while it is not ready
}

type subscribe struct {
	DataCentre     string   `cbor:"1,keyasint,omitempty"`
	Service        string   `cbor:"2,keyasint,omitempty"`
	Demanded       []string `cbor:"3,keyasint,omitempty"`
	Version        uint64   `cbor:"4,keyasint,omitempty"`
	Digest         uint64   `cbor:"5,keyasint,omitempty"`
	RefusedVersion uint64   `cbor:"6,keyasint,omitempty"`
	Reason         string   `cbor:"7,keyasint,omitempty"`
	Push           bool     `cbor:"8,keyasint,omitempty"`  // send deltas without being asked
	Pull           bool     `cbor:"9,keyasint,omitempty"`  // send a delta now
	Relay          bool     `cbor:"10,keyasint,omitempty"` // the whole configuration, also before it is confirmed
	Unchanged      bool     `cbor:"12,keyasint,omitempty"` // fields 1 to 3, 6 and 7 are as last sent, and left out
	UptimeMillis   int64    `cbor:"11,keyasint,omitempty"` // milliseconds since the client's start while it needs the floor
	SubRelay       bool     `cbor:"13,keyasint,omitempty"` // the sender is a sub-relay
	ClientSummary  *sum     `cbor:"14,keyasint,omitempty"` // of the sub-relay's clients, when it changed
}

type pulse struct {
	Version            uint64  `cbor:"1,keyasint,omitempty"` // confirmed on the sender
	Leases             []seat  `cbor:"2,keyasint,omitempty"`
	NodeCount          int     `cbor:"3,keyasint,omitempty"` // nodes of the data centre that the sender hears
	UptimeMillis       int64   `cbor:"4,keyasint,omitempty"` // of the subscription; set when MinVersion is known
	MinVersion         uint64  `cbor:"5,keyasint,omitempty"`
	StoreUnreachable   bool    `cbor:"6,keyasint,omitempty"` // the store does not answer the sender
	Renewed            int64   `cbor:"7,keyasint,omitempty"` // of the sender's own lease
	ResendSubscription bool    `cbor:"8,keyasint,omitempty"` // the sender lacks the subscription; send it in full
	RelayLiveness      []vital `cbor:"9,keyasint,omitempty"` // of the data centre's relays; set by sub-relays
}

// vital is what a sub-relay says of a relay whose address and epoch its clients know.
type vital struct {
	Index   int    `cbor:"1,keyasint,omitempty"`
	Epoch   uint64 `cbor:"2,keyasint"`
	Age     int64  `cbor:"3,keyasint,omitempty"` // milliseconds since the relay was last heard
	Renewed int64  `cbor:"4,keyasint,omitempty"` // as in seat
}

// redirect with neither field set ends the work of a sub-relay.
type redirect struct {
	SubRelays      []string `cbor:"1,keyasint,omitempty"` // the sub-relays to subscribe at
	BecomeSubRelay bool     `cbor:"2,keyasint,omitempty"` // become a sub-relay
}

// feed has its own kind because a delta that a relay filtered for a node may still arrive after that node became a
// relay or a sub-relay, which would then serve a part of the configuration as the whole.
type feed struct {
	Delta differ.Delta `cbor:"1,keyasint"`
}

type later struct {
	RetryAfterMillis int64 `cbor:"1,keyasint"` // milliseconds
}

type syncing struct {
	LatestVersion    uint64 `cbor:"1,keyasint,omitempty"`
	ConfirmedVersion uint64 `cbor:"2,keyasint,omitempty"`
	Digest           uint64 `cbor:"3,keyasint,omitempty"` // of the latest state
	Leases           []seat `cbor:"4,keyasint,omitempty"`
	RefusedVersion   uint64 `cbor:"5,keyasint,omitempty"` // newest version whose content is wrong
	Reason           string `cbor:"6,keyasint,omitempty"`
	PublishedVersion uint64 `cbor:"7,keyasint,omitempty"` // in force on the sender's own node
	Reply            bool   `cbor:"8,keyasint,omitempty"` // the receiver is no peer of the sender's own choice
}

func init() {
	encoder.Register(askKind, func() any { return new(ask) })
	encoder.Register(knownKind, func() any { return new(known) })
	encoder.Register(subscribeKind, func() any { return new(subscribe) })
	encoder.Register(pulseKind, func() any { return new(pulse) })
	encoder.Register(deltaKind, func() any { return new(differ.Delta) })
	encoder.Register(laterKind, func() any { return new(later) })
	encoder.Register(syncKind, func() any { return new(syncing) })
	encoder.Register(redirectKind, func() any { return new(redirect) })
	encoder.Register(feedKind, func() any { return new(feed) })
}
