package pipeliner

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"wisteriaspoke.example/mesh/holder"
	"wisteriaspoke.example/mesh/plan"
	"wisteriaspoke.example/mesh/prober"
)

const (
	// closeDelay is how long the connection is read after its last answer. Closing it with unread bytes would reset it,
	// and the caller could lose the answer.
	closeDelay = 500 * time.Millisecond
	// bodyTimeout bounds the time for a request's body.
	bodyTimeout = 30 * time.Second
	// peekBytes is the size of the read buffer, and how much of later requests is read while no more may be accepted.
	peekBytes = 4 << 10
)

// past is a read deadline that interrupts a read.
var past = time.Unix(1, 0)

// Handler answers the requests of a connection; its methods may be called concurrently.
type Handler interface {
	// Limits returns the bounds of the next request; zero values mean the handler's defaults, which are never zero.
	Limits() plan.Limits
	// MayOverlap reports whether the request may run before those ahead of it are answered. The caller sends it again if
	// an answer ahead of it closes the connection.
	MayOverlap(q *http.Request) bool
	// Handle returns the answer to a request that was read at begun; ctx ends when the caller hangs up. An answer with
	// Close set closes the connection unless further requests have been accepted.
	Handle(ctx context.Context, q *http.Request, body []byte, begun time.Time) *http.Response
	// Abandoned is called for a request that was read at begun and is not handled, as its caller has hung up.
	Abandoned(q *http.Request, begun time.Time)
	// Reject returns the answer to a request that cannot be read; q is nil if its head is malformed.
	Reject(q *http.Request, status int, reason string) *http.Response
}

// Pipeliner serves one connection.
type Pipeliner struct {
	Conn         net.Conn       // closed by Run
	Handler      Handler        // answers the requests
	Ahead        int            // requests that are accepted before the first of them is answered, at least 1
	Held         *atomic.Int64  // bytes of requests' bodies on all connections
	Unread       *atomic.Int64  // bytes of small answers that are not written yet on all connections; nil to count this one's
	Behind       *atomic.Int64  // requests that were accepted behind another one and have not ended, on all connections; may be nil
	MaxHeld      int64          // bytes of Held and Unread from which no request is accepted behind another one
	MaxBehind    int64          // requests in Behind from which none is accepted behind another one; 0 for no bound
	Limit        int64          // bytes of Held above which a large body is refused
	MaxUnread    int64          // bytes of Unread above which slow readers are dropped; 0 for no bound
	Reclaim      func()         // drops the slowest reader; set if MaxUnread is
	Holder       *holder.Holder // of large bodies
	WriteTimeout time.Duration  // bounds the writing of one answer
	Log          *slog.Logger

	reader  *bufio.Reader
	cancel  context.CancelFunc // ends all requests
	ended   chan struct{}      // capacity Ahead; one value for each request that has ended
	running int                // requests accepted and not ended, as far as Run has read ended

	unread       atomic.Int64 // bytes of answers that are not written yet
	writingSince atomic.Int64 // Unix nanoseconds since when an answer is written, or 0
	written      atomic.Int64 // bytes of that answer that were written
	before       atomic.Int64 // bytes of earlier answers that the caller had not acknowledged at writingSince
	wroteLarge   bool         // a large answer was written; used by the goroutine whose turn it is

	mutex     sync.Mutex // guards the following
	stopping  bool       // no request is accepted any more
	closing   bool       // an answer that closes the connection has been or is being written
	waiting   readState
	unended   int       // requests accepted and not ended
	held      int       // large answers that are ready and not written
	heldSince time.Time // since when there are such answers and the caller could read none
	idleSince time.Time // when the last request ended
	last      *exchange // the last request that was accepted
}

// readState is what the goroutine that reads the connection waits for.
type readState int

const (
	busy        readState = iota // in the middle of a request, or not reading
	forRequest                   // the first byte of a request
	forExchange                  // the end of an exchange, while it watches for the caller's hanging up
)

// exchange is one request and its answer.
type exchange struct {
	request  *http.Request
	body     []byte
	held     int64        // bytes of the body in Held
	hold     *holder.Hold // the memory of a large body
	begun    time.Time
	response *http.Response  // set in advance if the request was rejected
	closes   bool            // the answer closes the connection
	behind   bool            // another request ran when this one was accepted
	turn     <-chan struct{} // closed when all requests ahead are answered
	done     chan struct{}   // closed when this one is answered
}

