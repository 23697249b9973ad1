package client

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"wisteriaspoke.example/mesh/fault"
)

// dialTimeout is short, so that a list of servers is passed through within the time of one request.
const dialTimeout = 2 * time.Second

// Client sends requests; its fields are set before use.
type Client struct {
	Servers []string // URLs or IP:PORT, tried in turn
	Token   string
	Writer  string        // who asks, for the history
	Timeout time.Duration // for one request with all its attempts
}

// unreached marks an error after which the server got no byte of the request.
type unreached struct{ cause error }

func (u *unreached) Error() string { return u.cause.Error() }

func (u *unreached) Unwrap() error { return u.cause }

// Call sends a request and decodes the answer into the value, unless that is nil. It returns the answer as it came, or
// the server's error with its kind. A request that changes something goes to another server only if it did not reach
// the first.
func (c *Client) Call(method, path string, body []byte, into any) ([]byte, error) {
	if len(c.Servers) == 0 {
		return nil, fault.New(fault.Invalid, "no server is named", "set --server or WISTERIASPOKE_SERVER to a node's --operators address")
	}
	deadline := time.Now().Add(c.Timeout)
	var last error
	for _, server := range c.Servers {
		answer, err := c.send(server, method, path, body, deadline)
		if err == nil {
			return answer, decode(answer, into)
		}
		var f *fault.Error
		if errors.As(err, &f) {
			return nil, err
		}
		last = fmt.Errorf("%s: %w", server, err)
		if !errors.As(err, new(*unreached)) && method != fasthttp.MethodGet {
			return nil, fault.Wrap(fault.MayHaveRun, last, "the server did not answer, so the outcome is unknown",
				"run wisteriaspoke presets history or wisteriaspoke moves list before you try again")
		}
	}
	return nil, fault.Wrap(fault.Unavailable, last, "no server answers", "check --server, or try again later")
}

// send makes one attempt. Its error is a fault if the server answered with one.
func (c *Client) send(server, method, path string, body []byte, deadline time.Time) ([]byte, error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(address(server) + path)
	request.Header.SetMethod(method)
	request.Header.Set("Authorization", "Bearer "+c.Token)
	request.Header.Set("Wisteriaspoke-Writer", c.Writer)
	request.Header.Set("Wisteriaspoke-Deadline", strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	request.SetBody(body)
	h := fasthttp.Client{
		// The library sends a PUT again by itself, which would be a second write.
		MaxIdemponentCallAttempts: 1,
		Dial: func(address string) (net.Conn, error) {
			conn, err := fasthttp.DialTimeout(address, dialTimeout)
			if err != nil {
				return nil, &unreached{cause: err}
			}
			return conn, nil
		},
	}
	defer h.CloseIdleConnections()
	err := h.DoDeadline(request, response, deadline)
	if errors.Is(err, fasthttp.ErrConnectionClosed) {
		// The library's text gives advice to authors of servers.
		return nil, errors.New("the connection ended without an answer")
	}
	if err != nil {
		return nil, err
	}
	answer := append([]byte(nil), response.Body()...)
	if response.StatusCode() != fasthttp.StatusOK {
		return nil, refusal(response.StatusCode(), answer)
	}
	return answer, nil
}

func address(server string) string {
	if strings.Contains(server, "://") {
		return strings.TrimSuffix(server, "/")
	}
	return "http://" + server
}

// refusal returns the error in an answer.
func refusal(status int, answer []byte) error {
	var f struct {
		Kind   fault.Kind `json:"kind"`
		What   string     `json:"what"`
		Remedy string     `json:"remedy"`
	}
	if err := json.Unmarshal(answer, &f); err != nil || f.What == "" {
		return fault.New(fault.Invalid, fmt.Sprintf("the server answered with status %d, which is not the operators' API", status), "check --server")
	}
	return fault.New(f.Kind, f.What, f.Remedy)
}

func decode(answer []byte, into any) error {
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(answer, into); err != nil {
		return fault.Wrap(fault.Invalid, err, "the answer is not one of the operators' API", "check --server")
	}
	return nil
}
