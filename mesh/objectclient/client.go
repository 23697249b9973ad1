package objectclient

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"wisteriaspoke.example/mesh/event"
	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/kernel"
	"wisteriaspoke.example/mesh/object"
)

const (
	maxValueBytes = 1 << 20 // the platform's limit
	// Room for an object's metadata and, in a watch, the type of the change.
	maxObjectBytes = maxValueBytes + 16<<10
	// 4,800 endpoint sets of about 2 KB, the largest list at the target, are 10 MB.
	maxListBytes = 64 << 20

	// Shorter than the idle timeout of servers, so that a request is rarely sent on a connection that is being closed.
	idleTimeout  = 30 * time.Second
	maxIdleConns = 8

	// A watch receives nothing from a host that is down, so only TCP keep-alive probes detect it: after about 11 s.
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveCount    = 3
)

func init() {
	kernel.Register("objectclient", 10, func() kernel.Part { return &Client{} })
}

// Client sends each call once, on kept-alive connections; its methods may be called concurrently.
//
// It uses net/http rather than fasthttp, which has no hook that provides the connection of a request and so cannot
// distinguish a write that was not sent on a kept-alive connection from one that was.
type Client struct {
	Store        string        `help:"Base URL of the platform's object API." placeholder:"URL" env:"WISTERIASPOKE_STORE"`
	StoreToken   string        `help:"Bearer token for the object API; none if empty." env:"WISTERIASPOKE_STORE_TOKEN"`
	StoreTimeout time.Duration `help:"Limit of one call, and of the start of a watch." default:"2s" env:"WISTERIASPOKE_STORE_TIMEOUT"`

	transportOnce sync.Once
	transport     *http.Transport
}

// Check returns every invalid setting with its remedy.
func (c *Client) Check() error {
	var errs []error
	u, err := url.Parse(c.Store)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		remedy := "set it to http://IP:PORT or https://IP:PORT"
		errs = append(errs, fault.New(fault.Invalid, "--store is not a base URL", remedy))
	}
	if c.StoreTimeout <= 0 {
		remedy := "set it to a duration, for example 2s"
		errs = append(errs, fault.New(fault.Invalid, "--store-timeout is not positive", remedy))
	}
	return errors.Join(errs...)
}

// Start closes the kept-alive connections when ctx ends.
func (c *Client) Start(ctx context.Context, _ *kernel.Kernel) (<-chan error, error) {
	end := make(chan error, 1)
	go func() {
		<-ctx.Done()
		c.httpTransport().CloseIdleConnections()
		end <- nil
	}()
	return end, nil
}

// Get returns the named object; its faults are NotFound, Throttled, Denied and Unavailable.
func (c *Client) Get(ctx context.Context, plural, name string) (object.Object, error) {
	data, err := c.call(ctx, request{method: http.MethodGet, path: pathOf(plural, name), maxBytes: maxObjectBytes})
	if err != nil {
		return object.Object{}, err
	}
	return decodeObject(plural, data, unreadable(false))
}

// List returns all objects of a plural and the resourceVersion of the list, to watch from; its faults are Throttled,
// Denied and Unavailable.
func (c *Client) List(ctx context.Context, plural string) ([]object.Object, string, error) {
	data, err := c.call(ctx, request{method: http.MethodGet, path: pathOf(plural, ""), maxBytes: maxListBytes})
	if err != nil {
		return nil, "", err
	}
	return decodeList(plural, data)
}

// Create stores a new object and returns it with its revision; its faults are Invalid, Conflict (the name is taken),
// Throttled, Denied, Unavailable (not stored) and MayHaveRun.
func (c *Client) Create(ctx context.Context, o object.Object) (object.Object, error) {
	return c.storeObject(ctx, http.MethodPost, pathOf(o.Plural(), ""), object.New(o.Plural(), o.Name(), "", o.Spec()))
}

// Update replaces the object at o's revision and returns it with the new one; its faults are Invalid, NotFound,
// Conflict (the object has another revision), Throttled, Denied, Unavailable (not stored) and MayHaveRun.
func (c *Client) Update(ctx context.Context, o object.Object) (object.Object, error) {
	if o.Revision() == "" {
		return object.Object{}, fault.New(fault.Invalid, "an update without a revision", "read the object first")
	}
	return c.storeObject(ctx, http.MethodPut, pathOf(o.Plural(), o.Name()), o)
}

// Delete removes the object, only at o's revision unless that is empty; its faults are those of Update.
func (c *Client) Delete(ctx context.Context, o object.Object) error {
	body, err := encodeOptions(o.Revision())
	if err != nil {
		return err
	}
	_, err = c.call(ctx, request{
		method: http.MethodDelete, path: pathOf(o.Plural(), o.Name()), body: body, maxBytes: maxObjectBytes,
	})
	return err
}

// Watch calls emit with every change after the revision, in order, for all names when name is empty.
//
// It blocks until it ends and never returns nil: the error is ctx's own, or a fault of kind Gone (list again),
// Throttled, Denied, Invalid or Unavailable (watch again from the last revision seen). With an empty revision, it
// begins with all existing objects as Added.
func (c *Client) Watch(ctx context.Context, plural, name, revision string, emit func(event.Change, object.Object)) error {
	response, err := c.openWatch(ctx, plural, name, revision)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	err = readChanges(plural, response.Body, emit)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

func (c *Client) storeObject(ctx context.Context, method, path string, o object.Object) (object.Object, error) {
	if len(o.Spec()) > maxValueBytes {
		return object.Object{}, fault.New(fault.Throttled, "the value is over 1 MB", "store less in one object")
	}
	body, err := encodeObject(o)
	if err != nil {
		return object.Object{}, err
	}
	data, err := c.call(ctx, request{method: method, path: path, body: body, maxBytes: maxObjectBytes})
	if err != nil {
		return object.Object{}, err
	}
	return decodeObject(o.Plural(), data, unreadable(true))
}

func (c *Client) httpTransport() *http.Transport {
	c.transportOnce.Do(func() {
		dialer := &net.Dialer{Timeout: c.StoreTimeout, KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		}}
		c.transport = &http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := dialer.DialContext(ctx, network, address)
				if err != nil {
					return nil, err
				}
				return &trackedConn{Conn: conn}, nil
			},
			DisableCompression:    true, // the size limits apply to the bytes read
			IdleConnTimeout:       idleTimeout,
			MaxIdleConnsPerHost:   maxIdleConns,
			ResponseHeaderTimeout: c.StoreTimeout,
			TLSHandshakeTimeout:   c.StoreTimeout,
		}
	})
	return c.transport
}
