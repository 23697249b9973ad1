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

// dialTimeout is short, so that several servers can be tried within the timeout of one request.
const dialTimeout = 2 * time.Second

// Client sends requests to the operators' API; set its fields before use.
type Client struct {
	Servers []string // URLs or IP:PORT, tried in turn
	Token   string
	Writer  string        // name of the operator in the history
	Timeout time.Duration // limit of one request, over all servers tried
}

// notSentError marks an error before any byte of the request was sent, so that another server may be tried.
type notSentError struct{ cause error }

func (u *notSentError) Error() string { return u.cause.Error() }

func (u *notSentError) Unwrap() error { return u.cause }

// Call sends a request and decodes the answer into the value, unless that is nil. It returns the answer as received, or
// the error that the server answered with. A request that changes something is sent to the next server only if no byte
// of it was sent to the one before, since it might otherwise run twice.
func (c *Client) Call(method, path string, body []byte, into any) ([]byte, error) {
	if len(c.Servers) == 0 {
		return nil, fault.New(fault.Invalid, "no server is named", "set --server or WISTERIASPOKE_SERVER to a node's --operators address")
	}
	deadline := time.Now().Add(c.Timeout)
	var lastErr error
	for _, server := range c.Servers {
		answer, err := c.send(server, method, path, body, deadline)
		if err == nil {
			return answer, decodeAnswer(answer, into)
		}
		var f *fault.Error
		if errors.As(err, &f) {
			return nil, err
		}
		lastErr = fmt.Errorf("%s: %w", server, err)
		if !errors.As(err, new(*notSentError)) && method != fasthttp.MethodGet {
			return nil, fault.Wrap(fault.MayHaveRun, lastErr, "the server did not answer, so the outcome is unknown",
				"run wisteriaspoke presets history or wisteriaspoke moves list before you try again")
		}
	}
	return nil, fault.Wrap(fault.Unavailable, lastErr, "no server answers", "check --server, or try again later")
}

// send sends the request to one server. It returns a *fault.Error if the server answered with an error.
func (c *Client) send(server, method, path string, body []byte, deadline time.Time) ([]byte, error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(baseURL(server) + path)
	request.Header.SetMethod(method)
	request.Header.Set("Authorization", "Bearer "+c.Token)
	request.Header.Set("Wisteriaspoke-Writer", c.Writer)
	request.Header.Set("Wisteriaspoke-Deadline", strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	request.SetBody(body)
	httpClient := fasthttp.Client{
		// By default the library retries a PUT, which would be a second write.
		MaxIdemponentCallAttempts: 1,
		Dial: func(address string) (net.Conn, error) {
			conn, err := fasthttp.DialTimeout(address, dialTimeout)
			if err != nil {
				return nil, &notSentError{cause: err}
			}
			return conn, nil
		},
	}
	defer httpClient.CloseIdleConnections()
	err := httpClient.DoDeadline(request, response, deadline)
	if errors.Is(err, fasthttp.ErrConnectionClosed) {
		// The library's own text is advice to the authors of servers.
		return nil, errors.New("the connection ended without an answer")
	}
	if err != nil {
		return nil, err
	}
	answer := append([]byte(nil), response.Body()...)
	if response.StatusCode() != fasthttp.StatusOK {
		return nil, decodeError(response.StatusCode(), answer)
	}
	return answer, nil
}

// baseURL returns the URL of a server that is given as URL or as IP:PORT.
func baseURL(server string) string {
	if strings.Contains(server, "://") {
		return strings.TrimSuffix(server, "/")
	}
	return "http://" + server
}

// decodeError decodes the error in an answer with a status other than 200.
func decodeError(status int, answer []byte) error {
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

func decodeAnswer(answer []byte, into any) error {
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(answer, into); err != nil {
		return fault.Wrap(fault.Invalid, err, "the answer is not one of the operators' API", "check --server")
	}
	return nil
}
