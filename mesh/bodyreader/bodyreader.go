package bodyreader

import (
	"bytes"
	"io"
)

// maxInitialBytes bounds the memory allocated before any byte of a body has arrived, as the sender may announce more
// than it sends.
const maxInitialBytes = 128 << 10

// Read reads the stream to its end, or limit+1 bytes if it is longer than limit. A positive length is the announced
// size of the stream and determines the initial allocation.
func Read(stream io.Reader, length, limit int) ([]byte, error) {
	stream = io.LimitReader(stream, int64(limit)+1)
	if length <= 0 || length > maxInitialBytes {
		return io.ReadAll(stream)
	}
	b := bytes.NewBuffer(make([]byte, 0, length+bytes.MinRead))
	_, err := b.ReadFrom(stream)
	return b.Bytes(), err
}
