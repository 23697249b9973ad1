package revalidator

import "wisteriaspoke.example/mesh/encoder"

// Kinds of messages between revalidators.
const (
	kindStamp = "fresh.stamp"
	kindProof = "fresh.proof"
)

func init() {
	encoder.Register(kindStamp, func() any { return new(stamp) })
	encoder.Register(kindProof, func() any { return new(proofMessage) })
}

// stamp is a reading of the sender's boot-time clock.
type stamp struct {
	_           struct{} `cbor:",toarray"`
	Incarnation uint64   // of the sender
	Clock       int64    // milliseconds, rounded down
	Ask         bool     // the receiver answers with its own stamp
}

// Duties of the receiver of a proof.
const (
	dutyNone   = 0 // keep it
	dutyRelay  = 1 // pass it on to its region at once
	dutySecond = 2 // pass it on unless another node does so
)

// proofMessage is a proof by the receiver's clock.
type proofMessage struct {
	_           struct{} `cbor:",toarray"`
	Incarnation uint64   // of the receiver whose clock it is
	Moment      int64    // milliseconds, rounded down
	Version     uint64
	Duty        int
}