var closedChannel = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// Run serves the connection until the caller or an answer closes it, Stop was called and all requests are answered, or
// ctx ends. It closes the connection and returns when all requests have ended.
func (p *Pipeliner) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	p.mutex.Lock()
	p.cancel = cancel
	p.mutex.Unlock()
	defer cancel()
	defer p.Conn.Close()
	defer context.AfterFunc(ctx, func() { p.Conn.Close() })()
	p.reader = bufio.NewReaderSize(p.Conn, peekBytes)
	p.ended = make(chan struct{}, p.Ahead)
	if p.Unread == nil {
		p.Unread = &atomic.Int64{}
	}
	if p.Behind == nil {
		p.Behind = &atomic.Int64{}
	}
	p.mutex.Lock()
	p.idleSince = time.Now()
	p.mutex.Unlock()
	p.accept(ctx)
	for p.running > 0 {
		p.awaitExchange()
	}
	p.mutex.Lock()
	linger := p.closing
	p.mutex.Unlock()
	if linger && ctx.Err() == nil {
		p.linger()
	}
}

// Stop makes Run return when the requests that were accepted are answered.
func (p *Pipeliner) Stop() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.stopping = true
	if p.waiting == forRequest {
		p.Conn.SetReadDeadline(past)
	}
}

// accept reads requests and starts them until no more is to be read.
func (p *Pipeliner) accept(ctx context.Context) {
	var turn <-chan struct{} = closedChannel
	for {
		p.collectEnded()
		for p.running >= p.Ahead || p.running > 0 && p.full() {
			p.awaitExchange()
		}
		if ctx.Err() != nil || !p.awaitRequest() {
			return
		}
		x, err := p.readRequest(ctx, turn)
		if err != nil {
			p.cancel()
			return
		}
		x.turn, x.done, x.behind = turn, make(chan struct{}), p.running > 0
		turn = x.done
		// The caller may have hung up before this request was read. Bytes behind it hide that.
		if x.response == nil && p.reader.Buffered() == 0 && prober.Probe(p.Conn) == prober.Ended {
			p.release(x)
			p.Handler.Abandoned(x.request, x.begun)
			p.cancel()
			return
		}
		if !p.register(x) {
			p.release(x)
			return
		}
		p.running++
		go p.serve(ctx, x)
		if x.closes {
			return
		}
	}
}

// full reports whether no request is accepted behind another one now.
func (p *Pipeliner) full() bool {
	return p.Held.Load()+p.Unread.Load() >= p.MaxHeld || p.MaxBehind > 0 && p.Behind.Load() >= p.MaxBehind
}

// awaitRequest waits for the first byte of a request and reports whether there is one. The idle timeout counts while no
// request is running. Empty lines ahead of a request are dropped.
func (p *Pipeliner) awaitRequest() bool {
	for {
		p.mutex.Lock()
		if p.stopping || p.closing {
			p.mutex.Unlock()
			return false
		}
		p.waiting = forRequest
		p.setIdleDeadline()
		p.mutex.Unlock()
		first, err := p.reader.Peek(1)
		p.mutex.Lock()
		p.waiting = busy
		p.Conn.SetReadDeadline(time.Time{})
		// Bytes that arrive just after the deadline was moved may still be read.
		refuse := p.stopping || p.closing
		p.mutex.Unlock()
		if err != nil || refuse {
			if err != nil && !isTimeout(err) {
				// The caller has hung up. A half-closed connection cannot be told from a closed one.
				p.cancel()
			}
			return false
		}
		if first[0] != '\r' && first[0] != '\n' {
			return true
		}
		p.reader.Discard(1)
	}
}

// setIdleDeadline limits the wait for a request if none is running; the caller holds the mutex.
func (p *Pipeliner) setIdleDeadline() {
	if p.unended == 0 {
		p.Conn.SetReadDeadline(p.idleSince.Add(p.Handler.Limits().IdleTimeout))
	}
}

// register makes x the last accepted request, unless an answer ahead of it closes the connection.
func (p *Pipeliner) register(x *exchange) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closing {
		return false
	}
	p.last = x
	p.unended++
	if x.behind {
		p.Behind.Add(1)
	}
	return true
}

// collectEnded counts the requests that have ended without waiting.
func (p *Pipeliner) collectEnded() {
	for {
		select {
		case <-p.ended:
			p.running--
		default:
			return
		}
	}
}

