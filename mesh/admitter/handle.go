package admitter

import (
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"strings"

	"wisteriaspoke.example/mesh/answer"
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
func (a *Admitter) handle(w http.ResponseWriter, r *http.Request) {
	local := a.local(r)
	if !local {
		a.bounds.outside.Add(1)
		defer a.ended()
	}
	if a.leaving.Load() {
		w.Header().Set("Connection", "close")
		if !local {
			a.write(w, r.Method, a.refuse(http.StatusServiceUnavailable, reasonLeaving))
			return
		}
	}
	if !take(&a.bounds.calls, 1, maxCalls) {
		a.write(w, r.Method, a.refuse(http.StatusServiceUnavailable, reasonWaiting))
		return
	}
	defer a.bounds.calls.Add(-1)
	reserved := bodyBound(r)
	if !take(&a.bounds.bytes, reserved, maxBytes) {
		a.write(w, r.Method, a.refuse(http.StatusServiceUnavailable, reasonMemory))
		return
	}
	defer a.bounds.bytes.Add(-reserved)
	f, refused := a.decode(w, r, local)
	if refused != nil {
		a.write(w, r.Method, *refused)
		return
	}
	a.write(w, r.Method, a.Do(r.Context(), f, r.Header.Get))
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

func (a *Admitter) local(r *http.Request) bool {
	p, err := netip.ParseAddrPort(r.RemoteAddr)
	return err == nil && a.executor.Local(p.Addr())
}

// bodyBound returns how many bytes the request's body may take.
func bodyBound(r *http.Request) int64 {
	if r.ContentLength < 0 {
		return maxBody
	}
	return min(r.ContentLength, maxBody)
}

// decode returns the call without its route, or why it is refused.
func (a *Admitter) decode(w http.ResponseWriter, r *http.Request, local bool) (call.Fields, *answer.Answer) {
	refuse := func(status int, reason string) (call.Fields, *answer.Answer) {
		n := a.refuse(status, reason)
		return call.Fields{}, &n
	}
	f := call.Fields{ID: rand.Uint64(), Method: r.Method, Host: r.Host, Path: r.URL.RequestURI(), Key: r.Header.Get(headerKey)}
	if !strings.HasPrefix(f.Path, "/") || r.Method == http.MethodConnect {
		return refuse(http.StatusBadRequest, reasonBad)
	}
	size := 0
	for n, vs := range r.Header {
		for _, v := range vs {
			size += len(n) + len(v)
		}
	}
	if size > maxHeaders {
		return refuse(http.StatusRequestHeaderFieldsTooLarge, reasonHeaders)
	}
	var valid bool
	if f.Left, valid = positive(r.Header.Get(headerDeadline)); !valid {
		return refuse(http.StatusBadRequest, reasonBad)
	}
	if f.Created, valid = positive(r.Header.Get(headerCreated)); !valid {
		return refuse(http.StatusBadRequest, reasonBad)
	}
	if v := r.Header.Get(headerDepth); v != "" && local {
		n, err := strconv.Atoi(v)
		if err != nil || n < 0 {
			return refuse(http.StatusBadRequest, reasonBad)
		}
		if n > maxDepth {
			return refuse(http.StatusLoopDetected, reasonDepth)
		}
		f.Depth = n
	}
	f.Headers = endToEnd(r.Header)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return refuse(http.StatusRequestEntityTooLarge, reasonLarge)
	}
	if err != nil {
		return refuse(http.StatusBadRequest, reasonBad)
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

// endToEnd returns the headers to pass on: neither the mesh's own nor those of the connection.
func endToEnd(h http.Header) []call.Header {
	hs := make([]call.Header, 0, len(h))
	for n, vs := range h {
		if strings.HasPrefix(n, headerPrefix) || connectionOnly(h, n) {
			continue
		}
		for _, v := range vs {
			hs = append(hs, call.Header{Name: n, Value: v})
		}
	}
	return hs
}

// connectionOnly reports whether a header belongs to the connection, by RFC 9110, section 7.6.1, or by the Connection
// header. The length and the expectation of the body end here too, as the body is read whole.
func connectionOnly(h http.Header, name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Content-Length", "Expect":
		return true
	}
	for _, v := range h["Connection"] {
		for n := range strings.SplitSeq(v, ",") {
			if strings.EqualFold(strings.TrimSpace(n), name) {
				return true
			}
		}
	}
	return false
}

// write encodes an answer; a refusal's body is its reason.
func (a *Admitter) write(w http.ResponseWriter, method string, n answer.Answer) {
	h := w.Header()
	for _, l := range n.Headers() {
		h.Add(l.Name, l.Value)
	}
	body := n.Body()
	h.Set(headerRan, string(n.Ran()))
	if n.Reason() != "" {
		h.Set(headerReason, n.Reason())
	}
	if n.Retried() {
		h.Set(headerRetried, "1")
	}
	if n.Ran() != answer.Yes {
		h.Set("Content-Type", "text/plain; charset=utf-8")
		body = []byte(n.Reason() + "\n")
	}
	if method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(body)))
	}
	if n.Status() == http.StatusNoContent || n.Status() == http.StatusNotModified {
		h.Del("Content-Length")
	}
	if _, typed := h["Content-Type"]; !typed {
		h["Content-Type"] = nil // keeps net/http from guessing a type that the upstream did not give
	}
	w.WriteHeader(n.Status())
	if method == http.MethodHead {
		return
	}
	if _, err := w.Write(body); err != nil {
		a.log.Debug("caller left", "error", err)
	}
}
