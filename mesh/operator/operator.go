package operator

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"time"

	"github.com/valyala/fasthttp"

	"wisteriaspoke.example/mesh/accepter"
	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/kernel"
)

func init() {
	kernel.Register("operator", 80, func() kernel.Part { return &Operator{} })
}

// Limits of the server; for comparison, a preset of 480 services of 1 KB each is half a megabyte.
const (
	maxBodyBytes   = 16 << 20
	maxConnections = 256
	readTimeout    = 30 * time.Second
	idleTimeout    = 60 * time.Second
)

// Operator serves the operators' API on its own address.
type Operator struct {
	Operators      string `help:"IP address and port of the operators' API; empty for none." placeholder:"IP:PORT" env:"WISTERIASPOKE_OPERATORS"`
	OperatorsToken string `help:"Bearer token that operators send." placeholder:"TOKEN" env:"WISTERIASPOKE_OPERATORS_TOKEN"`

	server *fasthttp.Server
}

// Check returns every bad setting with its remedy.
func (o *Operator) Check() error {
	if o.Operators == "" {
		return nil
	}
	var errs []error
	if _, err := netip.ParseAddrPort(o.Operators); err != nil {
		errs = append(errs, fault.Wrap(fault.Invalid, err, "--operators is not an address", "set it to IP:PORT, for example 10.0.0.1:7480"))
	}
	if o.OperatorsToken == "" {
		errs = append(errs, fault.New(fault.Invalid, "--operators-token is empty", "set it, as anyone could change the preset without it"))
	}
	return errors.Join(errs...)
}

// Start listens on the address if one is set.
func (o *Operator) Start(ctx context.Context, k *kernel.Kernel) (<-chan error, error) {
	if o.Operators == "" {
		return nil, nil
	}
	store, err := kernel.Need[accepter.Store](k)
	if err != nil {
		return nil, err
	}
	a := newAPI(store, time.Now)
	a.reporters = kernel.All[reporter](k)
	a.explainers = kernel.All[explainer](k)
	listener, err := net.Listen("tcp", o.Operators)
	if err != nil {
		return nil, fault.Wrap(fault.Unavailable, err, "--operators cannot be listened on", "free the address or set another one")
	}
	k.Log.Info("listening", "operators", listener.Addr().String())
	o.server = o.newServer(ctx, a)
	end := make(chan error, 1)
	go func() { end <- o.server.Serve(listener) }()
	context.AfterFunc(ctx, func() { _ = o.server.Shutdown() })
	return end, nil
}

// Drain stops listening and waits for the requests in progress.
func (o *Operator) Drain(ctx context.Context) error {
	if o.server == nil {
		return nil
	}
	return o.server.ShutdownWithContext(ctx)
}

func (o *Operator) newServer(ctx context.Context, a *api) *fasthttp.Server {
	h := &httpHandler{api: a, token: o.OperatorsToken, context: ctx}
	return &fasthttp.Server{
		Handler:               h.serve,
		ErrorHandler:          h.handleReadError,
		MaxRequestBodySize:    maxBodyBytes,
		Concurrency:           maxConnections,
		ReadTimeout:           readTimeout,
		IdleTimeout:           idleTimeout,
		CloseOnShutdown:       true,
		NoDefaultServerHeader: true,
	}
}
