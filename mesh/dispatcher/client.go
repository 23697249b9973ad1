package dispatcher

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"strings"
	"time"

	"wisteriaspoke.example/mesh/answer"
	"wisteriaspoke.example/mesh/call"
)

const (
	// maxBody bounds a response, which is held whole until its end is seen.
	maxBody = 8 << 20
	// maxHeader bounds the headers of a response.
	maxHeader = 64 << 10
	dialLimit = time.Second
	idleLimit = 30 * time.Second
)

// Names of the mesh's own headers.
const (
	headerPrefix   = "Wisteriaspoke-"
	headerDeadline = headerPrefix + "Deadline"
	headerDepth    = headerPrefix + "Depth"
	headerRetried  = headerPrefix + "Retried"
)

var (
	errLarge    = errors.New("the response is larger than 8 MB")
	errUnframed = errors.New("the response says neither its length nor its end")
)

// unsent is the failure of a call of which no byte was sent.
type unsent struct {
	cause error
}

func (u *unsent) Error() string { return "not sent: " + u.cause.Error() }
func (u *unsent) Unwrap() error { return u.cause }

// client sends calls to the upstream over HTTP/1.1.
type client struct {
	address   string
	transport *http.Transport
}

func newClient(address string, slots int) client {
	dialer := net.Dialer{Timeout: dialLimit}
	return client{address: address, transport: &http.Transport{
		DialContext:            dialer.DialContext,
		DisableCompression:     true,
		MaxIdleConns:           max(1, slots),
		MaxIdleConnsPerHost:    max(1, slots),
		IdleConnTimeout:        idleLimit,
		MaxResponseHeaderBytes: maxHeader,
	}}
}

func (c client) close() { c.transport.CloseIdleConnections() }

// do sends the call and returns the whole response. An error is *unsent only if no connection was obtained.
func (c client) do(ctx context.Context, l call.Call) (answer.Fields, error) {
	var connected bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }})
	r, err := c.request(ctx, l)
	if err != nil {
		return answer.Fields{}, &unsent{cause: err}
	}
	p, err := c.transport.RoundTrip(r)
	if err != nil {
		if !connected {
			return answer.Fields{}, &unsent{cause: err}
		}
		return answer.Fields{}, err
	}
	defer p.Body.Close()
	body, err := read(p, l.Method())
	if err != nil {
		return answer.Fields{}, err
	}
	f := answer.Fields{Status: p.StatusCode, Body: body, Retried: p.Header.Get(headerRetried) != ""}
	for n, vs := range p.Header {
		if strings.HasPrefix(n, headerPrefix) || connectionOnly(p.Header, n) {
			continue
		}
		for _, v := range vs {
			f.Headers = append(f.Headers, call.Header{Name: n, Value: v})
		}
	}
	return f, nil
}

// read returns the whole body, or an error if it was cut short or has no marked end.
func read(p *http.Response, method string) ([]byte, error) {
	if method == http.MethodHead || p.StatusCode == http.StatusNoContent || p.StatusCode == http.StatusNotModified {
		return nil, nil
	}
	// A body that ends with the connection cannot be told from one that was cut short.
	if p.ContentLength < 0 && !slices.Contains(p.TransferEncoding, "chunked") {
		return nil, errUnframed
	}
	body, err := io.ReadAll(io.LimitReader(p.Body, maxBody+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxBody {
		return nil, errLarge
	}
	return body, nil
}

// body hides the type of its reader, and with it the means to send the call a second time: the transport repeats
// some requests by itself, such as those with an idempotency key, if the connection breaks.
type body struct {
	io.Reader
}

func (body) Close() error { return nil }

func (c client) request(ctx context.Context, l call.Call) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, l.Method(), "http://"+c.address+l.Path(), body{bytes.NewReader(l.Body())})
	if err != nil {
		return nil, fmt.Errorf("request: %w", err)
	}
	r.ContentLength = int64(len(l.Body()))
	r.Host = l.Host()
	for _, h := range l.Headers() {
		r.Header.Add(h.Name, h.Value)
	}
	for _, n := range connectionHeaders {
		r.Header.Del(n)
	}
	if deadline, ok := ctx.Deadline(); ok {
		r.Header.Set(headerDeadline, strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
	}
	r.Header.Set(headerDepth, strconv.Itoa(l.Depth()+1))
	return r, nil
}

// connectionHeaders belong to one connection and are not passed on, by RFC 9110, section 7.6.1.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// connectionOnly reports whether a header is meant for the connection alone; Content-Length is set anew.
func connectionOnly(h http.Header, name string) bool {
	if name == "Content-Length" || slices.Contains(connectionHeaders, name) {
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
