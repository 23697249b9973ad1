package operator

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"wisteriaspoke.example/mesh/fault"
)

// Headers of a request.
const (
	writerHeader   = "Wisteriaspoke-Writer"   // who asks
	deadlineHeader = "Wisteriaspoke-Deadline" // milliseconds that the client waits
)

// operationLimit bounds one operation. A client that waits longer than this and the accepter's grace of 5 s gets a
// plain answer, even when the store is out.
const operationLimit = 15 * time.Second

// writerLimit bounds a writer's name, which stands in the head's history 17 times.
const writerLimit = 64

// front turns HTTP into requests of the API and back.
type front struct {
	api     *api
	token   string
	context context.Context
}

// failure is the format of an error.
type failure struct {
	Kind    fault.Kind `json:"kind"`
	Message string     `json:"what"`
	Remedy  string     `json:"remedy"`
}

func (f *front) serve(c *fasthttp.RequestCtx) {
	given, ok := strings.CutPrefix(string(c.Request.Header.Peek("Authorization")), "Bearer ")
	if !ok || subtle.ConstantTimeCompare([]byte(given), []byte(f.token)) != 1 {
		c.Response.Header.Set("WWW-Authenticate", "Bearer")
		reply(c, nil, fault.New(fault.Denied, "the bearer token is missing or wrong", "set --token or WISTERIASPOKE_TOKEN to the node's --operators-token"))
		return
	}
	ctx, cancel := context.WithTimeout(f.context, limit(string(c.Request.Header.Peek(deadlineHeader))))
	defer cancel()
	answer, err := f.api.handle(ctx, newRequest(c))
	reply(c, answer, err)
}

// limit returns the time for an operation, which leaves a fifth of the client's time for the way and the read back.
func limit(milliseconds string) time.Duration {
	n, err := strconv.ParseInt(milliseconds, 10, 32)
	if err != nil || n <= 0 {
		return operationLimit
	}
	return min(operationLimit, time.Duration(n)*time.Millisecond*4/5)
}

func newRequest(c *fasthttp.RequestCtx) request {
	r := request{
		method: string(c.Method()),
		path:   string(c.Path()),
		body:   c.PostBody(),
		writer: clean(string(c.Request.Header.Peek(writerHeader))),
		query:  map[string][]string{},
	}
	for key, value := range c.QueryArgs().All() {
		r.query[string(key)] = append(r.query[string(key)], string(value))
	}
	if r.writer == "" {
		r.writer = c.RemoteIP().String()
	}
	return r
}

// clean returns a writer's name without characters that disturb a line of text.
func clean(writer string) string {
	writer = strings.Map(func(r rune) rune {
		if r <= ' ' || r >= 0x7f {
			return -1
		}
		return r
	}, writer)
	return writer[:min(len(writer), writerLimit)]
}

func reply(c *fasthttp.RequestCtx, answer any, err error) {
	if err != nil {
		c.SetStatusCode(status(fault.KindOf(err)))
		answer = describe(err)
	}
	c.SetContentType("application/json")
	e := json.NewEncoder(c)
	e.SetEscapeHTML(false)
	if encoding := e.Encode(answer); encoding != nil {
		c.SetStatusCode(fasthttp.StatusInternalServerError)
		c.SetBodyString(`{"kind":"","what":"the answer cannot be encoded","remedy":"report this as a fault of the program"}` + "\n")
	}
}

// refuse answers a request that the server could not read.
func (f *front) refuse(c *fasthttp.RequestCtx, err error) {
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		reply(c, nil, fault.New(fault.Throttled, "the request is larger than 16 MB", "send a smaller preset"))
		c.SetStatusCode(fasthttp.StatusRequestEntityTooLarge)
		return
	}
	reply(c, nil, fault.Wrap(fault.Invalid, err, "the request is malformed", "send an HTTP/1.1 request"))
}

// describe returns the format of an error; of several joined errors, the remedies stay with each line.
func describe(err error) failure {
	f := failure{Kind: fault.KindOf(err), Message: err.Error()}
	if joined, ok := err.(interface{ Unwrap() []error }); ok && len(joined.Unwrap()) > 1 {
		f.Remedy = "correct these and try again"
		return f
	}
	var e *fault.Error
	if errors.As(err, &e) {
		f.Remedy = e.Remedy()
		f.Message = strings.TrimSuffix(f.Message, "; "+e.Remedy())
	}
	return f
}

// status returns the HTTP status of an error; an error without a kind is a fault of the program.
func status(k fault.Kind) int {
	switch k {
	case fault.Invalid:
		return fasthttp.StatusBadRequest
	case fault.Denied:
		return fasthttp.StatusUnauthorized
	case fault.NotFound:
		return fasthttp.StatusNotFound
	case fault.Conflict:
		return fasthttp.StatusConflict
	case fault.Gone:
		return fasthttp.StatusGone
	case fault.Throttled:
		return fasthttp.StatusTooManyRequests
	case fault.Unavailable, fault.NotRun:
		return fasthttp.StatusServiceUnavailable
	case fault.MayHaveRun:
		return fasthttp.StatusGatewayTimeout
	}
	return fasthttp.StatusInternalServerError
}
