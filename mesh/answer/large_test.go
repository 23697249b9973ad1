package answer

import (
	"bytes"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"wisteriaspoke.example/mesh/call"
	"wisteriaspoke.example/mesh/holder"
)

// TestLargeEncoding guards against a large answer that nodes of an earlier release read differently: its encoding is that of
// the CBOR encoder, and both ways of decoding give the same answer.
func TestLargeEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := Fields{
			Status: rapid.IntRange(100, 599).Draw(t, "status"), Ran: rapid.SampledFrom([]Ran{No, Maybe, Yes}).Draw(t, "ran"),
			Body:   bytes.Repeat([]byte{rapid.Byte().Draw(t, "byte")}, holder.CountedFrom+rapid.IntRange(-2, 3000).Draw(t, "size")),
			Reason: rapid.StringN(0, 9, -1).Draw(t, "reason"), Retried: rapid.Bool().Draw(t, "retried"), Slots: rapid.IntRange(0, 300).Draw(t, "slots"),
			SentAt: rapid.Int64Range(0, 1<<40).Draw(t, "sent"), ServiceTime: rapid.Int64Range(0, 1<<30).Draw(t, "service"),
		}
		for range rapid.IntRange(0, 30).Draw(t, "headers") {
			f.Headers = append(f.Headers, call.Header{Name: rapid.String().Draw(t, "name"), Value: rapid.String().Draw(t, "value")})
		}
		expected, err := cbor.Marshal(f)
		if err != nil {
			t.Fatal(err)
		}
		var b bytes.Buffer
		if err := New(f).MarshalTo(&b); err != nil || !bytes.Equal(b.Bytes(), expected) {
			t.Fatalf("the encodings differ: %v", err)
		}
		if end, ok := BodyEnd(expected[:len(expected)-len(f.Body)]); !ok || !bytes.HasSuffix(expected[:end], f.Body) {
			t.Fatalf("the body ends at %d, %v", end, ok)
		}
		var copied, shared Answer
		if err := copied.UnmarshalCBOR(expected); err != nil {
			t.Fatal(err)
		}
		if err := shared.UnmarshalShared(expected); err != nil || !reflect.DeepEqual(copied, shared) {
			t.Fatalf("the answers differ: %v", err)
		}
		cut := rapid.IntRange(0, len(expected)-1).Draw(t, "cut")
		if new(Answer).UnmarshalShared(expected[:cut]) == nil {
			t.Fatal("a part of an answer is taken for one")
		}
	})
}
