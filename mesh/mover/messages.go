package mover

import (
	"wisteriaspoke.example/mesh/canary"
	"wisteriaspoke.example/mesh/encoder"
)

// Kinds of messages between movers.
const (
	kindEvidence = "move.evidence"
	kindStage    = "move.stage"
	kindOutcome  = "move.outcome"
)

func init() {
	encoder.Register(kindEvidence, func() any { return new(evidence) })
	encoder.Register(kindStage, func() any { return new(stage) })
	encoder.Register(kindOutcome, func() any { return new(outcomeNotice) })
}

// evidence holds the outcomes that one node has counted since the start of a move.
type evidence struct {
	_           struct{} `cbor:",toarray"`
	Order       string
	Incarnation uint64
	Counts      []canary.OutcomeCounts
}

// stage is the leader's state of a move.
type stage struct {
	_          struct{} `cbor:",toarray"`
	Order      string
	Permille   int
	Elapsed    int64  // milliseconds since the order became known
	StartDelay int64  // value of Elapsed, in milliseconds, when the new version got its first calls
	BadReason  string // why the version is bad, or the empty string
}

// outcomeNotice says how a move ended that a restored store shows as running.
type outcomeNotice struct {
	_     struct{} `cbor:",toarray"`
	Order string
	State string
}
