package linker

import (
	"bytes"
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fasthttp/websocket"

	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/holder"
	"wisteriaspoke.example/mesh/timekeeper"
)

const (
	maxCallBytes    = 8 << 20
	maxControlBytes = 2 << 20
	// compressMinBytes is the size above which frames to another region are compressed; deflate saves little below it.
	compressMinBytes = 1 << 10
	queueSize        = 256
	// writeTimeout bounds each write, so that links to peers that no longer read are closed.
	writeTimeout = 10 * time.Second
	// closeTimeout bounds the exchange of close messages, as the peer may no longer read.
	closeTimeout = 200 * time.Millisecond
	// idleCheckInterval is how often a dialer closes links that had no calls since the previous check.
	idleCheckInterval = 30 * time.Second
	// writeBufferSize has room for a whole frame with a body of 64 KB; with 32 KB the dialer writes it in three pieces,
	// each with a system call.
	writeBufferSize = 68 << 10
	// maxReusedBuffer is the capacity above which a buffer is not reused for another frame.
	maxReusedBuffer = 128 << 10
)

// errFlushed is returned by a writer that has written all frames and the WebSocket close message.
var errFlushed = errors.New("flushed")

// outgoingFrame is one frame that the writer sends.
type outgoingFrame struct {
	data      []byte
	kind      string        // of the message that the frame carries, or empty
	buffer    *bytes.Buffer // the pooled buffer of data, which the writer releases, or nil
	hold      *holder.Hold  // the memory of a large answer in data, or nil
	call      *pendingCall  // the call that the frame carries, or nil
	endsCalls bool          // set on typeClosed, after which no call may be written
	control   int           // type of the WebSocket control message that data is the payload of, or zero if data is a frame
}

// release returns the buffer to the pool and the memory to its holder; the writer calls it when it no longer needs data.
func (o outgoingFrame) release() {
	o.hold.Release()
	if o.buffer != nil {
		releaseFrameBuffer(o.buffer)
	}
}

// link is one authenticated connection.
type link struct {
	owner       *Linker
	peer        *peer
	conn        *websocket.Conn
	purpose     purpose
	dialed      bool
	generation  uint64
	crossRegion bool // frames to another region are compressed; messages on such links are less frequent

	queue  chan outgoingFrame
	urgent chan outgoingFrame // frames that do not wait behind queue: cancels, grants and the closing exchange

	ids          atomic.Uint64
	outstanding  atomic.Int64 // calls of this node that use the link
	closing      atomic.Bool  // no new calls
	confirmed    atomic.Bool  // the peer has confirmed that it sends no more calls
	pendingCalls sync.Map     // uint64 -> *pendingCall
	inboundCalls sync.Map     // uint64 -> *inboundCall
	handlers     *group

	timekeeper   *timekeeper.Timekeeper
	roundTrips   sync.Map      // uint64 -> chan struct{}, closed when the pong with that number arrives
	roundTripIDs atomic.Uint64 // the last number in roundTrips
	lastReceived atomic.Int64  // Unix nanoseconds
	pingedAt     time.Time     // when the unanswered ping was sent, or zero; used by the writer only

	drain  chan struct{} // asks run for an orderly close
	acked  chan struct{} // signalled when confirmed is set
	idle   chan struct{} // signalled when outstanding falls to zero while closing
	finish chan struct{} // closed by supervise: the writer flushes and ends
	ended  chan struct{} // closed after the reader and the writer ended
}

// newLink returns one end of a link whose clock starts at start; see timekeeper.
func newLink(owner *Linker, p *peer, c *websocket.Conn, purpose purpose, dialed bool, generation uint64, region string, start time.Time) *link {
	l := &link{
		owner: owner, peer: p, conn: c, purpose: purpose, dialed: dialed, generation: generation,
		crossRegion: region != owner.region,
		queue:       make(chan outgoingFrame, queueSize),
		urgent:      make(chan outgoingFrame, queueSize),
		handlers:    newGroup(),
		drain:       make(chan struct{}, 1),
		acked:       make(chan struct{}, 1),
		idle:        make(chan struct{}, 1),
		finish:      make(chan struct{}),
		ended:       make(chan struct{}),
		timekeeper:  timekeeper.New(start),
	}
	l.markReceived()
	return l
}

// signal sends on a channel of capacity 1 unless the channel is full.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (l *link) maxFrameBytes() int64 {
	if l.purpose == control {
		return maxControlBytes
	}
	return maxCallBytes
}

// awaitHandlers returns when every handler has ended; it is called after run, which has cancelled their contexts.
func (l *link) awaitHandlers() {
	l.handlers.close()
	for l.handlers.running() > 0 {
		<-l.handlers.ends
		l.handlers.ended()
	}
}

