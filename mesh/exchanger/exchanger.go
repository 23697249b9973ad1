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
	"time"

	"wisteriaspoke.example/mesh/answer"
	"wisteriaspoke.example/mesh/call"
)

const (
	// dialTimeout bounds a connection to an upstream on the same host.
	dialTimeout = 400 * time.Millisecond
	// idleLimit is how long a connection is kept for the next call when the upstream names no limit.
	idleLimit = 4 * time.Second
	// idleMargin is kept from the limit that the upstream names, for the way of the next request.
	idleMargin = time.Second
	// freshIdle is how long a connection may have been idle for a call that must not be sent twice.
	freshIdle = 1500 * time.Millisecond
	// inlineBody is the largest body that is written before the response is read; it fits into the socket's buffer.
	inlineBody = 16 << 10
	// earlyBody is the size of a body from which a refusal or failure may come before the upstream has read all of it. The
	// rest then lies in the socket's buffer, where the next request would wait behind it.
	earlyBody = 4 << 10
	// maxAnswer bounds the body of a response.
	maxAnswer = 16 << 20
	// strays is the number of responses to other requests that are skipped before the connection is given up.
	strays = 4
)

// Reasons of answers that are not the upstream's own.
const (
	ReasonUnreachable     = "down"    // nothing listens at the upstream's address
	ReasonShed            = "shed"    // the upstream says that it did not run the call
	ReasonWrongInstance   = "moved"   // another instance has the address
	ReasonConnectionLost  = "lost"    // the connection broke before the end of the response
	ReasonInvalidResponse = "garbled" // the response is malformed, unsigned or for another request
	ReasonTimeout         = "timeout" // the deadline passed
	ReasonCancelled       = "left"    // the caller no longer waits
)

// Dialect is how an upstream is told about a call and how its responses are understood.
type Dialect interface {
	// SetUpstreamHeaders sets the headers that the upstream expects; left is the time until the deadline.
	SetUpstreamHeaders(h http.Header, c call.Call, left time.Duration)
	// ResponseRequestID returns the identifier of the request that the response answers.
	ResponseRequestID(h http.Header) string
	// NotRun reports whether the response says that the call was not run, and whether another instance answered.
	NotRun(status int, h http.Header) (notRun, moved bool)
	// Signed reports whether the response bears the upstream's signature.
	Signed(h http.Header) bool
}

// Exchanger sends calls to one upstream; it may be used by many goroutines.
type Exchanger struct {
	Address string  // IP:PORT of the upstream; set before use
	Dialect Dialect // set before use

	idle   atomic.Pointer[kept]
	opened atomic.Int64
}

// Opened returns the number of connections that were opened.
func (x *Exchanger) Opened() int64 { return x.opened.Load() }

// Exchange sends the call and returns the upstream's response, or what is known of the call's run without one.
func (x *Exchanger) Exchange(ctx context.Context, c call.Call) answer.Answer {
	limit := idleLimit
	if !c.Idempotent() {
		limit = freshIdle
	}
	n := x.reuse(limit)
	if n == nil {
		var err error
		if n, err = x.dial(ctx); err != nil {
			if ctx.Err() != nil {
				return ended(ctx, answer.No)
			}
			return answer.New(answer.Fields{Status: http.StatusServiceUnavailable, Ran: answer.No, Reason: ReasonUnreachable})
		}
	}
	start := time.Now()
	stop := context.AfterFunc(ctx, func() { n.Close() })
	a, keep := x.converse(n, c, left(ctx))
	if !stop() {
		keep = false
		if a.Ran() != answer.Yes {
			a = ended(ctx, a.Ran())
		}
	}
	if !keep || !x.keep(n) {
		n.Close()
	}
	f := a.Fields()
	f.ServiceTime = max(1, time.Since(start).Microseconds())
	return answer.New(f)
}

// ended returns the answer to a call whose context has ended.
func ended(ctx context.Context, ran answer.Ran) answer.Answer {
	return answer.New(answer.Fields{Status: http.StatusGatewayTimeout, Ran: ran, Reason: EndReason(ctx)})
}

// EndReason returns why a context has ended: by its deadline, or because the caller no longer waits.
func EndReason(ctx context.Context) string {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return ReasonTimeout
	}
	return ReasonCancelled
}

func left(ctx context.Context) time.Duration {
	if d, ok := ctx.Deadline(); ok {
		return max(0, time.Until(d))
	}
	return 0
}

