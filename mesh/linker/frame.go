package linker

import (
	"bytes"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/holder"
)

// frameType is the kind of a frame and determines its body.
type frameType uint8

const (
	typeHello   frameType = 1 + iota // body: hello; the first frame in each direction
	typeProof                        // body: byte string; the dialer's proof that it has the token
	typeMessage                      // body: an encoded message.Message; control links only
	typeCall                         // ID, body: call.Call
	typeAnswer                       // ID, body: answer.Answer
	typeCancel                       // ID: the caller no longer waits for the call
	typeClosing                      // the sender closes this link when the calls sent before typeClosed are answered
	typeClosed                       // reply to typeClosing: no call follows on this link
	typeOffer                        // ID, body: call.Call without its own body, which the sender keeps until typeGrant
	typeGrant                        // ID: the peer has room for the body of the offered call
	typeBody                         // ID, body: byte string; the body of the offered call
)

// hasBody says for each frame type whether it must or must not have a body.
var hasBody = map[frameType]bool{
	typeHello: true, typeProof: true, typeMessage: true, typeCall: true, typeAnswer: true,
	typeCancel: false, typeClosing: false, typeClosed: false, typeOffer: true, typeGrant: false, typeBody: true,
}

// frame is one WebSocket message.
type frame struct {
	_          struct{} `cbor:",toarray"`
	Type       frameType
	Generation uint64 // of the link; zero in a hello only
	ID         uint64 // of the call on this link; zero in frames that concern no call
	Body       rawBody

	hold *holder.Hold // the memory of a frame that was read into a buffer of its own, whose parts may be kept, or nil
}

// cborNull is the body of a frame without one.
const cborNull = 0xf6

var (
	encMode = must(cbor.CoreDetEncOptions().UserBufferEncMode())
	// The limits also cover bodies, which are checked for well-formedness with the frame. Nodes write neither tags nor
	// indefinite lengths; both passed the check in forms that could not be re-encoded.
	decMode = must(cbor.DecOptions{
		MaxArrayElements: 1 << 17,
		MaxMapPairs:      1 << 17,
		MaxNestedLevels:  32,
		TagsMd:           cbor.TagsForbidden,
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode())
)

func must[T any](t T, err error) T {
	if err != nil {
		panic(err)
	}
	return t
}

// frameHead is a frame without its body.
type frameHead struct {
	_          struct{} `cbor:",toarray"`
	Type       frameType
	Generation uint64
	ID         uint64
}

// frameArrayHeader is the first byte of a frame, a CBOR array of four elements.
const frameArrayHeader = 0x84

// bodyMarshaler is a body that can be encoded directly into the frame.
type bodyMarshaler interface {
	// MarshalTo appends the CBOR encoding to the buffer.
	MarshalTo(*bytes.Buffer) error
}

// rawBody is an encoded body; an empty one means that the frame has no body.
type rawBody []byte

// UnmarshalCBOR keeps data without a copy, unlike cbor.RawMessage, so a decoded body is valid as long as the frame's data.
// This relies on the decoder passing a part of its input, which TestBodyOfFrame checks.
func (r *rawBody) UnmarshalCBOR(data []byte) error {
	*r = data
	return nil
}

// MarshalTo appends the body.
func (r rawBody) MarshalTo(b *bytes.Buffer) error {
	if len(r) == 0 {
		return b.WriteByte(cborNull)
	}
	_, err := b.Write(r)
	return err
}

// appendFrame encodes the frame into an empty buffer; it appends the body itself, as the CBOR encoder would copy it.
func appendFrame(b *bytes.Buffer, t frameType, generation, id uint64, body bodyMarshaler) error {
	err := encMode.MarshalToBuffer(frameHead{Type: t, Generation: generation, ID: id}, b)
	if err == nil {
		// The head is encoded as an array of three; the body is the fourth element.
		b.Bytes()[0] = frameArrayHeader
		err = body.MarshalTo(b)
	}
	if err != nil {
		return fault.Wrap(fault.Invalid, err, "cannot encode a frame", "report this as a bug")
	}
	return nil
}

// encodeFrame returns an encoded frame; body is already encoded.
func encodeFrame(t frameType, generation, id uint64, body []byte) ([]byte, error) {
	var b bytes.Buffer
	if err := appendFrame(&b, t, generation, id, rawBody(body)); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// decodeFrame decodes a frame, whose body is a part of data; malformed data is a fault of kind Invalid.
func decodeFrame(data []byte) (frame, error) {
	var f frame
	if err := decMode.Unmarshal(data, &f); err != nil {
		return frame{}, fault.Wrap(fault.Invalid, err, "malformed frame", "check that both nodes run compatible releases")
	}
	body, known := hasBody[f.Type]
	if !known {
		return frame{}, malformed(fmt.Sprintf("unknown frame type %d", f.Type))
	}
	absent := len(f.Body) == 0 || f.Body[0] == cborNull
	if body == absent {
		return frame{}, malformed(fmt.Sprintf("frame type %d with a wrong body", f.Type))
	}
	return f, nil
}

func malformed(what string) error {
	return fault.New(fault.Invalid, what, "check that both nodes run compatible releases")
}
