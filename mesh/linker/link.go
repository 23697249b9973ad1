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
)

const (
	callLimit    = 8 << 20
	controlLimit = 2 << 20
	// compressFrom keeps small frames uncompressed, where deflate saves little.
	compressFrom = 1 << 10
	queueSize    = 256
	// writeTimeout closes links to peers that no longer read.
	writeTimeout = 10 * time.Second
	// closeTimeout bounds the exchange of close messages, also with a peer that no longer reads.
	closeTimeout = 200 * time.Millisecond
	idleTimeout  = 30 * time.Second
	// writeBuffer holds a frame with a body of 64 KB as a whole; with 32 KB the dialer writes it in three pieces, each with
	// a system call.
	writeBuffer = 68 << 10
	// keptBuffer bounds the read buffer that a link keeps between frames.
	keptBuffer = 128 << 10
)

// errFlushed is the end of a writer that wrote everything and the WebSocket's close message.
var errFlushed = errors.New("flushed")

// outgoing is one frame for the writer.
type outgoing struct {
	data   []byte
	buffer *bytes.Buffer // holds data and belongs to the writer once queued, or nil
	call   *pending      // the call that the frame carries, or nil
	last   bool          // no call may follow: the frame is a typeClosed
}

// release gives the buffer back; the writer calls it once it no longer needs data.
func (o outgoing) release() {
	if o.buffer != nil {
		releaseFrameBuffer(o.buffer)
	}
}

// link is one authenticated connection.
type link struct {
	owner      *Linker
	peer       *peer
	conn       *websocket.Conn
	purpose    purpose
	dialed     bool
	generation uint64
	compress   bool // the peer is in another region: frames are compressed, and messages come less often

	queue  chan outgoing
	urgent chan outgoing // overtakes queue: cancels and the closing exchange

	ids         atomic.Uint64
	outstanding atomic.Int64 // calls of this node that use the link
	closing     atomic.Bool  // no new calls
	pending     sync.Map     // uint64 -> *pending
	serving     sync.Map     // uint64 -> *handling
	handlers    *group

	begun  time.Time     // of this end of the link
	least  time.Duration // shortest way of a call, plus the difference of the ends' begun; belongs to the reader
	timed  bool          // least is known
	heard  atomic.Int64  // when something last arrived, Unix nanoseconds
	probed time.Time     // when the unanswered probe was sent; belongs to the writer

	drain  chan struct{} // asks run to close in order
	acked  chan struct{} // the peer sends no more calls
	idle   chan struct{} // outstanding fell to zero while closing
	finish chan struct{} // closed by run: write what is queued, then close
	ended  chan struct{} // closed after the reader and the writer ended
}

func newLink(owner *Linker, p *peer, c *websocket.Conn, why purpose, dialed bool, generation uint64, region string) *link {
	l := &link{
		owner: owner, peer: p, conn: c, purpose: why, dialed: dialed, generation: generation,
		compress: region != owner.region,
		queue:    make(chan outgoing, queueSize),
		urgent:   make(chan outgoing, queueSize),
		handlers: newGroup(),
		drain:    make(chan struct{}, 1),
		acked:    make(chan struct{}, 1),
		idle:     make(chan struct{}, 1),
		finish:   make(chan struct{}),
		ended:    make(chan struct{}),
		begun:    time.Now(),
	}
	l.hear()
	return l
}

// signal sends on a channel of capacity 1 unless a value already waits there.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (l *link) limit() int64 {
	if l.purpose == control {
		return controlLimit
	}
	return callLimit
}

// awaitHandlers returns once every handler has ended; called after run, which has cancelled their contexts.
func (l *link) awaitHandlers() {
	l.handlers.close()
	for l.handlers.running() > 0 {
		<-l.handlers.ends
		l.handlers.ended()
	}
}

// run owns the link's reader, writer and handlers, and returns why the link ended, nil after an orderly close.
func (l *link) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	readEnd := make(chan error, 1)
	writeEnd := make(chan error, 1)
	go func() { readEnd <- l.read(ctx) }()
	go func() { writeEnd <- l.write(ctx) }()
	cause := l.supervise(ctx, readEnd, writeEnd)
	l.closeWith(cause)
	cancel()
	<-readEnd
	<-writeEnd
	l.closing.Store(true)
	close(l.ended)
	if errors.Is(cause, errFlushed) || websocket.IsCloseError(cause, websocket.CloseNormalClosure, websocket.CloseGoingAway) {
		return nil
	}
	return cause
}

