package meter

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
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

// readier is a part that can be up without being able to work.
type readier interface {
	// Ready returns why the part cannot work now, or nil; it does not block.
	Ready() error
}

// Meter is an HTTP server for supervisors of the process.
type Meter struct {
	Admin string `help:"IP address and port of health, readiness and metrics; port 0 takes a free one." placeholder:"IP:PORT" default:"127.0.0.1:0" env:"WISTERIASPOKE_ADMIN"`

	registry metrics.Registry
	readiers []readier
	listener net.Listener
	http     *fasthttp.Server
}

// Check returns every bad setting with its remedy.
func (m *Meter) Check() error {
	if _, err := netip.ParseAddrPort(m.Admin); err != nil {
		return fault.Wrap(fault.Invalid, err, "--admin is not an address", "set it to IP:PORT, for example 127.0.0.1:7401")
	}
	return nil
}

// Start serves until ctx ends.
func (m *Meter) Start(ctx context.Context, k *kernel.Kernel) (<-chan error, error) {
	listener, err := net.Listen("tcp", m.Admin)
	if err != nil {
		return nil, fault.Wrap(fault.Unavailable, err, "cannot listen for supervisors", "set --admin to a free address of this host")
	}
	m.listener = listener
	m.readiers = kernel.All[readier](k)
	m.http = &fasthttp.Server{
		Handler:               m.handle,
		GetOnly:               true,
		NoDefaultServerHeader: true,
		ReadTimeout:           requestTimeout,
		WriteTimeout:          requestTimeout,
		Logger:                quiet{k.Log},
	}
	served := make(chan error, 1)
	go func() { served <- m.http.Serve(listener) }()
	end := make(chan error, 1)
	go func() { end <- m.run(ctx, served) }()
	k.Log.Info("supervisors accepted", "admin", m.Address())
	return end, nil
}

// quiet logs the HTTP server's own lines at the debug level.
type quiet struct{ log *slog.Logger }

func (q quiet) Printf(format string, args ...any) { q.log.Debug(fmt.Sprintf(format, args...)) }

// Address returns the address that is served; valid after Start.
func (m *Meter) Address() string { return m.listener.Addr().String() }

func (m *Meter) run(ctx context.Context, served chan error) error {
	select {
	case err := <-served:
		return fault.Wrap(fault.Unavailable, err, "health and metrics are no longer served", "")
	case <-ctx.Done():
	}
	limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	err := m.http.ShutdownWithContext(limited)
	if errors.Is(err, context.DeadlineExceeded) {
		// A supervisor that reads slowly does not hold up the stop.
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
		m.ready(r)
	case "/metrics":
		r.SetContentType("text/plain; version=0.0.4; charset=utf-8")
		r.SetBodyString(render(m.registry))
	default:
		r.Error("unknown path; use /healthz, /readyz or /metrics\n", fasthttp.StatusNotFound)
	}
}

// ready answers 200, or 503 with one reason in each line.
func (m *Meter) ready(r *fasthttp.RequestCtx) {
	var reasons []string
	for _, p := range m.readiers {
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
