package meter

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/kernel"
)

const (
	requestTimeout = 5 * time.Second
	stopTimeout    = time.Second
)

func init() {
	kernel.Register("meter", 90, func() kernel.Part { return &Meter{registry: metrics.DefaultRegistry} })
}

// readinessChecker is implemented by parts that can be running but not ready.
type readinessChecker interface {
	// Ready returns why the part is not ready, or nil; it must not block.
	Ready() error
}

// pageServer is implemented by parts that serve a page at the admin address.
type pageServer interface {
	// Page returns the value that the page of the path shows as JSON, or an error for the client; it must not block. It
	// returns false if the path is not one of the part.
	Page(path string, query url.Values) (value any, found bool, err error)
}

// Meter serves health, readiness and metrics of the process over HTTP.
type Meter struct {
	Admin string `help:"IP address and port of health, readiness and metrics; port 0 takes a free one." placeholder:"IP:PORT" default:"127.0.0.1:0" env:"WISTERIASPOKE_ADMIN"`

	registry          metrics.Registry
	readinessCheckers []readinessChecker
	pageServers       []pageServer
	listener          net.Listener
	http              *fasthttp.Server
}

// Check returns every bad setting with its remedy.
func (m *Meter) Check() error {
	if _, err := netip.ParseAddrPort(m.Admin); err != nil {
		return fault.Wrap(fault.Invalid, err, "--admin is not an address", "set it to IP:PORT, for example 127.0.0.1:7401")
	}
	return nil
}

// Start serves until ctx is cancelled.
func (m *Meter) Start(ctx context.Context, k *kernel.Kernel) (<-chan error, error) {
	listener, err := net.Listen("tcp", m.Admin)
	if err != nil {
		return nil, fault.Wrap(fault.Unavailable, err, "cannot listen for health and metrics", "set --admin to a free address of this host")
	}
	m.listener = listener
	m.readinessCheckers = kernel.All[readinessChecker](k)
	m.pageServers = kernel.All[pageServer](k)
	m.http = &fasthttp.Server{
		Handler:               m.handle,
		GetOnly:               true,
		NoDefaultServerHeader: true,
		ReadTimeout:           requestTimeout,
		WriteTimeout:          requestTimeout,
		Logger:                debugLogger{k.Log},
	}
	served := make(chan error, 1)
	go func() { served <- m.http.Serve(listener) }()
	end := make(chan error, 1)
	go func() { end <- m.run(ctx, served) }()
	k.Log.Info("serving health and metrics", "admin", m.Address())
	return end, nil
}

// debugLogger logs the HTTP server's messages at the debug level.
type debugLogger struct{ log *slog.Logger }

func (q debugLogger) Printf(format string, args ...any) { q.log.Debug(fmt.Sprintf(format, args...)) }

// Address returns the listening address; valid after Start.
func (m *Meter) Address() string { return m.listener.Addr().String() }

func (m *Meter) run(ctx context.Context, served chan error) error {
	select {
	case err := <-served:
		return fault.Wrap(fault.Unavailable, err, "health and metrics are no longer served", "")
	case <-ctx.Done():
	}
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	err := m.http.ShutdownWithContext(stopCtx)
	if errors.Is(err, context.DeadlineExceeded) {
		// A client that reads slowly must not delay the stop.
		err = nil
	}
	return errors.Join(err, <-served)
}

func (m *Meter) handle(r *fasthttp.RequestCtx) {
	r.SetContentType("text/plain; charset=utf-8")
	switch string(r.Path()) {
	case "/healthz":
		r.SetBodyString("ok\n")
	case "/readyz":
		m.handleReadiness(r)
	case "/metrics":
		r.SetContentType("text/plain; version=0.0.4; charset=utf-8")
		r.SetBodyString(render(m.registry))
	default:
		if m.handlePage(r) {
			return
		}
		r.Error("unknown path; use /healthz, /readyz or /metrics\n", fasthttp.StatusNotFound)
	}
}

// handleReadiness responds with 200, or with 503 and one reason per line.
func (m *Meter) handleReadiness(r *fasthttp.RequestCtx) {
	var reasons []string
	for _, p := range m.readinessCheckers {
		if err := p.Ready(); err != nil {
			reasons = append(reasons, err.Error())
		}
	}
	if len(reasons) == 0 {
		r.SetBodyString("ready\n")
		return
	}
	r.SetStatusCode(fasthttp.StatusServiceUnavailable)
	r.SetBodyString(strings.Join(reasons, "\n") + "\n")
}

// handlePage responds with the page of another part as JSON, or with its error. It returns false if no part has the path.
func (m *Meter) handlePage(r *fasthttp.RequestCtx) bool {
	query, err := url.ParseQuery(string(r.URI().QueryString()))
	if err != nil {
		return false
	}
	for _, p := range m.pageServers {
		value, found, err := p.Page(string(r.Path()), query)
		if !found {
			continue
		}
		if err != nil {
			r.SetStatusCode(fasthttp.StatusBadRequest)
			value = describe(err)
		}
		body, err := json.Marshal(value)
		if err != nil {
			r.Error(err.Error()+"\n", fasthttp.StatusInternalServerError)
			return true
		}
		r.SetContentType("application/json")
		r.SetBody(append(body, '\n'))
		return true
	}
	return false
}

// problem is the JSON form of an error.
type problem struct {
	Kind   fault.Kind `json:"kind"`
	What   string     `json:"what"`
	Remedy string     `json:"remedy"`
}

func describe(err error) problem {
	var f *fault.Error
	if !errors.As(err, &f) {
		return problem{What: err.Error()}
	}
	return problem{Kind: f.Kind(), What: strings.TrimSuffix(f.Error(), "; "+f.Remedy()), Remedy: f.Remedy()}
}
