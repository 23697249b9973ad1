package bodyreader

import (
	"bytes"
	"testing"
)

// TestRead guards against bodies that lose bytes at sizes around maxInitialBytes, or exceed the limit when the
// announced length is wrong.
func TestRead(t *testing.T) {
	for _, limit := range []int{4 << 20, 8 << 20} {
		for _, size := range []int{0, 1, maxInitialBytes, maxInitialBytes + 1, limit, limit + 2} {
			sent := bytes.Repeat([]byte("x"), size)
			for _, length := range []int{-1, 0, 1, maxInitialBytes, maxInitialBytes + 1, size} {
				got, err := Read(bytes.NewReader(sent), length, limit)
				if want := sent[:min(size, limit+1)]; err != nil || !bytes.Equal(got, want) {
					t.Errorf("limit %d, size %d, length %d: got %d bytes, %v", limit, size, length, len(got), err)
				}
			}
		}
	}
}
