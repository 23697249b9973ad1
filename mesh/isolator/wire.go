package isolator

import "wisteriaspoke.example/mesh/encoder"

// kindPrefix is shared by all kinds of messages of the crash guard, also those of package spreader.
const kindPrefix = "guard."

// Kinds of messages between a node that is to run a suspect and the witness of its crash.
const (
	kindAsk    = kindPrefix + "ask"
	kindPermit = kindPrefix + "permit"
	kindReturn = kindPrefix + "return"
)

func init() {
	encoder.Register(kindAsk, func() any { return new(askBody) })
	encoder.Register(kindPermit, func() any { return new(permitBody) })
	encoder.Register(kindReturn, func() any { return new(returnBody) })
}

type askBody struct {
	Holder      uint64 `cbor:"1,keyasint"`
	Fingerprint string `cbor:"2,keyasint"`
	TimeLeft    int64  `cbor:"3,keyasint"` // milliseconds until the run has ended and its marks have spread
}

type permitBody struct {
	Holder  uint64 `cbor:"1,keyasint"`
	Granted bool   `cbor:"2,keyasint"`
}

type returnBody struct {
	Holder      uint64 `cbor:"1,keyasint"`
	Fingerprint string `cbor:"2,keyasint"`
}
