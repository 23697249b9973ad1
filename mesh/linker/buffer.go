package linker

import (
	"bytes"
	"sync"
)

// frameOverhead is the buffer space for a frame beside its body, so that most frames need no second allocation.
const frameOverhead = 1 << 10

// headerOverhead is the most that the encoding of a header has beside its name and its value.
const headerOverhead = 12

// frameBuffers is the pool of buffers of written frames. A buffer has one owner at a time: the goroutine that encodes
// the frame, then the link's writer, which releases it.
var frameBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// newFrameBuffer returns an empty buffer with room for a frame with a body of bodySize bytes.
func newFrameBuffer(bodySize int) *bytes.Buffer {
	b := frameBuffers.Get().(*bytes.Buffer)
	b.Reset()
	b.Grow(bodySize + frameOverhead)
	return b
}

// releaseFrameBuffer makes the buffer available to other frames; its owner must not use it or its bytes afterwards.
func releaseFrameBuffer(b *bytes.Buffer) {
	if b.Cap() <= maxReusedBuffer {
		frameBuffers.Put(b)
	}
}
