package linker

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"time"

	"wisteriaspoke.example/mesh/answer"
	"wisteriaspoke.example/mesh/holder"
	"wisteriaspoke.example/mesh/peeker"
)

const (
	// answerRoomWait is how long the reader of a link waits for the memory of a large answer, while other answers wait
	// behind it. It is well below the time after which a silent link is closed.
	answerRoomWait = 300 * time.Millisecond
	// afterBody is room for what follows the body in a frame.
	afterBody = 1 << 10
)

// errDropped is the result of reading a message for which there was no memory.
var errDropped = errors.New("the frame was dropped")

// bodyHolder bounds the memory of large bodies.
type bodyHolder interface {
	// Holder returns the holder of large bodies.
	Holder() *holder.Holder
}

// Holder returns nil, which has no limit.
func (unlimited) Holder() *holder.Holder { return nil }

// largeFrame is a frame of which the beginning was read.
type largeFrame struct {
	id   uint64 // of its call
	size int    // expected bytes
	hold *holder.Hold
	ok   bool // there is memory for it
}

// buffer returns an empty buffer for the whole frame, or nil if it is dropped.
func (f *largeFrame) buffer() *bytes.Buffer {
	if !f.ok {
		return nil
	}
	// Without some room behind the frame, reading its end would double the buffer.
	return bytes.NewBuffer(make([]byte, 0, f.size+bytes.MinRead))
}

// claimFrame takes the memory for the frame that begins with the bytes. Answers wait for it, and are dropped if there is
// none in time. Calls take it in any case, as their bodies are bounded by the intake; it returns nil for those that fit into
// the buffer that is used again.
func (l *link) claimFrame(ctx context.Context, begin []byte) *largeFrame {
	f := &largeFrame{size: int(l.maxFrameBytes()), ok: true}
	p := peeker.New(begin)
	_, _, ok := p.Head()
	_, kind, kindOK := p.Head()
	if ok = ok && kindOK && p.Skip(); ok {
		_, f.id, ok = p.Head()
	}
	begins := p.Position()
	switch {
	case !ok:
		// decodeFrame reports the malformed frame.
	case frameType(kind) == typeAnswer:
		if end, ok := answer.BodyEnd(begin[begins:]); ok {
			f.size = min(f.size, begins+end+afterBody)
		}
		f.hold, f.ok = l.owner.holder.Take(ctx, holder.Claim{Bytes: int64(f.size), Wait: answerRoomWait})
		return f
	default:
		if major, size, ok := p.Head(); ok && major == peeker.Bytes && size < uint64(f.size) {
			f.size = p.Position() + int(size)
		}
	}
	if f.size+bytes.MinRead <= maxReusedBuffer {
		return nil
	}
	f.hold = l.owner.holder.Force(int64(f.size))
	return f
}

// failCall ends a call whose answer was dropped.
func (l *link) failCall(id uint64) {
	if p, ok := l.pendingCalls.LoadAndDelete(id); ok {
		p.(*pendingCall).done <- answer.New(answer.Fields{Status: http.StatusBadGateway, Ran: answer.Maybe, Reason: holder.Reason})
	}
}
