package exchanger

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"wisteriaspoke.example/mesh/answer"
	"wisteriaspoke.example/mesh/call"
	"wisteriaspoke.example/mesh/holder"
)

const (
	// dialTimeout bounds connecting to the upstream, which is on the same host.
	dialTimeout = 400 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept when the upstream states no timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from the timeout that the upstream states, so that the next request arrives before it.
	idleMargin = time.Second
	// nonIdempotentIdleTimeout is how long a connection may have been idle for a call that must not be sent twice.
	nonIdempotentIdleTimeout = 1500 * time.Millisecond
	// maxInlineBodyBytes is the largest body that is written before the response is read; it fits into the socket buffer.
	maxInlineBodyBytes = 16 << 10
	// earlyResponseBodyBytes is the body size from which the upstream may refuse or fail a request before it has read the
	// whole body. The rest then stays in the socket buffer, and the next request would wait behind it.
	earlyResponseBodyBytes = 4 << 10
	// maxResponsesRead is the number of responses to other requests after which the connection is abandoned.
	maxResponsesRead = 4
)

// Reasons of answers that are not a response of the upstream.
const (
	ReasonUnreachable     = "down"    // nothing listens at the upstream's address
	ReasonShed            = "shed"    // the upstream says that it did not run the call
	ReasonWrongInstance   = "moved"   // another instance has the address
	ReasonConnectionLost  = "lost"    // the connection broke before the end of the response
	ReasonInvalidResponse = "garbled" // the response is malformed, unsigned or for another request
	ReasonTimeout         = "timeout" // the deadline passed
	ReasonCancelled       = "left"    // the caller no longer waits
)

// Dialect writes the platform's headers of requests to an upstream and reads those of its responses.
type Dialect interface {
	// SetUpstreamHeaders sets the headers that the upstream expects; timeLeft is the time until the deadline.
	SetUpstreamHeaders(h http.Header, c call.Call, timeLeft time.Duration)
	// ResponseRequestID returns the identifier of the request that the response answers.
	ResponseRequestID(h http.Header) string
	// NotRun reports whether the response says that the call was not run, and whether another instance answered.
	NotRun(status int, h http.Header) (notRun, wrongInstance bool)
	// Signed reports whether the response has the upstream's signature.
	Signed(h http.Header) bool
	// Limit returns the requests a second that the upstream takes from all nodes together, or zero if the response names
	// no limit. An error means that the value is malformed.
	Limit(h http.Header) (perSecond float64, err error)
	// Leaving reports whether the response says that the upstream leaves.
	Leaving(h http.Header) bool
}

// Observer is told what the upstream's responses state about it; its methods must not block.
type Observer interface {
	// LimitStated is called with the result of Dialect.Limit for each response; sentAt is when its request was sent.
	LimitStated(perSecond float64, err error, sentAt time.Time)
	// LeavingStated is called for each response for which Dialect.Leaving is true.
	LeavingStated()
}

// Exchanger sends calls to one upstream; it is safe for concurrent use.
type Exchanger struct {
	Address  string   // IP:PORT of the upstream; set before use
	Dialect  Dialect  // set before use
	Observer Observer // may be nil; set before use
	// Refuse returns why the call may no longer run, or the empty string. It is called right before the call is written, as the
	// process may have been suspended since the runner's check; may be nil; set before use.
	Refuse func(c call.Call) string
	// Holder bounds the memory of large bodies, from their first byte until the answer's Hold is released, as an upstream
	// in trouble may send bytes without end on all of its connections; set before use.
	Holder *holder.Holder

	idle   atomic.Pointer[idleConnection]
	opened atomic.Int64
}

// Opened returns the number of connections opened so far.
func (x *Exchanger) Opened() int64 { return x.opened.Load() }

// Exchange sends the call and returns the upstream's response, or an answer that states whether the call may have run.
func (x *Exchanger) Exchange(ctx context.Context, c call.Call) answer.Answer {
	limit := defaultIdleTimeout
	if !c.Idempotent() {
		limit = nonIdempotentIdleTimeout
	}
	conn := x.takeIdle(limit)
	if conn == nil {
		var err error
		if conn, err = x.dial(ctx); err != nil {
			if ctx.Err() != nil {
				return contextEnded(ctx, answer.No)
			}
			return answer.New(answer.Fields{Status: http.StatusServiceUnavailable, Ran: answer.No, Reason: ReasonUnreachable})
		}
	}
	if ctx.Err() != nil {
		// The caller left, or the deadline passed, while the connection was opened.
		if !x.putIdle(conn) {
			conn.Close()
		}
		return contextEnded(ctx, answer.No)
	}
	if x.Refuse != nil {
		if reason := x.Refuse(c); reason != "" {
			if !x.putIdle(conn) {
				conn.Close()
			}
			return answer.New(answer.Fields{Status: http.StatusServiceUnavailable, Ran: answer.No, Reason: reason})
		}
	}
	start := time.Now()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	a, reusable := x.roundTrip(ctx, conn, c, remaining(ctx))
	if !stop() {
		reusable = false
		if a.Ran() != answer.Yes {
			a = contextEnded(ctx, a.Ran())
		}
	}
	if !reusable || !x.putIdle(conn) {
		conn.Close()
	}
	f := a.Fields()
	f.ServiceTime = max(1, time.Since(start).Microseconds())
	return answer.New(f)
}

