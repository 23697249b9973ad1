package exchanger

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"wisteriaspoke.example/mesh/bodyreader"
	"wisteriaspoke.example/mesh/holder"
)

const (
	// maxResponseBytes bounds the body of a response; longer ones do not fit into a frame of a link either.
	maxResponseBytes = 8 << 20
	// maxOverheadBytes bounds what a response has beside its body: status line, headers and trailers, and the framing of
	// chunks.
	maxOverheadBytes = 128 << 10
	// roomPatience and roomWait are how long a response that has begun waits for memory: until slow readers are asked for
	// theirs, and until it fails. Meanwhile it takes a slot of the upstream.
	roomPatience = 200 * time.Millisecond
	roomWait     = time.Second
)

var (
	errTooLong = errors.New("the response is longer than the limit")
	errNoRoom  = errors.New("this node holds too many bodies")
)

// boundedReader reads from a connection until the bytes that a response may have are used up.
type boundedReader struct {
	io.Reader
	left int64
}

func (r *boundedReader) Read(b []byte) (int, error) {
	if r.left <= 0 {
		return 0, errTooLong
	}
	n, err := r.Reader.Read(b[:min(int64(len(b)), r.left)])
	r.left -= int64(n)
	return n, err
}

// unframedSteps are the sizes of the buffers for a body without a length. The last one holds any body.
var unframedSteps = [...]int64{512 << 10, maxResponseBytes}

// take claims memory for a body. free is the memory that must be free, if that is more.
func (x *Exchanger) take(ctx context.Context, bytes, free int64) (*holder.Hold, error) {
	if hold, ok := x.Holder.Take(ctx, claim(bytes, free)); ok {
		return hold, nil
	}
	return nil, errNoRoom
}

func claim(bytes, free int64) holder.Claim {
	return holder.Claim{Bytes: bytes, Free: free, Patience: roomPatience, Wait: roomWait}
}

// readBody returns the whole body of the response, or an error if it is incomplete or too long, or finds no memory. It
// does not close the body, as that would read the rest of one that is too long.
func (x *Exchanger) readBody(ctx context.Context, conn *connection, r *http.Response) ([]byte, *holder.Hold, error) {
	conn.bounds.left = maxResponseBytes + maxOverheadBytes
	switch {
	case r.Body == http.NoBody || r.ContentLength >= 0 && r.ContentLength <= holder.CountedFrom:
		body, err := bodyreader.Read(r.Body, int(r.ContentLength), maxResponseBytes)
		return body, nil, err
	case r.ContentLength > maxResponseBytes:
		return nil, nil, errTooLong
	case r.ContentLength > 0:
		return x.readFramed(ctx, r)
	}
	body, err := bodyreader.Read(r.Body, 0, holder.CountedFrom)
	if err != nil || len(body) <= holder.CountedFrom {
		return body, nil, err
	}
	body, hold, err := x.readUnframed(ctx, r.Body, body)
	if err != nil {
		hold.Release()
		return nil, nil, err
	}
	return body, hold, nil
}

// readFramed reads a large body with a length.
func (x *Exchanger) readFramed(ctx context.Context, r *http.Response) ([]byte, *holder.Hold, error) {
	hold, err := x.take(ctx, r.ContentLength, 0)
	if err != nil {
		return nil, nil, err
	}
	body := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, body); err != nil {
		hold.Release()
		return nil, nil, err
	}
	return body, hold, nil
}

// readUnframed reads a large body without a length, whose first bytes are given. The first claim leaves memory for one
// body to grow to the largest size, so that bodies do not wait for each other without end.
func (x *Exchanger) readUnframed(ctx context.Context, stream io.Reader, body []byte) ([]byte, *holder.Hold, error) {
	hold, err := x.take(ctx, unframedSteps[0], unframedSteps[len(unframedSteps)-1])
	if err != nil {
		return nil, nil, err
	}
	size := unframedSteps[0]
	for _, next := range unframedSteps {
		if next > size {
			if !hold.Grow(ctx, claim(next-size, 0)) {
				return nil, hold, errNoRoom
			}
			size = next
		}
		body = append(make([]byte, 0, size), body...)
		for int64(len(body)) < size {
			n, err := stream.Read(body[len(body):size])
			body = body[:len(body)+n]
			if err == io.EOF {
				return trim(body, hold), hold, nil
			}
			if err != nil {
				return nil, hold, err
			}
		}
	}
	// The largest buffer is full, so only the end may follow.
	if n, err := io.ReadFull(stream, make([]byte, 1)); n > 0 || err != io.EOF {
		return nil, hold, errTooLong
	}
	return body, hold, nil
}

// trim returns the body in a buffer of its size, if that saves much, and reduces the hold to it.
func trim(body []byte, hold *holder.Hold) []byte {
	if len(body) <= cap(body)/2 {
		body = append(make([]byte, 0, len(body)), body...)
	}
	hold.Shrink(int64(cap(body)))
	return body
}
