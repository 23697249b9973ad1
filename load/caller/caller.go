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
	// Every call in progress may need a connection of its own; the generator bounds the calls.
	maxConnections = 1 << 16
)

// Caller sends the same request to its targets in turn, each once: it never retries.
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

// Validate returns all settings that are wrong, with their remedies.
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

// Call returns the answer's status and Wisteriaspoke-Ran header; without an answer the status is "timeout" or "error".
func (c *Caller) Call() (status, ran string) {
	c.once.Do(c.prepare)
	q := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(q)
	r := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(r)
	target := c.Target[c.next.Add(1)%uint64(len(c.Target))]
	q.SetRequestURI(strings.TrimSuffix(target, "/") + c.Path)
	q.Header.SetMethod(c.Method)
	if c.Host != "" {
		q.UseHostHeader = true
		q.Header.SetHost(c.Host)
	}
	for _, h := range c.Header {
		name, value, _ := strings.Cut(h, "=")
		q.Header.Add(name, value)
	}
	if len(c.body) > 0 {
		q.SetBodyRaw(c.body)
	}
	err := c.client.DoTimeout(q, r, c.Timeout)
	if errors.Is(err, fasthttp.ErrTimeout) {
		return "timeout", ""
	}
	if err != nil {
		return "error", ""
	}
	return strconv.Itoa(r.StatusCode()), string(r.Header.Peek(ranHeader))
}

func (c *Caller) prepare() {
	c.body = bytes.Repeat([]byte("x"), c.Body)
	c.client.MaxConnsPerHost = maxConnections
	c.client.MaxIdemponentCallAttempts = 1
	c.client.NoDefaultUserAgentHeader = true
}
