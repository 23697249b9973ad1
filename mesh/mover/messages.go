package mover

import (
	"wisteriaspoke.example/mesh/canary"
	"wisteriaspoke.example/mesh/encoder"
)

// Kinds of messages.
const (
	kindEvidence = "move.evidence"
	kindStage    = "move.stage"
)

func init() {
	encoder.Register(kindEvidence, func() any { return new(evidence) })
	encoder.Register(kindStage, func() any { return new(stage) })
}

// evidence is all that one node has seen of a move so far.
type evidence struct {
	_           struct{} `cbor:",toarray"`
	Order       string
	Incarnation uint64
	Counts      []canary.OutcomeCounts
}

// stage is how far a move has come, as the deciding node sees it.
type stage struct {
	_          struct{} `cbor:",toarray"`
	Order      string
	Permille   int
	Elapsed    int64  // milliseconds since the order became known
	StartDelay int64  // Elapsed when the first calls were given
	BadReason  string // why the version is bad, or the empty string
}
