package bodyreader

import (
	"bytes"
	"io"
)

// firstRoom bounds the memory taken for a body before any of it came, in bytes, as the other side may announce more than
// it sends.
const firstRoom = 128 << 10

// Read returns the stream to its end, or one byte more than limit of a longer one; a length of more than zero is the
// announced one and tells the room to take.
func Read(stream io.Reader, length, limit int) ([]byte, error) {
	stream = io.LimitReader(stream, int64(limit)+1)
	if length <= 0 || length > firstRoom {
		return io.ReadAll(stream)
	}
	b := bytes.NewBuffer(make([]byte, 0, length+bytes.MinRead))
	_, err := b.ReadFrom(stream)
	return b.Bytes(), err
}
