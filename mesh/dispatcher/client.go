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
	"sync/atomic"
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
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			n, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &counted{Conn: n}, nil
		},
		DisableCompression:     true,
		MaxIdleConns:           max(1, slots),
		MaxIdleConnsPerHost:    max(1, slots),
		IdleConnTimeout:        idleLimit,
		MaxResponseHeaderBytes: maxHeader,
	}}
}

func (c client) close() { c.transport.CloseIdleConnections() }

// counted is a connection that counts the attempts to write to it.
type counted struct {
	net.Conn
	writes atomic.Int64
}

func (c *counted) Write(b []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(b)
}

// do sends the call and returns the whole response. An error is *unsent only if no byte of the call was sent.
func (c client) do(ctx context.Context, l call.Call) (answer.Fields, error) {
	for {
		f, reused, err := c.try(ctx, l)
		var u *unsent
		if reused && errors.As(err, &u) {
			// The upstream closed an idle connection, which says nothing about a new one.
			continue
		}
		return f, err
	}
}

func (c client) try(ctx context.Context, l call.Call) (f answer.Fields, reused bool, err error) {
	var conn *counted
	var before int64
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		reused = i.Reused
		if conn, _ = i.Conn.(*counted); conn != nil {
			before = conn.writes.Load()
		}
	}})
	r, err := c.request(ctx, l)
	if err != nil {
		return f, false, &unsent{cause: err}
	}
	p, err := c.transport.RoundTrip(r)
	if err == nil {
		f, err = whole(p, l.Method())
		return f, reused, err
	}
	if conn != nil {
		// A write that has not begun before this fails, so the count is final.
		conn.Close()
		if conn.writes.Load() != before {
			return f, reused, err
		}
	}
	return f, reused, &unsent{cause: err}
}

// whole returns the response with its whole body.
func whole(p *http.Response, method string) (answer.Fields, error) {
	defer p.Body.Close()
	if p.StatusCode < http.StatusOK {
		return answer.Fields{}, errUnframed // such as a switch of protocols, which is not passed on
	}
	body, err := read(p, method)
	if err != nil {
		return answer.Fields{}, err
	}
	f := answer.Fields{Status: p.StatusCode, Body: body, Retried: p.Header.Get(headerRetried) != ""}
	for n, vs := range p.Header {
		if strings.HasPrefix(n, headerPrefix) || connectionOnly(p.Header, n) || (n == "Content-Length" && method != http.MethodHead) {
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

// connectionOnly reports whether a header is meant for the connection alone.
func connectionOnly(h http.Header, name string) bool {
	if slices.Contains(connectionHeaders, name) {
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
