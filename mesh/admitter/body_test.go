package admitter

import (
	"bytes"
	"testing"
)

// Guards against bodies that lose bytes around the bound of the room, or are not bounded when the length is wrong.
func TestReadAll(t *testing.T) {
	for _, size := range []int{0, 1, firstRoom, firstRoom + 1, maxBody, maxBody + 2} {
		sent := bytes.Repeat([]byte("x"), size)
		for _, length := range []int{-1, 0, 1, firstRoom, firstRoom + 1, size} {
			got, err := readAll(bytes.NewReader(sent), length)
			if want := sent[:min(size, maxBody+1)]; err != nil || !bytes.Equal(got, want) {
				t.Errorf("size %d, length %d: got %d bytes, %v", size, length, len(got), err)
			}
		}
	}
}
