package objectclient

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"

	"wisteriaspoke.example/mesh/fault"
)

// readBackRemedy is the remedy of every write that may have run.
const readBackRemedy = "read the object to see whether the write stands"

// request is one call to the API; a call with a body is a write.
type request struct {
	method   string
	path     string
	query    url.Values
	body     []byte
	maxBytes int64 // of the response's body
}

func (r request) isWrite() bool { return r.body != nil }

// call sends a request once and returns the body of a successful response.
func (c *Client) call(ctx context.Context, r request) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.StoreTimeout)
	defer cancel()
	response, err := c.exchange(ctx, r)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, r.maxBytes+1))
	if err != nil || int64(len(data)) > r.maxBytes {
		// The status alone proves a refusal, even if the body is lost.
		if response.StatusCode >= http.StatusBadRequest {
			return nil, refusal(response.StatusCode, r.isWrite(), nil)
		}
		if err == nil {
			err = fmt.Errorf("the body has more than %d bytes", r.maxBytes)
		}
		return nil, unreadable(r.isWrite())(err)
	}
	if response.StatusCode < 200 || response.StatusCode > 299 {
		return nil, refusal(response.StatusCode, r.isWrite(), data)
	}
	return data, nil
}

// openWatch starts a watch; ctx bounds the whole watch, the transport's header timeout its start.
func (c *Client) openWatch(ctx context.Context, plural, name, revision string) (*http.Response, error) {
	query := url.Values{"watch": {"true"}}
	if revision != "" {
		query.Set("resourceVersion", revision)
	}
	if name != "" {
		query.Set("fieldSelector", "metadata.name="+name)
	}
	response, err := c.exchange(ctx, request{method: http.MethodGet, path: pathOf(plural, ""), query: query})
	if err != nil {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		return nil, err
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	defer response.Body.Close()
	// The transport's header timeout does not limit the time to read the body, and only the status is needed.
	return nil, refusal(response.StatusCode, false, nil)
}

// exchange sends a request once and returns the response, whose body is still to be read.
func (c *Client) exchange(ctx context.Context, r request) (*http.Response, error) {
	q, err := c.newRequest(ctx, r)
	if err != nil {
		return nil, err
	}
	var current *trackedConn
	sent := true // unless the connection proves otherwise
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		again := connected
		connected = true
		current = trackedConnOf(info.Conn)
		if current == nil {
			return
		}
		current.startRequest()
		if again {
			current.blockIfUnused() // prevents the transport's own retry of a read
		}
	}}
	// The transport's RoundTrip follows no redirects; http.Client does, and would send a request more than once.
	response, err := c.httpTransport().RoundTrip(q.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err == nil {
		return response, nil
	}
	if !connected || (current != nil && current.blockIfUnused()) {
		sent = false
	}
	if sent && r.isWrite() {
		return nil, fault.Wrap(fault.MayHaveRun, err, "the store did not answer a write", readBackRemedy)
	}
	return nil, fault.Wrap(fault.Unavailable, err, "the store did not answer", "check --store and try again later")
}

func (c *Client) newRequest(ctx context.Context, r request) (*http.Request, error) {
	target := strings.TrimSuffix(c.Store, "/") + r.path
	if len(r.query) > 0 {
		target += "?" + r.query.Encode()
	}
	var body io.Reader
	if r.isWrite() {
		body = bytes.NewReader(r.body)
	}
	q, err := http.NewRequestWithContext(ctx, r.method, target, body)
	if err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "the request is malformed", "check --store and the object's name")
	}
	q.GetBody = nil // without it the transport cannot send a write twice
	q.Header.Set("Accept", "application/json")
	if r.isWrite() {
		q.Header.Set("Content-Type", "application/json")
	}
	if c.StoreToken != "" {
		q.Header.Set("Authorization", "Bearer "+c.StoreToken)
	}
	return q, nil
}

// unreadable returns a function that wraps the error of a successful response whose body cannot be read.
func unreadable(write bool) func(error) error {
	return func(err error) error {
		if write {
			return fault.Wrap(fault.MayHaveRun, err, "the store's answer to a write cannot be read", readBackRemedy)
		}
		return fault.Wrap(fault.Unavailable, err, "the store's answer cannot be read", "try again later")
	}
}

// refusal returns the fault for a status other than success.
func refusal(code int, write bool, body []byte) error {
	what := fmt.Sprintf("the store answered %d", code)
	if message := decodeStatus(body).Message; message != "" {
		what += ": " + message
	}
	switch code {
	case http.StatusUnauthorized, http.StatusForbidden:
		return fault.New(fault.Denied, what, "check --store-token")
	case http.StatusNotFound:
		return fault.New(fault.NotFound, what, "check the name, or create the object")
	case http.StatusConflict:
		return fault.New(fault.Conflict, what, "read the object again and decide")
	case http.StatusGone:
		return fault.New(fault.Gone, what, "list again and watch from the list's version")
	case http.StatusTooManyRequests:
		return fault.New(fault.Throttled, what, "send fewer calls and try again later")
	case http.StatusRequestEntityTooLarge:
		return fault.New(fault.Throttled, what, "store less in one object")
	case http.StatusServiceUnavailable:
		return fault.New(fault.Unavailable, what, "try again later")
	}
	// A status below 200 is no response to a request.
	failed := code >= http.StatusInternalServerError || code < http.StatusOK
	if failed && write {
		// An error or a timeout behind the API does not show whether the write was applied.
		return fault.New(fault.MayHaveRun, what, readBackRemedy)
	}
	if failed {
		return fault.New(fault.Unavailable, what, "try again later")
	}
	return fault.New(fault.Invalid, what, "correct the object or --store")
}
