package receiver

import (
	"bytes"

	"wisteriaspoke.example/mesh/answer"
	"wisteriaspoke.example/mesh/holder"
)

// body is the body of an answer to a caller. Close gives its memory back.
type body struct {
	*bytes.Reader
	whole []byte
	hold  *holder.Hold
}

func newBody(a answer.Answer) *body {
	return &body{Reader: bytes.NewReader(a.Body()), whole: a.Body(), hold: a.Hold()}
}

// Bytes returns the whole body.
func (b *body) Bytes() []byte { return b.whole }

// Close releases the memory of the body.
func (b *body) Close() error {
	b.Reader, b.whole = bytes.NewReader(nil), nil
	b.hold.Release()
	return nil
}
