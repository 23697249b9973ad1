package spreader

import (
	"wisteriaspoke.example/mesh/encoder"
	"wisteriaspoke.example/mesh/mark"
	"wisteriaspoke.example/mesh/message"
)

// Kinds of messages of this package.
const (
	kindMarks        = "guard.marks"
	kindConfirmation = "guard.taken"
	kindPull         = "guard.pull"
	kindPage         = "guard.page"
)

func init() {
	encoder.Register(kindMarks, func() any { return new(marksBody) })
	encoder.Register(kindConfirmation, func() any { return new(confirmationBody) })
	encoder.Register(kindPull, func() any { return new(pullBody) })
	encoder.Register(kindPage, func() any { return new(pageBody) })
}

// hop is a step on the path of marks from the node that created them.
type hop int

const (
	toRelay   hop = 0 // from a node to a relay of its data centre
	toGateway hop = 1 // from a relay to the gateway of another region
	toRegion  hop = 2 // from a relay to another relay of its region
	toNode    hop = 3 // from a relay to a node
)

// marksBody sends marks to the next hop.
type marksBody struct {
	Batch uint64      `cbor:"1,keyasint"`
	Hop   hop         `cbor:"2,keyasint"`
	Marks []mark.Mark `cbor:"3,keyasint"`
}

// confirmationBody confirms that the sender, and all nodes to which it forwarded the batch, have the marks.
type confirmationBody struct {
	Batch uint64 `cbor:"1,keyasint"`
}

// pullBody asks for the marks that changed after a sequence number.
type pullBody struct {
	Incarnation uint64 `cbor:"1,keyasint"` // incarnation of the receiver to which the sequence belongs
	Sequence    uint64 `cbor:"2,keyasint"`
	Relay       bool   `cbor:"3,keyasint,omitempty"` // the sender is a relay and not recorded as a puller
}

// pageBody answers pullBody.
type pageBody struct {
	Incarnation uint64      `cbor:"1,keyasint"`
	Sequence    uint64      `cbor:"2,keyasint"`           // for the next pull
	More        bool        `cbor:"3,keyasint,omitempty"` // there are further marks to pull
	Marks       []mark.Mark `cbor:"4,keyasint,omitempty"`
}

func newMarks(batch uint64, h hop, ms []mark.Mark) message.Message {
	return message.New(kindMarks, &marksBody{Batch: batch, Hop: h, Marks: ms})
}

func newConfirmation(batch uint64) message.Message {
	return message.New(kindConfirmation, &confirmationBody{Batch: batch})
}
