package peeker

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"
)

// TestSkip guards against an item whose end is not found, and a panic on data of a peer that is cut off or malformed.
func TestSkip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		value := map[string]any{
			"a": rapid.Int64().Draw(t, "number"), "b": rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "bytes"),
			"c": []any{rapid.String().Draw(t, "text"), rapid.Float64().Draw(t, "float"), rapid.Bool().Draw(t, "bool"), nil},
		}
		data, err := cbor.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		if p := New(append(data, 0)); !p.Skip() || p.Position() != len(data) {
			t.Fatalf("%x: ends at %d of %d", data, p.Position(), len(data))
		}
		if p := New(data[:rapid.IntRange(0, len(data)-1).Draw(t, "cut")]); p.Skip() {
			t.Fatalf("a part of %x is taken for an item", data)
		}
		New(rapid.SliceOf(rapid.Byte()).Draw(t, "noise")).Skip()
	})
}