// run runs the link's reader and writer until both end and returns why the link ended; nil means an orderly close.
func (l *link) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	readEnd := make(chan error, 1)
	writeEnd := make(chan error, 1)
	go func() { readEnd <- l.readLoop(ctx) }()
	go func() { writeEnd <- l.writeLoop(ctx) }()
	cause := l.supervise(ctx, readEnd, writeEnd)
	l.closeWith(cause)
	cancel()
	<-readEnd
	<-writeEnd
	l.closing.Store(true)
	close(l.ended)
	l.releaseQueued()
	if errors.Is(cause, errFlushed) || websocket.IsCloseError(cause, websocket.CloseNormalClosure, websocket.CloseGoingAway) {
		return nil
	}
	return cause
}

// releaseQueued releases the frames that are not written any more.
func (l *link) releaseQueued() {
	for {
		select {
		case o := <-l.queue:
			o.release()
		default:
			return
		}
	}
}

// supervise returns the first reason to end the link. Each goroutine's result can still be received once afterwards.
func (l *link) supervise(ctx context.Context, readEnd, writeEnd chan error) error {
	idle := time.NewTicker(idleCheckInterval)
	defer idle.Stop()
	var closeTimer <-chan time.Time
	var lastID uint64
	draining, finished := false, false
	for {
		select {
		case err := <-readEnd:
			readEnd <- err
			return err
		case err := <-writeEnd:
			writeEnd <- err
			if !errors.Is(err, errFlushed) {
				return err
			}
			// The peer's own close message shows that it has read everything.
			closeTimer = time.After(closeTimeout)
			writeEnd = nil
		case <-closeTimer:
			return errFlushed
		case <-ctx.Done():
			return ctx.Err()
		case <-l.handlers.ends:
			l.handlers.ended()
		case <-l.acked:
		case <-l.idle:
		case <-idle.C:
			currentID := l.ids.Load()
			if l.dialed && l.purpose.carriesCalls() && currentID == lastID && l.outstanding.Load() == 0 {
				l.closing.Store(true)
				draining = true
			}
			lastID = currentID
		case <-l.drain:
			if !draining {
				draining = true
				l.beginDrain()
			}
		}
		if draining && !finished && l.drained() {
			finished = true
			close(l.finish)
		}
	}
}

func (l *link) beginDrain() {
	l.closing.Store(true)
	if l.purpose.carriesCalls() && !l.dialed {
		l.sendUrgent(typeClosing, 0)
	}
}

// drained reports whether a draining link has no work left.
func (l *link) drained() bool {
	if l.purpose == control {
		return true
	}
	if l.dialed {
		return l.outstanding.Load() == 0
	}
	return l.confirmed.Load() && l.handlers.running() == 0
}

// sendUrgent queues a frame without a body and reports whether the queue had room for it.
func (l *link) sendUrgent(t frameType, id uint64) bool {
	data := must(encodeFrame(t, l.generation, id, nil))
	select {
	case l.urgent <- outgoingFrame{data: data, endsCalls: t == typeClosed}:
		return true
	default:
		return false
	}
}

func (l *link) closeWith(cause error) {
	code := websocket.CloseGoingAway
	switch fault.KindOf(cause) {
	case fault.Invalid:
		code = websocket.CloseProtocolError
	case fault.Throttled:
		code = websocket.CloseMessageTooBig
	case fault.Denied:
		code = websocket.ClosePolicyViolation
	}
	if !errors.Is(cause, errFlushed) {
		// The connection may already be broken, and is closed in any case.
		l.conn.WriteControl(websocket.CloseMessage, websocket.FormatCloseMessage(code, ""), time.Now().Add(closeTimeout))
	}
	l.conn.Close()
}

func (l *link) writeLoop(ctx context.Context) error {
	ping := time.NewTicker(l.owner.LinkPing)
	defer ping.Stop()
	callsEnded := false
	for {
		var o outgoingFrame
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ping.C:
			if err := l.checkAlive(time.Now()); err != nil {
				return err
			}
			continue
		case <-l.finish:
			return l.flush()
		case o = <-l.urgent:
		case o = <-l.queue:
		}
		if o.call != nil && !o.call.claim(callsEnded) {
			o.release()
			continue
		}
		callsEnded = callsEnded || o.endsCalls
		if err := l.writeFrame(o); err != nil {
			return err
		}
	}
}

// flush declines the queued calls, writes the other queued frames and then the close message.
func (l *link) flush() error {
	for {
		select {
		case o := <-l.queue:
			if o.call != nil {
				o.call.claim(true)
				o.release()
				continue
			}
			if err := l.writeFrame(o); err != nil {
				return err
			}
		default:
			message := websocket.FormatCloseMessage(websocket.CloseGoingAway, "")
			if err := l.conn.WriteControl(websocket.CloseMessage, message, time.Now().Add(writeTimeout)); err != nil {
				return err
			}
			return errFlushed
		}
	}
}