// contextEnded returns the answer to a call whose context has ended.
func contextEnded(ctx context.Context, ran answer.Ran) answer.Answer {
	return answer.New(answer.Fields{Status: http.StatusGatewayTimeout, Ran: ran, Reason: EndReason(ctx)})
}

// EndReason returns why a context has ended: the deadline passed, or the caller no longer waits.
func EndReason(ctx context.Context) string {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return ReasonTimeout
	}
	return ReasonCancelled
}

func remaining(ctx context.Context) time.Duration {
	if d, ok := ctx.Deadline(); ok {
		return max(0, time.Until(d))
	}
	return 0
}

// connection is an HTTP/1.1 connection, used for one call at a time.
type connection struct {
	net.Conn
	bounds    *boundedReader // of the response that is being read
	reader    *bufio.Reader  // of bounds
	refused   bool           // the upstream has refused an earlier request
	endsBody  bool           // the end of the connection ended the response that was read last
	sentAt    time.Time      // when the last request was sent
	expiresAt time.Time      // when the upstream may close it if idle
	idleSince time.Time      // when it became idle
}

func (x *Exchanger) dial(ctx context.Context) (*connection, error) {
	d := net.Dialer{Timeout: dialTimeout}
	c, err := d.DialContext(ctx, "tcp", x.Address)
	if err != nil {
		return nil, err
	}
	x.opened.Add(1)
	return newConnection(c), nil
}

// Listening reports whether the upstream still listens at its address. A connection that this opens is kept for a later
// call.
func (x *Exchanger) Listening(ctx context.Context) bool {
	conn, err := x.dial(ctx)
	if err != nil {
		return !errors.Is(err, syscall.ECONNREFUSED)
	}
	conn.expiresAt = time.Now().Add(defaultIdleTimeout)
	if !x.putIdle(conn) {
		conn.Close()
	}
	return true
}

func newConnection(c net.Conn) *connection {
	bounds := &boundedReader{Reader: c}
	return &connection{Conn: c, bounds: bounds, reader: bufio.NewReader(bounds)}
}

// roundTrip writes the call and reads its response; reusable reports whether the connection can be used again.
func (x *Exchanger) roundTrip(ctx context.Context, conn *connection, c call.Call, timeLeft time.Duration) (a answer.Answer, reusable bool) {
	conn.sentAt = time.Now()
	conn.expiresAt = conn.sentAt.Add(defaultIdleTimeout)
	written := make(chan error, 1)
	if len(c.Body()) <= maxInlineBodyBytes {
		written <- x.writeRequest(conn, c, timeLeft)
	} else {
		go func() { written <- x.writeRequest(conn, c, timeLeft) }()
	}
	for range maxResponsesRead {
		var stray bool
		a, reusable, stray = x.readResponse(ctx, conn, c)
		if !stray {
			break
		}
		// The next response may be to this call, but responses on the connection no longer match its requests.
		defer func() { reusable = false }()
	}
	if conn.endsBody && a.Ran() == answer.Yes && conn.resetSeen(written) {
		a.Hold().Release()
		a = readFailure(io.ErrUnexpectedEOF)
	}
	if len(c.Body()) >= earlyResponseBodyBytes && (a.Ran() != answer.Yes || a.Status() >= http.StatusBadRequest) {
		reusable = false
	}
	select {
	case err := <-written:
		return a, reusable && err == nil
	default:
		// The upstream answered before it read the whole body. The rest must not be mistaken for a request.
		conn.Close()
		<-written
		return a, false
	}
}

// resetSeen reports whether the write of the request has found the connection broken. The kernel reports a reset only once, so
// that a read after the write ends as if the upstream had closed the connection. The write is ended if it is not yet: the
// connection has ended. EPIPE means that the upstream closed it before the reset.
func (c *connection) resetSeen(written chan error) bool {
	// If this fails, the connection is closed, which ends the write as well.
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	err := <-written
	written <- err
	var number syscall.Errno
	return errors.As(err, &number) && number != syscall.EPIPE
}