// supervise returns the first reason to end; the ends of both goroutines can be read once after it.
func (l *link) supervise(ctx context.Context, readEnd, writeEnd chan error) error {
	idle := time.NewTicker(idleTimeout)
	defer idle.Stop()
	var late <-chan time.Time
	var used uint64
	draining, acked, finished := false, false, false
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
			late = time.After(closeTimeout)
			writeEnd = nil
		case <-late:
			return errFlushed
		case <-ctx.Done():
			return ctx.Err()
		case <-l.handlers.ends:
			l.handlers.ended()
		case <-l.acked:
			acked = true
		case <-l.idle:
		case <-idle.C:
			now := l.ids.Load()
			if l.dialed && l.purpose.carriesCalls() && now == used && l.outstanding.Load() == 0 {
				l.closing.Store(true)
				draining = true
			}
			used = now
		case <-l.drain:
			if !draining {
				draining = true
				l.beginDrain()
			}
		}
		if draining && !finished && l.settled(acked) {
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

// settled reports whether a draining link has no work left.
func (l *link) settled(acked bool) bool {
	if l.purpose == control {
		return true
	}
	if l.dialed {
		return l.outstanding.Load() == 0
	}
	return acked && l.handlers.running() == 0
}

// sendUrgent queues a frame without a body and reports whether there was room.
func (l *link) sendUrgent(t frameType, id uint64) bool {
	data := must(encodeFrame(t, l.generation, id, nil))
	select {
	case l.urgent <- outgoing{data: data, last: t == typeClosed}:
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

func (l *link) write(ctx context.Context) error {
	ping := time.NewTicker(l.owner.LinkPing)
	defer ping.Stop()
	last := false
	for {
		var o outgoing
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ping.C:
			if err := l.probe(time.Now()); err != nil {
				return err
			}
			continue
		case <-l.finish:
			return l.flush()
		case o = <-l.urgent:
		case o = <-l.queue:
		}
		if o.call != nil && !o.call.take(last) {
			o.release()
			continue
		}
		last = last || o.last
		if err := l.put(o); err != nil {
			return err
		}
	}
}

// flush writes what is queued and the close message.
func (l *link) flush() error {
	for {
		select {
		case o := <-l.queue:
			if o.call != nil {
				o.call.take(true)
				o.release()
				continue
			}
			if err := l.put(o); err != nil {
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

// put writes one frame and releases its buffer.
func (l *link) put(o outgoing) error {
	defer o.release()
	data := o.data
	l.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if l.purpose == control {
		controlBytes.Inc(int64(len(data)))
		if l.compress {
			crossedBytes.Inc(int64(len(data)))
		}
	}
	l.conn.EnableWriteCompression(l.compress && len(data) > compressFrom)
	return l.conn.WriteMessage(websocket.BinaryMessage, data)
}

// readMessage returns one binary message of at most limit bytes, counted after decompression; it is valid until the
// buffer's next use.
func readMessage(c *websocket.Conn, limit int64, hear func(), buffer *bytes.Buffer) ([]byte, error) {
	c.SetReadLimit(limit)
	kind, r, err := c.NextReader()
	if err != nil {
		return nil, tooLarge(err)
	}
	if kind != websocket.BinaryMessage {
		return nil, malformed("text message")
	}
	buffer.Reset()
	n, err := buffer.ReadFrom(io.LimitReader(listener{r, hear}, limit+1))
	if err != nil {
		return nil, tooLarge(err)
	}
	if n > limit {
		return nil, tooLarge(websocket.ErrReadLimit)
	}
	return buffer.Bytes(), nil
}

// listener reports each piece of a message, as a large one on a slow way takes long to arrive whole.
type listener struct {
	io.Reader
	hear func()
}

func (r listener) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	r.hear()
	return n, err
}

func tooLarge(err error) error {
	if !errors.Is(err, websocket.ErrReadLimit) {
		return err
	}
	return fault.Wrap(fault.Throttled, err, "oversized frame", "keep bodies below 8 MB and messages below 2 MB")
}

func (l *link) read(ctx context.Context) error {
	// The deadline of the handshake ends here; silence is noticed by probes.
	l.conn.SetReadDeadline(time.Time{})
	l.conn.SetPongHandler(func(string) error {
		l.hear()
		return nil
	})
	buffer := new(bytes.Buffer)
	for {
		if buffer.Cap() > keptBuffer {
			buffer = new(bytes.Buffer)
		}
		data, err := readMessage(l.conn, l.limit(), l.hear, buffer)
		if err != nil {
			return err
		}
		// The frame's body is a part of the buffer; handle decodes it to copies before the next read.
		f, err := decodeFrame(data)
		if err != nil {
			return err
		}
		if f.Generation != l.generation {
			return malformed("frame of another generation")
		}
		if err := l.handle(ctx, f); err != nil {
			return err
		}
	}
}
