package pipeliner

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httputil"
	"regexp"
	"sync"
	"time"

	"golang.org/x/net/http/httpguts"

	"wisteriaspoke.example/mesh/bodyreader"
	"wisteriaspoke.example/mesh/holder"
	"wisteriaspoke.example/mesh/plan"
)

var (
	errHeadTooLong    = errors.New("the header is over the configuration's limit")
	errTooSlow        = errors.New("the request did not arrive in time")
	errBodyTooLong    = errors.New("the body is over the configuration's limit")
	errBodyOverMemory = errors.New("the body is over what this node can hold")
	errOverloaded     = errors.New("this node holds too many bodies")
)

var headReaders = sync.Pool{New: func() any { return bufio.NewReader(nil) }}

// readRequest reads a whole request. A request that cannot be read is returned with an answer that closes the connection;
// an error means that the connection has ended. turn is closed when all requests ahead are answered.
func (p *Pipeliner) readRequest(ctx context.Context, turn <-chan struct{}) (*exchange, error) {
	limits := p.Handler.Limits()
	p.Conn.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	q, err := p.readHead(limits.MaxHeaderBytes)
	x := &exchange{request: q, begun: time.Now()}
	if err != nil {
		return p.reject(x, err)
	}
	x.closes = q.Close || !q.ProtoAtLeast(1, 1)
	if q.ContentLength > limits.MaxBodyBytes {
		return p.reject(x, errBodyTooLong)
	}
	if err := p.checkRoom(q.ContentLength, p.Held.Load()+q.ContentLength); err != nil {
		return p.reject(x, err)
	}
	if q.ContentLength != 0 {
		if httpguts.HeaderValuesContainsToken(q.Header["Expect"], "100-continue") {
			if !await(ctx, turn) {
				return nil, context.Cause(ctx)
			}
			if _, err := io.WriteString(p.Conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
				return nil, err
			}
		}
		p.Conn.SetReadDeadline(time.Now().Add(bodyTimeout))
		if x.body, err = p.readBody(x, limits); err != nil {
			return p.reject(x, err)
		}
	}
	q.Header.Del("Expect")
	p.Conn.SetReadDeadline(time.Time{})
	return x, nil
}

// reject returns x with the answer to an unreadable request, or an error if the connection has ended.
func (p *Pipeliner) reject(x *exchange, err error) (*exchange, error) {
	p.release(x)
	status := http.StatusBadRequest
	switch {
	case isTimeout(err):
		status, err = http.StatusRequestTimeout, errTooSlow
	case errors.Is(err, errHeadTooLong):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, errBodyTooLong), errors.Is(err, errBodyOverMemory):
		status = http.StatusRequestEntityTooLarge
	case errors.Is(err, errOverloaded):
		status = http.StatusServiceUnavailable
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return nil, err
	}
	x.closes = true
	x.response = p.Handler.Reject(x.request, status, err.Error())
	return x, nil
}

// readHead reads and parses the request line and the headers. It does not read beyond them.
func (p *Pipeliner) readHead(limit int) (*http.Request, error) {
	head, err := p.readLines(limit)
	if err != nil {
		return nil, err
	}
	return parseHead(head)
}

// readLines reads lines up to and with an empty one, of limit bytes together.
func (p *Pipeliner) readLines(limit int) ([]byte, error) {
	var lines bytes.Buffer
	for {
		line, err := p.readLine(&lines, limit)
		if err != nil {
			return nil, err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return lines.Bytes(), nil
		}
	}
}

// readLine appends a line to lines and returns it, valid until the next change of lines.
func (p *Pipeliner) readLine(lines *bytes.Buffer, limit int) ([]byte, error) {
	begin := lines.Len()
	for {
		part, err := p.reader.ReadSlice('\n')
		if lines.Len()+len(part) > limit {
			return nil, errHeadTooLong
		}
		lines.Write(part)
		if err == nil {
			return lines.Bytes()[begin:], nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
	}
}

// quoted matches what an error quotes of a head. It may be a caller's key and is left out of reasons, which are logged.
var quoted = regexp.MustCompile(`"(?:[^"\\]|\\.)*"`)

// parseHead parses a complete head.
func parseHead(head []byte) (*http.Request, error) {
	r := headReaders.Get().(*bufio.Reader)
	defer headReaders.Put(r)
	r.Reset(bytes.NewReader(head))
	q, err := http.ReadRequest(r)
	if err != nil {
		// The kind of err is dropped: the end of the head is not that of the connection.
		return nil, errors.New("malformed request: " + quoted.ReplaceAllString(err.Error(), `"..."`))
	}
	switch {
	case q.ProtoMajor != 1:
		return nil, errors.New("unsupported protocol version " + q.Proto)
	case q.Host == "" && q.ProtoAtLeast(1, 1), !httpguts.ValidHostHeader(q.Host):
		return nil, errors.New("missing or malformed Host header")
	}
	for name, values := range q.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return nil, errors.New("invalid header name")
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return nil, errors.New("invalid header value")
			}
		}
	}
	return q, nil
}

// heldReader adds the bytes of a body to those that this node holds, and fails when these exceed the limit.
type heldReader struct {
	io.Reader
	pipeliner *Pipeliner
	exchange  *exchange
}

func (r *heldReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	r.exchange.held += int64(n)
	switch x := r.exchange; {
	case x.held <= holder.CountedFrom:
	case x.hold == nil:
		x.hold = r.pipeliner.Holder.Force(x.held)
	default:
		x.hold.Extend(int64(n))
	}
	if full := r.pipeliner.checkRoom(r.exchange.held, r.pipeliner.Held.Add(int64(n))); full != nil {
		return n, full
	}
	return n, err
}

// checkRoom returns an error if a body of this size makes the bytes held, which are total with it, exceed the limit.
func (p *Pipeliner) checkRoom(size, total int64) error {
	switch {
	case size > p.Limit:
		return errBodyOverMemory
	case size > holder.CountedFrom && total > p.Limit:
		return errOverloaded
	}
	return nil
}

// readBody reads the body that follows the head of x.
func (p *Pipeliner) readBody(x *exchange, limits plan.Limits) ([]byte, error) {
	limit, length := int(limits.MaxBodyBytes), x.request.ContentLength
	if length > 0 {
		stream := &heldReader{io.LimitReader(p.reader, length), p, x}
		body, err := bodyreader.Read(stream, int(length), limit)
		if err == nil && int64(len(body)) < length {
			err = io.ErrUnexpectedEOF
		}
		return body, err
	}
	body, err := bodyreader.Read(&heldReader{httputil.NewChunkedReader(p.reader), p, x}, 0, limit)
	if err != nil {
		return nil, err
	}
	if len(body) > limit {
		return nil, errBodyTooLong
	}
	// The trailers are dropped.
	_, err = p.readLines(limits.MaxHeaderBytes)
	return body, err
}

// release drops the body of x and what it holds.
func (p *Pipeliner) release(x *exchange) {
	p.Held.Add(-x.held)
	x.hold.Release()
	x.body, x.held, x.hold = nil, 0, nil
}
