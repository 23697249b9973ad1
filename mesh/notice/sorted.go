package notice

import "github.com/fxamacker/cbor/v2"

// sorted encodes maps in the order of their keys, so that equal messages have equal encodings.
var sorted = must(cbor.CoreDetEncOptions().EncMode())

func must[T any](t T, err error) T {
	if err != nil {
		panic(err)
	}
	return t
}
