package isolator

import "wisteriaspoke.example/mesh/encoder"

// kindPrefix is the prefix of all message kinds of the crash guard, including those of package spreader.
const kindPrefix = "guard."

// Kinds of messages between a node that has a suspect to run and the witness of its crash.
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

// askBody asks the witness for permission to run a suspect.
type askBody struct {
	Holder      uint64 `cbor:"1,keyasint"`
	Fingerprint string `cbor:"2,keyasint"`
	TimeLeft    int64  `cbor:"3,keyasint"` // milliseconds until the run has ended and its marks have spread
}

// permitBody is the witness's reply to askBody.
type permitBody struct {
	Holder  uint64 `cbor:"1,keyasint"`
	Granted bool   `cbor:"2,keyasint"`
}

// returnBody returns a permission to the witness.
type returnBody struct {
	Holder      uint64 `cbor:"1,keyasint"`
	Fingerprint string `cbor:"2,keyasint"`
}
