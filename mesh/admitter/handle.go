package admitter

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"wisteriaspoke.example/mesh/answer"
	"wisteriaspoke.example/mesh/bodyreader"
	"wisteriaspoke.example/mesh/call"
)

// Names of headers.
const (
	headerPrefix   = "Wisteriaspoke-"
	headerRan      = headerPrefix + "Ran"
	headerReason   = headerPrefix + "Reason"
	headerRetried  = headerPrefix + "Retried"
	headerDeadline = headerPrefix + "Deadline"
	headerDepth    = headerPrefix + "Depth"
	headerCreated  = headerPrefix + "Created"
	headerKey      = "Idempotency-Key"
)

// handle is the HTTP front end: it decodes the request, and encodes the answer of Do.
func (a *Admitter) handle(x *fasthttp.RequestCtx) {
	local := a.executor.IsLocalCaller(remoteIP(x.RemoteAddr()))
	if !local {
		a.inFlight.external.Add(1)
		defer a.endExternal()
	}
	if a.leaving.Load() {
		x.SetConnectionClose()
		if !local {
			reject(x, a.refuse(http.StatusServiceUnavailable, reasonLeaving))
			return
		}
	}
	if !tryAdd(&a.inFlight.calls, 1, maxInFlightCalls) {
		reject(x, a.refuse(http.StatusServiceUnavailable, reasonWaiting))
		return
	}
	defer a.inFlight.calls.Add(-1)
	reserved := bodyReservation(x.Request.Header.ContentLength())
	if !tryAdd(&a.inFlight.bytes, reserved, maxInFlightBytes) {
		reject(x, a.refuse(http.StatusServiceUnavailable, reasonMemory))
		return
	}
	defer a.inFlight.bytes.Add(-reserved)
	f, refused := a.decode(&x.Request, local)
	if refused != nil {
		reject(x, *refused)
		return
	}
	header := func(name string) string { return string(x.Request.Header.Peek(name)) }
	writeAnswer(x, a.Do(context.Background(), f, header))
}

// reject answers a request whose body may not have been read. The rest of the body is read and discarded, up to
// maxDiscardedBytes: closing the connection earlier would reset it, and the caller would not receive the refusal.
func reject(x *fasthttp.RequestCtx, n answer.Answer) {
	if stream := x.Request.BodyStream(); stream != nil {
		if _, err := io.CopyN(io.Discard, stream, maxDiscardedBytes); err != io.EOF {
			x.SetConnectionClose()
		}
	}
	writeAnswer(x, n)
}

// handleReadError answers a request that could not be read.
func (a *Admitter) handleReadError(x *fasthttp.RequestCtx, err error) {
	var large *fasthttp.ErrSmallBuffer
	var timeout net.Error
	switch {
	case errors.As(err, &large):
		writeAnswer(x, a.refuse(http.StatusRequestHeaderFieldsTooLarge, reasonHeaders))
	case errors.As(err, &timeout) && timeout.Timeout():
		writeAnswer(x, a.refuse(http.StatusRequestTimeout, reasonSlow))
	default:
		writeAnswer(x, a.refuse(http.StatusBadRequest, reasonBad))
	}
}

// endExternal counts the end of an external call and notifies Drain.
func (a *Admitter) endExternal() {
	a.inFlight.external.Add(-1)
	if !a.leaving.Load() {
		return
	}
	select {
	case a.finished <- struct{}{}:
	default:
	}
}

// remoteIP returns the caller's IP address, or the zero Addr.
func remoteIP(a net.Addr) netip.Addr {
	if t, ok := a.(*net.TCPAddr); ok {
		return t.AddrPort().Addr()
	}
	return netip.Addr{}
}

// bodyReservation returns how many bytes to reserve for a body of the given content length: the
// maximum for -1 (chunked), nothing for other negative values (no body).
func bodyReservation(length int) int64 {
	switch {
	case length == -1:
		return maxBodyBytes
	case length < 0:
		return 0
	}
	return int64(min(length, maxBodyBytes))
}

