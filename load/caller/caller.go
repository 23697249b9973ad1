package caller

import (
	"bytes"
	"errors"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"wisteriaspoke.example/mesh/fault"
)

const (
	ranHeader = "Wisteriaspoke-Ran"
	// maxConnections is so high because each call in progress may need its own connection; the generator limits the
	// calls in progress.
	maxConnections = 1 << 16
)

// Caller sends the same request to its targets in turn and never retries a call.
type Caller struct {
	Target  []string      `help:"Base URL to call; repeat it to call several in turn." placeholder:"URL" required:""`
	Method  string        `help:"HTTP method." default:"GET"`
	Path    string        `help:"Path with its query." default:"/"`
	Host    string        `help:"HTTP host; the target's if empty."`
	Body    int           `help:"Size of the request's body in bytes."`
	Header  []string      `help:"Header of the request; repeat it for several." placeholder:"NAME=VALUE" sep:"none"`
	Timeout time.Duration `help:"Limit of one call." default:"10s"`

	once   sync.Once
	client fasthttp.Client
	body   []byte
	next   atomic.Uint64
}

// Validate returns an error for each invalid setting, with its remedy.
func (c *Caller) Validate() error {
	var errs []error
	for _, t := range c.Target {
		u, err := url.Parse(t)
		if err != nil || u.Scheme != "http" || u.Host == "" {
			errs = append(errs, fault.New(fault.Invalid, "--target "+t+" is not a base URL", "set it to http://IP:PORT"))
		}
	}
	for _, h := range c.Header {
		if name, _, ok := strings.Cut(h, "="); !ok || name == "" {
			errs = append(errs, fault.New(fault.Invalid, "--header "+h+" has no name", "write NAME=VALUE"))
		}
	}
	if c.Body < 0 || c.Timeout <= 0 {
		remedy := "set --body to 0 or more and --timeout above 0"
		errs = append(errs, fault.New(fault.Invalid, "--body or --timeout is out of range", remedy))
	}
	return errors.Join(errs...)
}

// Call returns the response's status and Wisteriaspoke-Ran header, or "timeout" or "error" without a response.
func (c *Caller) Call() (status, ran string) {
	c.once.Do(c.prepare)
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	target := c.Target[c.next.Add(1)%uint64(len(c.Target))]
	request.SetRequestURI(strings.TrimSuffix(target, "/") + c.Path)
	request.Header.SetMethod(c.Method)
	if c.Host != "" {
		request.UseHostHeader = true
		request.Header.SetHost(c.Host)
	}
	for _, h := range c.Header {
		name, value, _ := strings.Cut(h, "=")
		request.Header.Add(name, value)
	}
	if len(c.body) > 0 {
		request.SetBodyRaw(c.body)
	}
	err := c.client.DoTimeout(request, response, c.Timeout)
	if errors.Is(err, fasthttp.ErrTimeout) {
		return "timeout", ""
	}
	if err != nil {
		return "error", ""
	}
	return strconv.Itoa(response.StatusCode()), string(response.Header.Peek(ranHeader))
}

func (c *Caller) prepare() {
	c.body = bytes.Repeat([]byte("x"), c.Body)
	c.client.MaxConnsPerHost = maxConnections
	c.client.MaxIdemponentCallAttempts = 1
	c.client.NoDefaultUserAgentHeader = true
}
