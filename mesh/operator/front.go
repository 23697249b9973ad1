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
	writerHeader   = "Wisteriaspoke-Writer"   // name of the operator
	deadlineHeader = "Wisteriaspoke-Deadline" // how long the client waits, in milliseconds
)

// maxOperationTime limits one operation. A client that waits longer than this and the accepter's grace of 5 s together
// receives an answer instead of timing out, even if the store is unavailable.
const maxOperationTime = 15 * time.Second

// maxWriterBytes limits a writer's name, which can occur 17 times in the head's history.
const maxWriterBytes = 64

// httpHandler decodes HTTP requests into requests of the API and encodes their answers.
type httpHandler struct {
	api     *api
	token   string
	context context.Context
}

// failure is the JSON format of an error.
type failure struct {
	Kind    fault.Kind `json:"kind"`
	Message string     `json:"what"`
	Remedy  string     `json:"remedy"`
}

func (h *httpHandler) serve(c *fasthttp.RequestCtx) {
	token, ok := strings.CutPrefix(string(c.Request.Header.Peek("Authorization")), "Bearer ")
	if !ok || subtle.ConstantTimeCompare([]byte(token), []byte(h.token)) != 1 {
		c.Response.Header.Set("WWW-Authenticate", "Bearer")
		writeAnswer(c, nil, fault.New(fault.Denied, "the bearer token is missing or wrong", "set --token or WISTERIASPOKE_TOKEN to the node's --operators-token"))
		return
	}
	ctx, cancel := context.WithTimeout(h.context, operationTimeout(string(c.Request.Header.Peek(deadlineHeader))))
	defer cancel()
	answer, err := h.api.handle(ctx, newRequest(c))
	writeAnswer(c, answer, err)
}

// operationTimeout returns the time limit of an operation, which leaves a fifth of the client's time for the network
// and for reading back a write.
func operationTimeout(milliseconds string) time.Duration {
	n, err := strconv.ParseInt(milliseconds, 10, 32)
	if err != nil || n <= 0 {
		return maxOperationTime
	}
	return min(maxOperationTime, time.Duration(n)*time.Millisecond*4/5)
}

func newRequest(c *fasthttp.RequestCtx) request {
	r := request{
		method: string(c.Method()),
		path:   string(c.Path()),
		body:   c.PostBody(),
		writer: sanitiseWriter(string(c.Request.Header.Peek(writerHeader))),
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

// sanitiseWriter returns a writer's name limited to maxWriterBytes, without spaces, control characters and non-ASCII
// characters, which could break up a line of text.
func sanitiseWriter(writer string) string {
	writer = strings.Map(func(r rune) rune {
		if r <= ' ' || r >= 0x7f {
			return -1
		}
		return r
	}, writer)
	return writer[:min(len(writer), maxWriterBytes)]
}

func writeAnswer(c *fasthttp.RequestCtx, answer any, err error) {
	if err != nil {
		c.SetStatusCode(httpStatus(fault.KindOf(err)))
		answer = newFailure(err)
	}
	c.SetContentType("application/json")
	e := json.NewEncoder(c)
	e.SetEscapeHTML(false)
	if encodeErr := e.Encode(answer); encodeErr != nil {
		c.SetStatusCode(fasthttp.StatusInternalServerError)
		c.SetBodyString(`{"kind":"","what":"the answer cannot be encoded","remedy":"report this as a fault of the program"}` + "\n")
	}
}

// handleReadError answers a request that the server could not read.
func (h *httpHandler) handleReadError(c *fasthttp.RequestCtx, err error) {
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		writeAnswer(c, nil, fault.New(fault.Throttled, "the request is larger than 16 MB", "send a smaller preset"))
		c.SetStatusCode(fasthttp.StatusRequestEntityTooLarge)
		return
	}
	writeAnswer(c, nil, fault.Wrap(fault.Invalid, err, "the request is malformed", "send an HTTP/1.1 request"))
}

// newFailure returns the JSON format of an error; in the message of joined errors, each line keeps its remedy.
func newFailure(err error) failure {
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

// httpStatus returns the HTTP status of an error kind; an error without a kind is an internal error.
func httpStatus(k fault.Kind) int {
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