// decode returns the call without its route, or the refusal of an invalid one.
func (a *Admitter) decode(q *fasthttp.Request, local bool) (call.Fields, *answer.Answer) {
	refuse := func(status int, reason string) (call.Fields, *answer.Answer) {
		n := a.refuse(status, reason)
		return call.Fields{}, &n
	}
	h := &q.Header
	f := call.Fields{
		ID: rand.Uint64(), Method: string(h.Method()), Host: string(h.Host()), Path: string(h.RequestURI()),
		IdempotencyKey: string(h.Peek(headerKey)),
	}
	if !strings.HasPrefix(f.Path, "/") || hasDotSegment(f.Path) || f.Method == http.MethodConnect {
		return refuse(http.StatusBadRequest, reasonBad)
	}
	var valid bool
	if f.TimeLeft, valid = parsePositive(string(h.Peek(headerDeadline))); !valid {
		return refuse(http.StatusBadRequest, reasonBad)
	}
	if f.KeyCreated, valid = parsePositive(string(h.Peek(headerCreated))); !valid {
		return refuse(http.StatusBadRequest, reasonBad)
	}
	if v := string(h.Peek(headerDepth)); v != "" && local {
		n, err := strconv.Atoi(v)
		if err != nil || n < 0 {
			return refuse(http.StatusBadRequest, reasonBad)
		}
		if n > maxDepth {
			return refuse(http.StatusLoopDetected, reasonDepth)
		}
		f.Depth = n
	}
	f.Headers = endToEnd(h)
	if h.ContentLength() > maxBodyBytes {
		return refuse(http.StatusRequestEntityTooLarge, reasonLarge)
	}
	body, err := readBody(q)
	if err != nil {
		return refuse(http.StatusBadRequest, reasonBad)
	}
	if len(body) > maxBodyBytes {
		return refuse(http.StatusRequestEntityTooLarge, reasonLarge)
	}
	f.Body = body
	return f, nil
}

// parsePositive returns the number in a header, or zero if the header is missing, and whether it is valid.
func parsePositive(v string) (int64, bool) {
	if v == "" {
		return 0, true
	}
	n, err := strconv.ParseInt(v, 10, 64)
	return n, err == nil && n > 0
}

// hasDotSegment reports whether a path has a segment "." or "..". Routes match the path as received, while an upstream
// may resolve such segments and so run a call of another route.
func hasDotSegment(path string) bool {
	path, _, _ = strings.Cut(path, "?")
	for s := range strings.SplitSeq(path, "/") {
		if len(s) == 0 || len(s) > len("%2e%2e") {
			continue
		}
		switch strings.ReplaceAll(strings.ToLower(s), "%2e", ".") {
		case ".", "..":
			return true
		}
	}
	return false
}

// readBody returns the whole body, or the first maxBodyBytes+1 bytes of a larger one.
func readBody(q *fasthttp.Request) ([]byte, error) {
	stream := q.BodyStream()
	if stream == nil {
		return append([]byte(nil), q.Body()...), nil
	}
	length := q.Header.ContentLength()
	body, err := bodyreader.Read(stream, length, maxBodyBytes)
	if err != nil {
		return nil, err
	}
	// fasthttp ends the stream of a body of known length without an error when the caller closes the connection early.
	if length >= 0 && len(body) < length {
		return nil, io.ErrUnexpectedEOF
	}
	return body, nil
}

// endToEnd returns the headers to forward, without those of the mesh and of the connection.
func endToEnd(h *fasthttp.RequestHeader) []call.Header {
	named := string(h.Peek("Connection"))
	hs := make([]call.Header, 0, 8)
	for n, v := range h.All() {
		name := string(n)
		if strings.HasPrefix(name, headerPrefix) || connectionOnly(named, name) {
			continue
		}
		hs = append(hs, call.Header{Name: name, Value: string(v)})
	}
	return hs
}

// connectionOnly reports whether a header belongs to the connection, by RFC 9110, section 7.6.1, or by the Connection
// header. Host has its own field in a call, and Content-Length and Expect are not forwarded, as the body
// is read completely here.
func connectionOnly(connection, name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Content-Length", "Expect", "Host":
		return true
	}
	for n := range strings.SplitSeq(connection, ",") {
		if strings.EqualFold(strings.TrimSpace(n), name) {
			return true
		}
	}
	return false
}

// writeAnswer encodes an answer; the body of a refusal or failure is its reason.
func writeAnswer(x *fasthttp.RequestCtx, n answer.Answer) {
	h := &x.Response.Header
	x.SetStatusCode(n.Status())
	for _, l := range n.Headers() {
		h.Add(l.Name, l.Value)
	}
	h.Set(headerRan, string(n.Ran()))
	if n.Reason() != "" {
		h.Set(headerReason, n.Reason())
	}
	if n.Retried() {
		h.Set(headerRetried, "1")
	}
	if n.Ran() != answer.Yes {
		h.SetContentType("text/plain; charset=utf-8")
		x.SetBodyString(n.Reason() + "\n")
		return
	}
	x.Response.SetBodyRaw(n.Body())
}
