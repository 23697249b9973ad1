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

// readBack is the remedy of every write that may have run.
const readBack = "read the object to see whether the write stands"

// request is one call; a call with a body is a write.
type request struct {
	method string
	path   string
	query  url.Values
	body   []byte
	limit  int64 // of the response's body, in bytes
}

func (r request) write() bool { return r.body != nil }

// call sends a request once and returns the body of a successful response.
func (c *Client) call(ctx context.Context, r request) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.StoreTimeout)
	defer cancel()
	response, err := c.exchange(ctx, r)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, r.limit+1))
	if err != nil || int64(len(data)) > r.limit {
		// The status alone is proof of a refusal, even when its text is lost.
		if response.StatusCode >= http.StatusBadRequest {
			return nil, refusal(response.StatusCode, r.write(), nil)
		}
		if err == nil {
			err = fmt.Errorf("the body has more than %d bytes", r.limit)
		}
		return nil, unreadable(r.write())(err)
	}
	if response.StatusCode < 200 || response.StatusCode > 299 {
		return nil, refusal(response.StatusCode, r.write(), data)
	}
	return data, nil
}

// open starts a watch; ctx bounds the whole watch, the transport's header timeout its start.
func (c *Client) open(ctx context.Context, plural, name, revision string) (*http.Response, error) {
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
	// The transport's header timeout does not bound the body, and only its status is needed.
	return nil, refusal(response.StatusCode, false, nil)
}

// exchange sends a request once and returns the response, whose body is still to be read.
func (c *Client) exchange(ctx context.Context, r request) (*http.Response, error) {
	q, err := c.compose(ctx, r)
	if err != nil {
		return nil, err
	}
	var current *gate
	sent := true // unless a gate proves otherwise
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		again := connected
		connected = true
		current = gateOf(info.Conn)
		if current == nil {
			return
		}
		current.renew()
		if again {
			current.shutUnused() // the transport's own retry of a read is not sent
		}
	}}
	// The transport's RoundTrip follows no redirect; a client would send a request more than once.
	response, err := c.connections().RoundTrip(q.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err == nil {
		return response, nil
	}
	if !connected || (current != nil && current.shutUnused()) {
		sent = false
	}
	if sent && r.write() {
		return nil, fault.Wrap(fault.MayHaveRun, err, "the store did not answer a write", readBack)
	}
	return nil, fault.Wrap(fault.Unavailable, err, "the store did not answer", "check --store and try again later")
}

func (c *Client) compose(ctx context.Context, r request) (*http.Request, error) {
	target := strings.TrimSuffix(c.Store, "/") + r.path
	if len(r.query) > 0 {
		target += "?" + r.query.Encode()
	}
	var body io.Reader
	if r.write() {
		body = bytes.NewReader(r.body)
	}
	q, err := http.NewRequestWithContext(ctx, r.method, target, body)
	if err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "the request is malformed", "check --store and the object's name")
	}
	q.GetBody = nil // without it the transport cannot send a write twice
	q.Header.Set("Accept", "application/json")
	if r.write() {
		q.Header.Set("Content-Type", "application/json")
	}
	if c.StoreToken != "" {
		q.Header.Set("Authorization", "Bearer "+c.StoreToken)
	}
	return q, nil
}

// unreadable returns the fault of a success whose body cannot be read.
func unreadable(write bool) func(error) error {
	return func(err error) error {
		if write {
			return fault.Wrap(fault.MayHaveRun, err, "the store's answer to a write cannot be read", readBack)
		}
		return fault.Wrap(fault.Unavailable, err, "the store's answer cannot be read", "try again later")
	}
}

// refusal returns the fault of a status that is not a success.
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
	if code >= http.StatusInternalServerError && write {
		// An error or a time-out behind the API says nothing of the write itself.
		return fault.New(fault.MayHaveRun, what, readBack)
	}
	if code >= http.StatusInternalServerError {
		return fault.New(fault.Unavailable, what, "try again later")
	}
	return fault.New(fault.Invalid, what, "correct the object or --store")
}
