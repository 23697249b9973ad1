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
	local := a.executor.IsLocalCaller(origin(x.RemoteAddr()))
	if !local {
		a.bounds.outside.Add(1)
		defer a.ended()
	}
	if a.leaving.Load() {
		x.SetConnectionClose()
		if !local {
			reject(x, a.refuse(http.StatusServiceUnavailable, reasonLeaving))
			return
		}
	}
	if !take(&a.bounds.calls, 1, maxCalls) {
		reject(x, a.refuse(http.StatusServiceUnavailable, reasonWaiting))
		return
	}
	defer a.bounds.calls.Add(-1)
	reserved := bodyBound(x.Request.Header.ContentLength())
	if !take(&a.bounds.bytes, reserved, maxBytes) {
		reject(x, a.refuse(http.StatusServiceUnavailable, reasonMemory))
		return
	}
	defer a.bounds.bytes.Add(-reserved)
	f, refused := a.decode(&x.Request, local)
	if refused != nil {
		reject(x, *refused)
		return
	}
	header := func(name string) string { return string(x.Request.Header.Peek(name)) }
	write(x, a.Do(context.Background(), f, header))
}

// reject answers a request whose body may not have been read. What is left of it is dropped, up to a bound, as a
// connection that is closed before would be reset, and the caller would not see the refusal.
func reject(x *fasthttp.RequestCtx, n answer.Answer) {
	if stream := x.Request.BodyStream(); stream != nil {
		if _, err := io.CopyN(io.Discard, stream, maxDropped); err != io.EOF {
			x.SetConnectionClose()
		}
	}
	write(x, n)
}

// failed answers a request that could not be read.
func (a *Admitter) failed(x *fasthttp.RequestCtx, err error) {
	var large *fasthttp.ErrSmallBuffer
	var timeout net.Error
	switch {
	case errors.As(err, &large):
		write(x, a.refuse(http.StatusRequestHeaderFieldsTooLarge, reasonHeaders))
	case errors.As(err, &timeout) && timeout.Timeout():
		write(x, a.refuse(http.StatusRequestTimeout, reasonSlow))
	default:
		write(x, a.refuse(http.StatusBadRequest, reasonBad))
	}
}

// ended counts the end of a call from outside and tells Drain.
func (a *Admitter) ended() {
	a.bounds.outside.Add(-1)
	if !a.leaving.Load() {
		return
	}
	select {
	case a.finished <- struct{}{}:
	default:
	}
}

// origin returns the caller's IP address, or the zero Addr.
func origin(a net.Addr) netip.Addr {
	if t, ok := a.(*net.TCPAddr); ok {
		return t.AddrPort().Addr()
	}
	return netip.Addr{}
}

// bodyBound returns how many bytes a body may take; a negative length means that it is not known.
func bodyBound(length int) int64 {
	switch {
	case length == -1:
		return maxBody
	case length < 0:
		return 0
	}
	return int64(min(length, maxBody))
}

// decode returns the call without its route, or why it is refused.
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
	if !strings.HasPrefix(f.Path, "/") || dotted(f.Path) || f.Method == http.MethodConnect {
		return refuse(http.StatusBadRequest, reasonBad)
	}
	var valid bool
	if f.TimeLeft, valid = positive(string(h.Peek(headerDeadline))); !valid {
		return refuse(http.StatusBadRequest, reasonBad)
	}
	if f.KeyCreated, valid = positive(string(h.Peek(headerCreated))); !valid {
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
	if h.ContentLength() > maxBody {
		return refuse(http.StatusRequestEntityTooLarge, reasonLarge)
	}
	body, err := read(q)
	if err != nil {
		return refuse(http.StatusBadRequest, reasonBad)
	}
	if len(body) > maxBody {
		return refuse(http.StatusRequestEntityTooLarge, reasonLarge)
	}
	f.Body = body
	return f, nil
}

// positive returns the number in a header, zero if the header is missing, and whether it is valid.
func positive(v string) (int64, bool) {
	if v == "" {
		return 0, true
	}
	n, err := strconv.ParseInt(v, 10, 64)
	return n, err == nil && n > 0
}

// dotted reports whether a path has a segment "." or "..". Routes match the path as it is, while an upstream may resolve
// such segments and so run a call of another route.
func dotted(path string) bool {
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

// read returns the whole body, or one byte over the limit of a larger one.
func read(q *fasthttp.Request) ([]byte, error) {
	stream := q.BodyStream()
	if stream == nil {
		return append([]byte(nil), q.Body()...), nil
	}
	length := q.Header.ContentLength()
	body, err := bodyreader.Read(stream, length, maxBody)
	if err != nil {
		return nil, err
	}
	// fasthttp ends the stream of a body with a length without an error when the caller breaks off.
	if length >= 0 && len(body) < length {
		return nil, io.ErrUnexpectedEOF
	}
	return body, nil
}

// endToEnd returns the headers to pass on: neither the mesh's own nor those of the connection.
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
// header. The host has its own field, and the length and the expectation of the body end here, as it is read whole.
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

// write encodes an answer; a refusal's body is its reason.
func write(x *fasthttp.RequestCtx, n answer.Answer) {
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