// connection is one HTTP/1.1 connection that carries one call at a time.
type connection struct {
	net.Conn
	reader *bufio.Reader
	until  time.Time // the upstream may close it when it is idle beyond this
	since  time.Time // when it became idle
}

func (x *Exchanger) dial(ctx context.Context) (*connection, error) {
	d := net.Dialer{Timeout: dialTimeout}
	c, err := d.DialContext(ctx, "tcp", x.Address)
	if err != nil {
		return nil, err
	}
	x.opened.Add(1)
	return &connection{Conn: c, reader: bufio.NewReader(c)}, nil
}

// converse writes the call and reads its response; keep reports whether the connection can carry another call.
func (x *Exchanger) converse(n *connection, c call.Call, left time.Duration) (a answer.Answer, keep bool) {
	n.until = time.Now().Add(idleLimit)
	written := make(chan error, 1)
	if len(c.Body()) <= inlineBody {
		written <- x.write(n, c, left)
	} else {
		go func() { written <- x.write(n, c, left) }()
	}
	for range strays {
		var other bool
		a, keep, other = x.read(n, c)
		if !other {
			break
		}
		// The next response may be the one to this call, but the connection is out of step.
		defer func() { keep = false }()
	}
	if len(c.Body()) >= earlyBody && (a.Ran() != answer.Yes || a.Status() >= http.StatusBadRequest) {
		keep = false
	}
	select {
	case err := <-written:
		return a, keep && err == nil
	default:
		// The upstream answered before it has read the whole body. The rest of it must not be mistaken for a request.
		n.Close()
		<-written
		return a, false
	}
}

func (x *Exchanger) write(n *connection, c call.Call, left time.Duration) error {
	h := http.Header{}
	for _, line := range c.Headers() {
		h.Add(line.Name, line.Value)
	}
	x.Dialect.SetUpstreamHeaders(h, c, left)
	w := bufio.NewWriter(n)
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

// read returns one response; other reports that it answers another request.
func (x *Exchanger) read(n *connection, c call.Call) (a answer.Answer, keep, other bool) {
	r, err := http.ReadResponse(n.reader, &http.Request{Method: c.Method()})
	if err != nil {
		return broken(err), false, false
	}
	defer r.Body.Close()
	body, err := io.ReadAll(io.LimitReader(r.Body, maxAnswer+1))
	if err != nil {
		return broken(err), false, false
	}
	framed := r.ContentLength >= 0 || len(r.TransferEncoding) > 0
	keep = framed && !r.Close && n.reader.Buffered() == 0
	n.until = time.Now().Add(idleTime(r.Header.Get("Keep-Alive")))
	notRun, moved := x.Dialect.NotRun(r.StatusCode, r.Header)
	echo := x.Dialect.ResponseRequestID(r.Header)
	switch {
	case echo != "" && echo != c.RequestID():
		return garbled(), false, framed
	case notRun && moved:
		return answer.New(answer.Fields{Status: r.StatusCode, Ran: answer.No, Reason: ReasonWrongInstance}), keep, false
	case notRun:
		return answer.New(answer.Fields{Status: r.StatusCode, Ran: answer.No, Reason: ReasonShed}), keep, false
	case echo == "" || len(body) > maxAnswer || r.Header.Get("Content-Encoding") != "":
		return garbled(), false, false
	case r.StatusCode < 300 && !x.Dialect.Signed(r.Header):
		return garbled(), false, false
	}
	return answer.New(answer.Fields{Status: r.StatusCode, Headers: lines(r.Header), Body: body, Ran: answer.Yes}), keep, false
}

func broken(err error) answer.Answer {
	reason := ReasonConnectionLost
	var n net.Error
	if !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.As(err, &n) {
		reason = ReasonInvalidResponse
	}
	return answer.New(answer.Fields{Status: http.StatusBadGateway, Ran: answer.Maybe, Reason: reason})
}

func garbled() answer.Answer {
	return answer.New(answer.Fields{Status: http.StatusBadGateway, Ran: answer.Maybe, Reason: ReasonInvalidResponse})
}

// idleTime returns how long a connection may be idle, from the value of a Keep-Alive header.
func idleTime(keepAlive string) time.Duration {
	for part := range strings.SplitSeq(keepAlive, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(strings.TrimSpace(value)); err == nil {
			return max(0, time.Duration(n)*time.Second-idleMargin)
		}
	}
	return idleLimit
}

func lines(h http.Header) []call.Header {
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
