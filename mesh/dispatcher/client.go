package dispatcher

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"wisteriaspoke.example/mesh/answer"
	"wisteriaspoke.example/mesh/bodyreader"
	"wisteriaspoke.example/mesh/call"
)

const (
	// maxBodySize bounds the body of a response, which is buffered until it is complete.
	maxBodySize = 8 << 20
	// maxHeaderSize bounds the headers of a response.
	maxHeaderSize = 64 << 10
	dialTimeout   = time.Second
	idleTimeout   = 30 * time.Second
	// defaultTimeout bounds a call without a deadline.
	defaultTimeout = time.Minute
)

// Names of headers between the mesh and the upstream.
const (
	headerPrefix   = "Wisteriaspoke-"
	headerDeadline = headerPrefix + "Deadline"
	headerDepth    = headerPrefix + "Depth"
	headerRetried  = headerPrefix + "Retried"
)

var errUnframed = errors.New("the response has neither a length nor chunked encoding")

// unsentError is the error of a call of which no byte was sent.
type unsentError struct {
	cause error
}

func (u *unsentError) Error() string { return "not sent: " + u.cause.Error() }
func (u *unsentError) Unwrap() error { return u.cause }

// client sends calls to the upstream over HTTP/1.1.
type client struct {
	address string
	host    *fasthttp.HostClient
}

func newClient(address string, slots int) client {
	return client{address: address, host: &fasthttp.HostClient{
		Addr:        address,
		DialTimeout: dial,
		// The limiter bounds the calls in flight to the slots, but connections that are being closed may still count.
		MaxConns:                      2 * max(1, slots),
		MaxIdleConnDuration:           idleTimeout,
		ReadBufferSize:                maxHeaderSize,
		MaxIdemponentCallAttempts:     1,
		RetryIfErr:                    func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		NoDefaultUserAgentHeader:      true,
		DisablePathNormalizing:        true,
		DisableHeaderNamesNormalizing: false,
	}}
}

// dial connects to the upstream; a failure proves that nothing was sent.
func dial(address string, _ time.Duration) (net.Conn, error) {
	c, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, &unsentError{cause: err}
	}
	return &connection{TCPConn: c.(*net.TCPConn)}, nil
}

func (c client) close() { c.host.CloseIdleConnections() }

// do sends the call and returns the complete response. An error is *unsentError only if no byte of the call was sent.
func (c client) do(ctx context.Context, cl call.Call) (answer.Fields, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(defaultTimeout)
	}
	encode(req, cl, deadline)
	// Only a streamed response shows how its body is delimited; fasthttp sets the length of a buffered one afterwards.
	resp.StreamBody = true
	for {
		if ctx.Err() != nil {
			return answer.Fields{}, &unsentError{cause: ctx.Err()}
		}
		err := c.host.DoDeadline(req, resp, deadline)
		if err == nil {
			return decode(resp, cl.Method())
		}
		if errors.Is(err, fasthttp.ErrNoFreeConns) {
			return answer.Fields{}, &unsentError{cause: err}
		}
		// If the upstream closed an idle connection, a new connection may still succeed.
		if !errors.Is(err, errStale) || ctx.Err() != nil {
			return answer.Fields{}, err
		}
	}
}

// encode copies the call into a request.
func encode(req *fasthttp.Request, cl call.Call, deadline time.Time) {
	for _, h := range cl.Headers() {
		req.Header.Add(h.Name, h.Value)
	}
	for _, n := range connectionHeaders {
		req.Header.Del(n)
	}
	req.Header.SetMethod(cl.Method())
	req.Header.SetRequestURI(cl.Path())
	req.Header.SetHost(cl.Host())
	req.UseHostHeader = true
	timeLeft := max(1, time.Until(deadline).Milliseconds())
	req.Header.Set(headerDeadline, strconv.FormatInt(timeLeft, 10))
	req.Header.Set(headerDepth, strconv.Itoa(cl.Depth()+1))
	req.SetBodyRaw(cl.Body())
}

// decode returns the response, or an error if its body is not delimited or is incomplete.
func decode(resp *fasthttp.Response, method string) (answer.Fields, error) {
	status := resp.StatusCode()
	if status < http.StatusOK {
		return answer.Fields{}, errUnframed // such as 101 Switching Protocols, which is not supported
	}
	f := answer.Fields{Status: status, Retried: len(resp.Header.Peek(headerRetried)) > 0}
	if method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified {
		var err error
		if f.Body, err = readBody(resp); err != nil {
			return answer.Fields{}, err
		}
	}
	connection := string(resp.Header.Peek("Connection"))
	for n, v := range resp.Header.All() {
		name := string(n)
		if strings.HasPrefix(name, headerPrefix) || isHopByHop(connection, name) ||
			(name == "Content-Length" && method != http.MethodHead) {
			continue
		}
		f.Headers = append(f.Headers, call.Header{Name: name, Value: string(v)})
	}
	return f, nil
}

// readBody returns the complete body.
func readBody(resp *fasthttp.Response) ([]byte, error) {
	length := resp.Header.ContentLength()
	// fasthttp returns the length -2 for a body that ends with the connection. Such a body cannot be distinguished from
	// one that was cut short.
	if length == -2 {
		return nil, errUnframed
	}
	if length > maxBodySize {
		return nil, fasthttp.ErrBodyTooLarge
	}
	stream := resp.BodyStream()
	if stream == nil {
		return nil, nil
	}
	body, err := bodyreader.Read(stream, length, maxBodySize)
	if err != nil {
		return nil, err
	}
	if len(body) > maxBodySize {
		return nil, fasthttp.ErrBodyTooLarge
	}
	return body, resp.CloseBodyStream()
}

// connectionHeaders are the hop-by-hop headers, which are not forwarded (RFC 9110, section 7.6.1).
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// isHopByHop reports whether the header applies to a single connection, given the value of the Connection header.
func isHopByHop(connection, name string) bool {
	if slices.Contains(connectionHeaders, name) {
		return true
	}
	for n := range strings.SplitSeq(connection, ",") {
		if strings.EqualFold(strings.TrimSpace(n), name) {
			return true
		}
	}
	return false
}
