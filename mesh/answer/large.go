package answer

import (
	"bytes"
	"encoding/binary"

	"github.com/fxamacker/cbor/v2"

	"wisteriaspoke.example/mesh/call"
	"wisteriaspoke.example/mesh/holder"
	"wisteriaspoke.example/mesh/peeker"
)

const (
	bodyKey = 3 // of Fields.Body
	// longestShortMap is the number of pairs up to which the head of a map is one byte.
	longestShortMap = 23
	// longBytes is the head of a byte string whose length has four bytes.
	longBytes = 0x5a
)

// beforeBody are the fields that are encoded before the body.
type beforeBody struct {
	Status  int           `cbor:"1,keyasint"`
	Headers []call.Header `cbor:"2,keyasint,omitempty"`
}

// appendLarge appends the encoding of an answer with a large body, which the CBOR encoder would copy once more.
func (a Answer) appendLarge(b *bytes.Buffer) error {
	f := a.f
	body := f.Body
	f.Body = nil
	small, err := cbor.Marshal(f)
	if err != nil {
		return err
	}
	before, err := cbor.Marshal(beforeBody{f.Status, f.Headers})
	if err != nil {
		return err
	}
	// Each of them has a head of one byte, as it has few fields.
	b.Grow(len(small) + len(body) + 1 + 1 + 4)
	b.WriteByte(small[0] + 1)
	b.Write(before[1:])
	b.WriteByte(bodyKey)
	b.WriteByte(longBytes)
	b.Write(binary.BigEndian.AppendUint32(nil, uint32(len(body))))
	b.Write(body)
	b.Write(small[len(before):])
	return nil
}

// findBody returns where the pair with the body begins and where the body itself lies in an encoded answer, of which only
// the beginning need be there; ok is false if there is no body or its place is not known.
func findBody(data []byte) (pair, begin, end int, ok bool) {
	p := peeker.New(data)
	major, pairs, ok := p.Head()
	if !ok || major != peeker.Map || pairs > longestShortMap || p.Position() != 1 {
		return 0, 0, 0, false
	}
	for range pairs {
		pair = p.Position()
		major, key, ok := p.Head()
		if !ok || major != peeker.Unsigned {
			return 0, 0, 0, false
		}
		if key == bodyKey {
			major, size, ok := p.Head()
			if !ok || major != peeker.Bytes || size > 1<<31 {
				return 0, 0, 0, false
			}
			return pair, p.Position(), p.Position() + int(size), true
		}
		if !p.Skip() {
			return 0, 0, 0, false
		}
	}
	return 0, 0, 0, false
}

// BodyEnd returns where the body ends in an encoded answer, of which only the beginning need be there.
func BodyEnd(data []byte) (end int, ok bool) {
	_, _, end, ok = findBody(data)
	return end, ok
}

// UnmarshalShared decodes an answer whose large body remains a part of data, which must not be changed afterwards.
func (a *Answer) UnmarshalShared(data []byte) error {
	pair, begin, end, ok := findBody(data)
	if !ok || end > len(data) || end-begin <= holder.CountedFrom {
		return a.UnmarshalCBOR(data)
	}
	small := make([]byte, 0, pair+len(data)-end)
	small = append(small, data[0]-1)
	small = append(small, data[1:pair]...)
	small = append(small, data[end:]...)
	if err := a.UnmarshalCBOR(small); err != nil {
		return err
	}
	a.f.Body = data[begin:end:end]
	return nil
}
