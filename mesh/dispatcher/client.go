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
	// maxBody bounds a response, which is held whole until its end is seen.
	maxBody = 8 << 20
	// maxHeader bounds the headers of a response.
	maxHeader = 64 << 10
	dialLimit = time.Second
	idleLimit = 30 * time.Second
	// callLimit bounds a call without a deadline.
	callLimit = time.Minute
)

// Names of the mesh's own headers.
const (
	headerPrefix   = "Wisteriaspoke-"
	headerDeadline = headerPrefix + "Deadline"
	headerDepth    = headerPrefix + "Depth"
	headerRetried  = headerPrefix + "Retried"
)

var errUnframed = errors.New("the response says neither its length nor its end")

// unsent is the failure of a call of which no byte was sent.
type unsent struct {
	cause error
}

func (u *unsent) Error() string { return "not sent: " + u.cause.Error() }
func (u *unsent) Unwrap() error { return u.cause }

// client sends calls to the upstream over HTTP/1.1.
type client struct {
	address string
	host    *fasthttp.HostClient
}

func newClient(address string, slots int) client {
	return client{address: address, host: &fasthttp.HostClient{
		Addr:        address,
		DialTimeout: dial,
		// The limiter bounds the calls in flight to the slots; closing connections may overlap with new ones.
		MaxConns:                      2 * max(1, slots),
		MaxIdleConnDuration:           idleLimit,
		ReadBufferSize:                maxHeader,
		MaxIdemponentCallAttempts:     1,
		RetryIfErr:                    func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		NoDefaultUserAgentHeader:      true,
		DisablePathNormalizing:        true,
		DisableHeaderNamesNormalizing: false,
	}}
}

// dial connects to the upstream; a failure proves that nothing was sent.
func dial(address string, _ time.Duration) (net.Conn, error) {
	c, err := net.DialTimeout("tcp", address, dialLimit)
	if err != nil {
		return nil, &unsent{cause: err}
	}
	return &connection{TCPConn: c.(*net.TCPConn)}, nil
}

func (c client) close() { c.host.CloseIdleConnections() }

// do sends the call and returns the whole response. An error is *unsent only if no byte of the call was sent.
func (c client) do(ctx context.Context, l call.Call) (answer.Fields, error) {
	q := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(q)
	p := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(p)
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(callLimit)
	}
	encode(q, l, deadline)
	// Only a streamed response tells how its body ends; fasthttp gives a buffered one a length afterwards.
	p.StreamBody = true
	for {
		err := c.host.DoDeadline(q, p, deadline)
		if err == nil {
			return decode(p, l.Method())
		}
		if errors.Is(err, fasthttp.ErrNoFreeConns) {
			return answer.Fields{}, &unsent{cause: err}
		}
		// The upstream closed an idle connection, which says nothing about a new one.
		if !errors.Is(err, errStale) || ctx.Err() != nil {
			return answer.Fields{}, err
		}
	}
}

// encode writes the call as a request.
func encode(q *fasthttp.Request, l call.Call, deadline time.Time) {
	for _, h := range l.Headers() {
		q.Header.Add(h.Name, h.Value)
	}
	for _, n := range connectionHeaders {
		q.Header.Del(n)
	}
	q.Header.SetMethod(l.Method())
	q.Header.SetRequestURI(l.Path())
	q.Header.SetHost(l.Host())
	q.UseHostHeader = true
	left := max(1, time.Until(deadline).Milliseconds())
	q.Header.Set(headerDeadline, strconv.FormatInt(left, 10))
	q.Header.Set(headerDepth, strconv.Itoa(l.Depth()+1))
	q.SetBodyRaw(l.Body())
}

// decode returns the response, or an error if its body has no marked end or was cut short.
func decode(p *fasthttp.Response, method string) (answer.Fields, error) {
	status := p.StatusCode()
	if status < http.StatusOK {
		return answer.Fields{}, errUnframed // such as a switch of protocols, which is not passed on
	}
	f := answer.Fields{Status: status, Retried: len(p.Header.Peek(headerRetried)) > 0}
	if method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified {
		var err error
		if f.Body, err = read(p); err != nil {
			return answer.Fields{}, err
		}
	}
	named := string(p.Header.Peek("Connection"))
	for n, v := range p.Header.All() {
		name := string(n)
		if strings.HasPrefix(name, headerPrefix) || connectionOnly(named, name) || (name == "Content-Length" && method != http.MethodHead) {
			continue
		}
		f.Headers = append(f.Headers, call.Header{Name: name, Value: string(v)})
	}
	return f, nil
}

// read returns the whole body.
func read(p *fasthttp.Response) ([]byte, error) {
	length := p.Header.ContentLength()
	// fasthttp has a length of -2 for a body that ends with the connection. It cannot be told from one that was cut.
	if length == -2 {
		return nil, errUnframed
	}
	if length > maxBody {
		return nil, fasthttp.ErrBodyTooLarge
	}
	stream := p.BodyStream()
	if stream == nil {
		return nil, nil
	}
	body, err := bodyreader.Read(stream, length, maxBody)
	if err != nil {
		return nil, err
	}
	if len(body) > maxBody {
		return nil, fasthttp.ErrBodyTooLarge
	}
	return body, p.CloseBodyStream()
}

// connectionHeaders belong to one connection and are not passed on, by RFC 9110, section 7.6.1.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// connectionOnly reports whether a header is meant for the connection alone, given the Connection header.
func connectionOnly(connection, name string) bool {
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