// awaitExchange returns when at least one request has ended, and cancels all if the caller hangs up meanwhile. Bytes of
// later requests are buffered; once the buffer is full, hanging up is not noticed.
func (p *Pipeliner) awaitExchange() {
	before := p.running
	for {
		p.mutex.Lock()
		p.waiting = forExchange
		p.mutex.Unlock()
		// A request that ends from here on interrupts the read.
		p.collectEnded()
		if p.running < before {
			break
		}
		_, err := p.reader.Peek(p.reader.Buffered() + 1)
		if err != nil && !isTimeout(err) {
			if !errors.Is(err, bufio.ErrBufferFull) {
				p.cancel()
			}
			<-p.ended
			p.running--
			break
		}
	}
	p.mutex.Lock()
	p.waiting = busy
	p.Conn.SetReadDeadline(time.Time{})
	p.mutex.Unlock()
}

func isTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}

// serve runs one request and writes its answer when its turn has come.
func (p *Pipeliner) serve(ctx context.Context, x *exchange) {
	defer p.end(x)
	if x.response == nil && !p.Handler.MayOverlap(x.request) && !await(ctx, x.turn) {
		p.Handler.Abandoned(x.request, x.begun)
		return
	}
	if x.response == nil {
		x.response = p.handle(ctx, x)
		p.release(x)
	}
	if x.response.Body != nil {
		defer x.response.Body.Close()
	}
	size := max(0, x.response.ContentLength)
	p.count(size)
	defer p.uncount(size)
	if !await(ctx, x.turn) {
		return
	}
	if err := p.write(x); err != nil {
		p.Log.Info("answer not delivered", "status", x.response.StatusCode, "error", err)
		p.cancel()
	}
}

// await reports whether the turn has come and the connection is still in use.
func await(ctx context.Context, turn <-chan struct{}) bool {
	select {
	case <-turn:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// handle calls the handler; a panic ends only this request, whose outcome is unknown.
func (p *Pipeliner) handle(ctx context.Context, x *exchange) (r *http.Response) {
	defer func() {
		if cause := recover(); cause != nil {
			p.Log.Error("request ended by a panic", "path", x.request.URL.Path, "panic", cause)
			r = p.Handler.Reject(x.request, http.StatusBadGateway, "internal error")
		}
	}()
	return p.Handler.Handle(ctx, x.request, x.body, x.begun)
}

var writers = sync.Pool{New: func() any { return bufio.NewWriter(nil) }}

// write writes the answer. It closes the connection if it must, or if it may and no further request was accepted.
func (p *Pipeliner) write(x *exchange) error {
	r := x.response
	p.mutex.Lock()
	r.Close = x.closes || (r.Close || p.stopping) && p.last == x
	p.closing = p.closing || r.Close
	p.mutex.Unlock()
	r.ProtoMajor, r.ProtoMinor, r.Request = 1, 1, x.request
	if r.Header.Get("Date") == "" {
		r.Header.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	}
	w := writers.Get().(*bufio.Writer)
	defer writers.Put(w)
	w.Reset(p.Conn)
	now := time.Now()
	p.Conn.SetWriteDeadline(now.Add(p.WriteTimeout))
	p.beginWriting(x, now)
	defer p.endWriting()
	if m, ok := r.Body.(inMemory); ok && len(m.Bytes()) > w.Available() && x.request.Method != http.MethodHead {
		return p.writeLarge(w, r, m.Bytes())
	}
	if err := r.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// end lets the next request have its turn, and wakes the goroutine that reads if it waits for this.
func (p *Pipeliner) end(x *exchange) {
	close(x.done)
	p.release(x)
	if x.behind {
		p.Behind.Add(-1)
	}
	// The connection keeps its last exchange, and must not keep the answer with it.
	x.response = nil
	p.ended <- struct{}{}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.unended--
	p.idleSince = time.Now()
	switch {
	case p.waiting == forExchange, p.waiting == forRequest && p.closing:
		p.Conn.SetReadDeadline(past)
	case p.waiting == forRequest && !p.stopping:
		p.setIdleDeadline()
	}
}

// linger reads until the caller closes the connection, for a short time.
func (p *Pipeliner) linger() {
	if c, ok := p.Conn.(interface{ CloseWrite() error }); ok && c.CloseWrite() == nil {
		p.Conn.SetReadDeadline(time.Now().Add(closeDelay))
		// The bytes are of no use, and any error is followed by Close.
		_, _ = io.Copy(io.Discard, p.reader)
	}
}
