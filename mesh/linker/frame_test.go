package linker

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"wisteriaspoke.example/mesh/answer"
	"wisteriaspoke.example/mesh/call"
	"wisteriaspoke.example/mesh/encoder"
	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/message"
)

// examples returns one frame of each type, ordered by type number.
func examples(t testing.TB) []frame {
	t.Helper()
	nonce := bytes.Repeat([]byte{1}, nonceSize)
	dialer := hello{Node: "127.0.0.1:7400", Region: "obb", Purpose: calls, Nonce: nonce}
	m, err := encoder.Encode(message.New("note", &testMessage{Text: "hi"}))
	if err != nil {
		t.Fatal(err)
	}
	a := answer.New(answer.Fields{Status: 200, Ran: answer.Yes, Body: []byte("ok")})
	return []frame{
		{Type: typeHello, Body: must(encMode.Marshal(dialer))},
		{Type: typeProof, Generation: 5, Body: must(encMode.Marshal(proof("secret", "dialer", dialer, dialer)))},
		{Type: typeMessage, Generation: 5, Body: m},
		{Type: typeCall, Generation: 5, ID: 9, Body: must(newCall("body").MarshalCBOR())},
		{Type: typeAnswer, Generation: 5, ID: 9, Body: must(a.MarshalCBOR())},
		{Type: typeCancel, Generation: 5, ID: 9},
		{Type: typeClosing, Generation: 5},
		{Type: typeClosed, Generation: 5},
		{Type: typeOffer, Generation: 5, ID: 9, Body: must(newCall("").MarshalCBOR())},
		{Type: typeGrant, Generation: 5, ID: 9},
		{Type: typeBody, Generation: 5, ID: 9, Body: must(encMode.Marshal([]byte("body")))},
	}
}

// TestFrameBytes guards against a change of the wire format, which nodes of different releases share.
func TestFrameBytes(t *testing.T) {
	var out bytes.Buffer
	for _, f := range examples(t) {
		data := must(encodeFrame(f.Type, f.Generation, f.ID, f.Body))
		fmt.Fprintf(&out, "%d %s\n", f.Type, hex.EncodeToString(data))
		if _, err := decodeFrame(data); err != nil {
			t.Errorf("type %d: %v", f.Type, err)
		}
	}
	goldie.New(t).Assert(t, "frames", out.Bytes())
}

// TestFrameBytesInPlace guards against frames that differ from the wire format when their body is encoded in place, in
// a buffer with older bytes.
func TestFrameBytesInPlace(t *testing.T) {
	a := answer.New(answer.Fields{Status: 200, Ran: answer.Yes, Body: []byte("ok")})
	var out bytes.Buffer
	for _, f := range examples(t) {
		var body bodyMarshaler = rawBody(f.Body)
		switch f.Type {
		case typeCall:
			body = newCall("body")
		case typeAnswer:
			body = a
		}
		b := newFrameBuffer(0)
		b.Write(bytes.Repeat([]byte{0xff}, frameOverhead))
		b.Reset()
		if err := appendFrame(b, f.Type, f.Generation, f.ID, body); err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&out, "%d %s\n", f.Type, hex.EncodeToString(b.Bytes()))
	}
	goldie.New(t).Assert(t, "frames", out.Bytes())
}

// TestBodyOfFrame guards against a decoder that passes other bytes than its input to the body, which keeps them without
// a copy.
func TestBodyOfFrame(t *testing.T) {
	for _, e := range examples(t) {
		if !hasBody[e.Type] {
			continue
		}
		data := must(encodeFrame(e.Type, e.Generation, e.ID, e.Body))
		f, err := decodeFrame(data)
		if err != nil {
			t.Fatal(err)
		}
		if start := len(data) - len(e.Body); len(f.Body) != len(e.Body) || &f.Body[0] != &data[start] {
			t.Errorf("type %d: the body is not the end of the frame", e.Type)
		}
	}
}

// TestDecodedCopies guards against decoded calls and answers that share the reader's buffer, which the next frame
// overwrites.
func TestDecodedCopies(t *testing.T) {
	for _, e := range examples(t) {
		if e.Type != typeCall && e.Type != typeAnswer {
			continue
		}
		data := must(encodeFrame(e.Type, e.Generation, e.ID, e.Body))
		f, err := decodeFrame(data)
		if err != nil {
			t.Fatal(err)
		}
		var again []byte
		if e.Type == typeCall {
			var c call.Call
			err = c.UnmarshalCBOR(f.Body)
			clear(data)
			again = must(c.MarshalCBOR())
		} else {
			var a answer.Answer
			err = a.UnmarshalCBOR(f.Body)
			clear(data)
			again = must(a.MarshalCBOR())
		}
		if err != nil || !bytes.Equal(again, e.Body) {
			t.Errorf("type %d: got %x, %v", e.Type, again, err)
		}
	}
}

type malformedCase struct {
	name string
	data []byte
}

func malformedCases(t testing.TB) (cs []malformedCase) {
	t.Helper()
	text, err := os.ReadFile("testdata/malformed.txt")
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		name, digits, _ := strings.Cut(strings.TrimSpace(line), " ")
		data, err := hex.DecodeString(digits)
		if err != nil {
			t.Fatal(err)
		}
		cs = append(cs, malformedCase{name: name, data: data})
	}
	return cs
}

// TestMalformedFrames guards against accepted malformed frames, and against errors that are not faults.
func TestMalformedFrames(t *testing.T) {
	var out bytes.Buffer
	for _, c := range malformedCases(t) {
		_, err := decodeFrame(c.data)
		fmt.Fprintf(&out, "%s %s: %v\n", c.name, fault.KindOf(err), err)
	}
	goldie.New(t).Assert(t, "malformed", out.Bytes())
}

// FuzzDecodeFrame guards against panics of the decoder and against frames that change when they are encoded again.
func FuzzDecodeFrame(f *testing.F) {
	for _, e := range examples(f) {
		f.Add(must(encodeFrame(e.Type, e.Generation, e.ID, e.Body)))
	}
	for _, c := range malformedCases(f) {
		f.Add(c.data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		first, err := decodeFrame(data)
		if err != nil {
			return
		}
		again, err := encodeFrame(first.Type, first.Generation, first.ID, first.Body)
		if err != nil {
			t.Fatal(err)
		}
		second, err := decodeFrame(again)
		if err != nil {
			t.Fatal(err)
		}
		if first.Type != second.Type || first.Generation != second.Generation || first.ID != second.ID || !bytes.Equal(first.Body, second.Body) {
			t.Fatalf("%v became %v", first, second)
		}
	})
}
