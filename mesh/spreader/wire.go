package spreader

import (
	"wisteriaspoke.example/mesh/encoder"
	"wisteriaspoke.example/mesh/mark"
	"wisteriaspoke.example/mesh/message"
)

// Kinds of messages that carry marks.
const (
	kindMarks = "guard.marks"
	kindTaken = "guard.taken"
	kindPull  = "guard.pull"
	kindPage  = "guard.page"
)

func init() {
	encoder.Register(kindMarks, func() any { return new(marksBody) })
	encoder.Register(kindTaken, func() any { return new(takenBody) })
	encoder.Register(kindPull, func() any { return new(pullBody) })
	encoder.Register(kindPage, func() any { return new(pageBody) })
}

// hop is the step of marks on their way from the node that made them.
type hop int

const (
	toRelay   hop = 0 // from a node to a relay of its data centre
	toGateway hop = 1 // from a relay to the gateway of another region
	toRegion  hop = 2 // from a relay to another relay of its region
	toNode    hop = 3 // from a relay to a node
)

type marksBody struct {
	Batch uint64      `cbor:"1,keyasint"`
	Hop   hop         `cbor:"2,keyasint"`
	Marks []mark.Mark `cbor:"3,keyasint"`
}

// takenBody confirms that all receivers behind the sender have the marks.
type takenBody struct {
	Batch uint64 `cbor:"1,keyasint"`
}

type pullBody struct {
	Incarnation uint64 `cbor:"1,keyasint"` // incarnation of the asked node that the sequence is of
	Sequence    uint64 `cbor:"2,keyasint"`
	Relay       bool   `cbor:"3,keyasint,omitempty"` // the asker is a relay, which gets marks as such
}

type pageBody struct {
	Incarnation uint64      `cbor:"1,keyasint"`
	Sequence    uint64      `cbor:"2,keyasint"` // to ask from next
	More        bool        `cbor:"3,keyasint,omitempty"`
	Marks       []mark.Mark `cbor:"4,keyasint,omitempty"`
}

func newMarks(batch uint64, h hop, ms []mark.Mark) message.Message {
	return message.New(kindMarks, &marksBody{Batch: batch, Hop: h, Marks: ms})
}

func newTaken(batch uint64) message.Message {
	return message.New(kindTaken, &takenBody{Batch: batch})
}
