package admitter

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"wisteriaspoke.example/mesh/answer"
	"wisteriaspoke.example/mesh/call"
	"wisteriaspoke.example/mesh/event"
	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/kernel"
	"wisteriaspoke.example/mesh/machine"
	"wisteriaspoke.example/mesh/retrier"
	"wisteriaspoke.example/mesh/snapshot"
)

func init() {
	kernel.Register("admitter", 60, func() kernel.Part { return &Admitter{} })
}

// stopLimit bounds the end of the last calls after the drain.
const stopLimit = 2 * time.Second

// settler knows which node this is.
type settler interface {
	// Config returns what is known of this node.
	Config() machine.Config
}

// source has the state that routes calls.
type source interface {
	// Snapshot returns the state in force, or nil before the first configuration.
	Snapshot() *snapshot.Snapshot
}

// executor runs calls on the local upstream.
type executor interface {
	// Serve runs the call or refuses it; only Ran "no" proves that the upstream got no byte of it.
	Serve(ctx context.Context, c call.Call) answer.Answer
	// IsLocalCaller reports whether a caller at the address is on the host of the local upstream.
	IsLocalCaller(netip.Addr) bool
	// Leave refuses new calls from now on.
	Leave()
}

// linker reaches the nodes of other endpoints.
type linker interface {
	// Call runs the call at the peer. Its errors are of kind NotRun or MayHaveRun.
	Call(ctx context.Context, peer string, c call.Call) (answer.Answer, error)
}

// reserver makes a call with a key run at most once.
type reserver interface {
	// RunOnce calls run if the call's key is proven new, and answers the call otherwise.
	RunOnce(ctx context.Context, c call.Call, run func(context.Context) answer.Answer) answer.Answer
}

// injector hands events to the control machines.
type injector interface {
	// Inject queues the event and does not block for long.
	Inject(event.Event)
}

// Admitter takes calls over HTTP.
type Admitter struct {
	Calls string `help:"IP address and port where this node takes calls over HTTP." placeholder:"IP:PORT" env:"WISTERIASPOKE_CALLS"`

	log      *slog.Logger
	node     string
	source   source
	executor executor
	linker   linker
	reserver reserver // nil in programs without the part
	injector injector
	random   func(int) int

	server   *fasthttp.Server
	leaving  atomic.Bool
	finished chan struct{} // gets a value when a call ends while leaving
	bounds   bounds
	budget   retrier.Budget
	budgets  registry[string, retrier.Budget]
	tally    tally
	meter    meter
	demands  demands
}

// Check returns every bad setting with its remedy.
func (a *Admitter) Check() error {
	if _, err := netip.ParseAddrPort(a.Calls); err != nil {
		return fault.Wrap(fault.Invalid, err, "--calls is not an address", "set it to IP:PORT, for example 10.0.0.1:7480")
	}
	return nil
}

// Start listens for calls.
func (a *Admitter) Start(ctx context.Context, k *kernel.Kernel) (<-chan error, error) {
	if err := a.find(k); err != nil {
		return nil, err
	}
	a.prepare()
	l, err := net.Listen("tcp", a.Calls)
	if err != nil {
		return nil, fault.Wrap(fault.Unavailable, err, "--calls cannot be listened on", "set it to a free port of this host")
	}
	a.log.Info("taking calls", "calls", l.Addr().String())
	end := make(chan error, 1)
	go func() { end <- a.run(ctx, l) }()
	return end, nil
}

func (a *Admitter) find(k *kernel.Kernel) error {
	a.log = k.Log
	s, err := kernel.Need[settler](k)
	if err != nil {
		return err
	}
	a.node = s.Config().Node
	if a.source, err = kernel.Need[source](k); err != nil {
		return err
	}
	if a.executor, err = kernel.Need[executor](k); err != nil {
		return err
	}
	if a.linker, err = kernel.Need[linker](k); err != nil {
		return err
	}
	if rs := kernel.All[reserver](k); len(rs) > 0 {
		a.reserver = rs[0]
	}
	a.injector, err = kernel.Need[injector](k)
	return err
}

func (a *Admitter) prepare() {
	a.random = rand.IntN
	a.meter.registry = metrics.DefaultRegistry
	a.finished = make(chan struct{}, 1)
	a.server = &fasthttp.Server{
		Handler:      a.handle,
		ErrorHandler: a.failed,
		// The listener refuses connections over the limit with a reason; this limit must not come first.
		Concurrency:                  maxConnections + 1,
		ReadBufferSize:               maxHeaders,
		ReadTimeout:                  requestLimit,
		WriteTimeout:                 requestLimit,
		IdleTimeout:                  idleLimit,
		MaxRequestBodySize:           buffered,
		StreamRequestBody:            true, // so that a body is read only within the bounds
		DisablePreParseMultipartForm: true,
		NoDefaultServerHeader:        true,
		NoDefaultContentType:         true,
		Logger:                       slog.NewLogLogger(a.log.Handler(), slog.LevelDebug),
	}
}

// run serves until ctx ends and injects the outcomes of calls once a second.
func (a *Admitter) run(ctx context.Context, l net.Listener) error {
	served := make(chan error, 1)
	go func() { served <- a.server.Serve(&listener{Listener: l}) }()
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			a.flush()
		case err := <-served:
			return err
		case <-ctx.Done():
			err := a.stop()
			<-served
			return err
		}
	}
}

func (a *Admitter) stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopLimit)
	defer cancel()
	err := a.server.ShutdownWithContext(ctx)
	if err != nil && a.bounds.calls.Load() == 0 {
		// fasthttp waits for 5 s for connections that never sent a request; they carry no call that could be lost.
		a.log.Debug("idle connections were open at the end", "error", err)
		return nil
	}
	if err != nil {
		return fault.Wrap(fault.Unavailable, err, "calls did not end in time", "raise --drain")
	}
	return nil
}

func (a *Admitter) flush() {
	if os := a.tally.take(); len(os) > 0 {
		a.injector.Inject(event.NewLocal(event.Outcomes, os))
	}
}

// Drain lets the local upstream leave first, refuses new calls from outside and waits for those in flight. Calls of
// the local upstream go on, as the calls that it is finishing may need them.
func (a *Admitter) Drain(ctx context.Context) error {
	a.executor.Leave()
	a.leaving.Store(true)
	defer a.flush()
	for {
		n := a.bounds.outside.Load()
		if n == 0 {
			return nil
		}
		select {
		case <-a.finished:
		case <-ctx.Done():
			return fault.Wrap(fault.Unavailable, ctx.Err(), "calls from outside did not end in time", "raise --drain or lower the timeouts of the routes")
		}
	}
}
