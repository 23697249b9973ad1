package linker

import (
	"bytes"
	"sync"
)

// bodySlack is the room for a frame beside its body, so that most frames need no second allocation.
const bodySlack = 1 << 10

// frameBuffers holds the buffers of frames that were written. A buffer has one owner at a time: the goroutine that
// encodes the frame, then the link's writer, which releases it.
var frameBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// newFrameBuffer returns an empty buffer with room for a frame with a body of size bytes.
func newFrameBuffer(size int) *bytes.Buffer {
	b := frameBuffers.Get().(*bytes.Buffer)
	b.Reset()
	b.Grow(size + bodySlack)
	return b
}

// releaseFrameBuffer makes the buffer available to other frames; its owner must not use it or its bytes afterwards.
func releaseFrameBuffer(b *bytes.Buffer) {
	if b.Cap() <= keptBuffer {
		frameBuffers.Put(b)
	}
}