// writeFrame writes one frame and releases its buffer.
func (l *link) writeFrame(o outgoingFrame) error {
	defer o.release()
	data := o.data
	if o.control != 0 {
		return l.conn.WriteControl(o.control, data, time.Now().Add(writeTimeout))
	}
	l.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	l.countBytes(o)
	l.conn.EnableWriteCompression(l.crossRegion && len(data) > compressMinBytes)
	return l.conn.WriteMessage(websocket.BinaryMessage, data)
}

// readMessage returns one binary message of at most limit bytes, counted after decompression; the result is valid
// until the buffer's next use. Unless claim is nil, it is called with the beginning of a large message and returns an
// empty buffer for the whole message, or nil to use the same one. If it returns false, the message is dropped and the result
// is errDropped.
func readMessage(c *websocket.Conn, limit int64, onRead func(), buffer *bytes.Buffer, claim func(begin []byte) (*bytes.Buffer, bool)) ([]byte, error) {
	c.SetReadLimit(limit)
	kind, r, err := c.NextReader()
	if err != nil {
		return nil, readError(err)
	}
	if kind != websocket.BinaryMessage {
		return nil, malformed("text message")
	}
	buffer.Reset()
	first := limit
	if claim != nil {
		first = min(limit, holder.CountedFrom)
	}
	stream := &io.LimitedReader{R: notifyingReader{r, onRead}, N: first + 1}
	n, err := buffer.ReadFrom(stream)
	dropped := false
	if err == nil && n > first && first < limit {
		own, ok := claim(buffer.Bytes())
		dropped = !ok
		stream.N = limit + 1 - n
		var rest int64
		if dropped {
			rest, err = io.Copy(io.Discard, stream)
		} else {
			if own != nil {
				own.Write(buffer.Bytes())
				buffer = own
			}
			rest, err = buffer.ReadFrom(stream)
		}
		n += rest
	}
	if err != nil {
		return nil, readError(err)
	}
	if n > limit {
		return nil, readError(websocket.ErrReadLimit)
	}
	if dropped {
		return nil, errDropped
	}
	return buffer.Bytes(), nil
}

// notifyingReader calls onRead for each piece of a message, as a large one on a slow connection takes long to arrive.
type notifyingReader struct {
	io.Reader
	onRead func()
}

func (r notifyingReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	r.onRead()
	return n, err
}

// readError turns the error of an oversized frame into a fault and returns any other unchanged.
func readError(err error) error {
	if !errors.Is(err, websocket.ErrReadLimit) {
		return err
	}
	return fault.Wrap(fault.Throttled, err, "oversized frame", "keep bodies below 8 MB and messages below 2 MB")
}

func (l *link) readLoop(ctx context.Context) error {
	// Removes the handshake's deadline; from here on checkAlive detects a peer that sends nothing.
	l.conn.SetReadDeadline(time.Time{})
	l.conn.SetPongHandler(func(payload string) error {
		l.markReceived()
		l.endRoundTrip(payload)
		return nil
	})
	answerProbe := l.conn.PingHandler()
	l.conn.SetPingHandler(func(payload string) error {
		if isRoundTrip(payload) {
			l.queuePong(payload)
			return nil
		}
		return answerProbe(payload)
	})
	var large *largeFrame
	claim := func(begin []byte) (*bytes.Buffer, bool) {
		if large = l.claimFrame(ctx, begin); large == nil {
			return nil, true
		}
		return large.buffer(), large.ok
	}
	if !l.purpose.carriesCalls() {
		claim = nil
	}
	buffer := new(bytes.Buffer)
	for {
		large = nil
		data, err := readMessage(l.conn, l.maxFrameBytes(), l.markReceived, buffer, claim)
		switch {
		case errors.Is(err, errDropped):
			l.failCall(large.id)
		case err == nil:
			err = l.decodeAndHandle(ctx, data, large)
		}
		if large != nil && err != nil {
			large.hold.Release()
		}
		if buffer.Cap() > maxReusedBuffer {
			buffer = new(bytes.Buffer)
		}
		if err != nil && !errors.Is(err, errDropped) {
			return err
		}
	}
}

// decodeAndHandle processes one frame; large is nil unless the frame is a large one.
func (l *link) decodeAndHandle(ctx context.Context, data []byte, large *largeFrame) error {
	// The frame's body is a part of the buffer; handleFrame decodes it into copies before the next read, unless the frame
	// is a large one.
	f, err := decodeFrame(data)
	if err != nil {
		return err
	}
	if f.Generation != l.generation {
		return malformed("frame of another generation")
	}
	if large != nil {
		f.hold = large.hold
		if f.Type != typeAnswer {
			defer f.hold.Release()
		}
	}
	return l.handleFrame(ctx, f)
}