func (x *Exchanger) writeRequest(conn *connection, c call.Call, timeLeft time.Duration) error {
	h := http.Header{}
	for _, line := range c.Headers() {
		h.Add(line.Name, line.Value)
	}
	x.Dialect.SetUpstreamHeaders(h, c, timeLeft)
	w := bufio.NewWriter(conn)
	w.WriteString(c.Method())
	w.WriteByte(' ')
	w.WriteString(c.Path())
	w.WriteString(" HTTP/1.1\r\nHost: ")
	w.WriteString(c.Host())
	w.WriteString("\r\n")
	if len(c.Body()) > 0 || c.Method() != http.MethodGet && c.Method() != http.MethodHead {
		w.WriteString("Content-Length: " + strconv.Itoa(len(c.Body())) + "\r\n")
	}
	if err := h.Write(w); err != nil {
		return err
	}
	w.WriteString("\r\n")
	w.Write(c.Body())
	return w.Flush()
}

// readResponse returns one response; stray reports that it answers another request.
func (x *Exchanger) readResponse(ctx context.Context, conn *connection, c call.Call) (a answer.Answer, reusable, stray bool) {
	conn.bounds.left = maxOverheadBytes
	r, err := readFinalHead(conn, c.Method())
	if err != nil {
		return readFailure(err), false, false
	}
	if !answer.PossibleStatus(r.StatusCode) {
		return invalidResponse(), false, false
	}
	body, hold, err := x.readBody(ctx, conn, r)
	if err != nil {
		return readFailure(err), false, false
	}
	defer func() {
		if a.Ran() != answer.Yes {
			hold.Release()
		}
	}()
	framed := r.ContentLength >= 0 || len(r.TransferEncoding) > 0
	conn.endsBody = !framed
	reusable = framed && !r.Close && conn.reader.Buffered() == 0
	conn.expiresAt = time.Now().Add(idleTimeout(r.Header.Get("Keep-Alive")))
	notRun, wrongInstance := x.Dialect.NotRun(r.StatusCode, r.Header)
	responseID := x.Dialect.ResponseRequestID(r.Header)
	if x.Observer != nil && responseID == c.RequestID() {
		limit, err := x.Dialect.Limit(r.Header)
		x.Observer.LimitStated(limit, err, conn.sentAt)
		if x.Dialect.Leaving(r.Header) {
			x.Observer.LeavingStated()
		}
	}
	switch {
	case responseID != "" && responseID != c.RequestID():
		return invalidResponse(), false, framed
	case notRun && responseID == "" && conn.refused:
		// This may be the earlier refusal once more.
		return invalidResponse(), false, false
	case notRun:
		conn.refused = true
		reason := ReasonShed
		if wrongInstance {
			reason = ReasonWrongInstance
		}
		// Without an identifier, its repetition could not be told from the refusal of the next request.
		reusable = reusable && responseID != ""
		return answer.New(answer.Fields{Status: r.StatusCode, Ran: answer.No, Reason: reason}), reusable, false
	case responseID == "" || r.Header.Get("Content-Encoding") != "":
		return invalidResponse(), false, false
	case r.StatusCode < 300 && !x.Dialect.Signed(r.Header):
		return invalidResponse(), false, false
	}
	return answer.New(answer.Fields{Status: r.StatusCode, Headers: endToEndHeaders(r.Header), Body: body, Hold: hold, Ran: answer.Yes}), reusable, false
}

// readFinalHead reads the head of a response behind those of any interim ones.
func readFinalHead(conn *connection, method string) (*http.Response, error) {
	for {
		r, err := http.ReadResponse(conn.reader, &http.Request{Method: method})
		if err != nil || r.StatusCode < http.StatusContinue || r.StatusCode >= http.StatusOK || r.StatusCode == http.StatusSwitchingProtocols {
			return r, err
		}
	}
}

func readFailure(err error) answer.Answer {
	if errors.Is(err, errNoRoom) {
		return answer.New(answer.Fields{Status: http.StatusBadGateway, Ran: answer.Maybe, Reason: holder.Reason})
	}
	reason := ReasonConnectionLost
	var n net.Error
	if !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.As(err, &n) {
		reason = ReasonInvalidResponse
	}
	return answer.New(answer.Fields{Status: http.StatusBadGateway, Ran: answer.Maybe, Reason: reason})
}

func invalidResponse() answer.Answer {
	return answer.New(answer.Fields{Status: http.StatusBadGateway, Ran: answer.Maybe, Reason: ReasonInvalidResponse})
}

// idleTimeout returns how long a connection may be idle, from the value of a Keep-Alive header.
func idleTimeout(keepAlive string) time.Duration {
	for part := range strings.SplitSeq(keepAlive, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(strings.TrimSpace(value)); err == nil {
			return max(0, time.Duration(n)*time.Second-idleMargin)
		}
	}
	return defaultIdleTimeout
}

func endToEndHeaders(h http.Header) []call.Header {
	var hs []call.Header
	for name, values := range h {
		if call.IsHopByHop(name) {
			continue
		}
		for _, v := range values {
			hs = append(hs, call.Header{Name: name, Value: v})
		}
	}
	return hs
}
