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

// stopTimeout is the time for the last calls to end after the drain.
const stopTimeout = 2 * time.Second

// configProvider provides the configuration of this node.
type configProvider interface {
	// Config returns the node's configuration.
	Config() machine.Config
}

// snapshotSource provides the state that calls are routed by.
type snapshotSource interface {
	// Snapshot returns the state in force, or nil before the first configuration.
	Snapshot() *snapshot.Snapshot
}

// executor runs calls on the local upstream.
type executor interface {
	// Serve runs the call or refuses it; only Ran "no" proves that the upstream received no byte of it.
	Serve(ctx context.Context, c call.Call) answer.Answer
	// IsLocalCaller reports whether a caller at the address is on the host of the local upstream.
	IsLocalCaller(netip.Addr) bool
	// Leave makes the executor refuse new calls from now on.
	Leave()
}

// linker sends calls to other nodes.
type linker interface {
	// Call runs the call at the peer. Its errors are of kind NotRun or MayHaveRun.
	Call(ctx context.Context, peer string, c call.Call) (answer.Answer, error)
}

// reserver ensures that a call with an idempotency key runs at most once.
type reserver interface {
	// RunOnce calls run if no call with the key can have run before, and answers the call itself otherwise.
	RunOnce(ctx context.Context, c call.Call, run func(context.Context) answer.Answer) answer.Answer
}

// injector passes events to the state machines of the control plane.
type injector interface {
	// Inject queues the event; it may block briefly.
	Inject(event.Event)
}

// Admitter accepts calls over HTTP, routes and retries them, and answers each one.
type Admitter struct {
	Calls string `help:"IP address and port where this node takes calls over HTTP." placeholder:"IP:PORT" env:"WISTERIASPOKE_CALLS"`

	log      *slog.Logger
	node     string
	source   snapshotSource
	executor executor
	linker   linker
	reserver reserver // nil in programs without a reserver
	injector injector
	random   func(int) int

	server         *fasthttp.Server
	leaving        atomic.Bool
	finished       chan struct{} // receives a value when an external call ends during a drain
	inFlight       inFlight
	nodeBudget     retrier.Budget
	serviceBudgets copyOnWriteMap[string, retrier.Budget]
	tally          tally
	meter          meter
	subscriptions  subscriptionLimiter
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
	if err := a.resolveParts(k); err != nil {
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

func (a *Admitter) resolveParts(k *kernel.Kernel) error {
	a.log = k.Log
	s, err := kernel.Need[configProvider](k)
	if err != nil {
		return err
	}
	a.node = s.Config().Node
	if a.source, err = kernel.Need[snapshotSource](k); err != nil {
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
		ErrorHandler: a.handleReadError,
		// The listener refuses connections over maxConnections with a reason; fasthttp's own limit must not apply first.
		Concurrency:                  maxConnections + 1,
		ReadBufferSize:               maxHeaderBytes,
		ReadTimeout:                  requestTimeout,
		WriteTimeout:                 requestTimeout,
		IdleTimeout:                  idleTimeout,
		MaxRequestBodySize:           bodyBufferBytes,
		StreamRequestBody:            true, // so that the limits are checked before a body is read
		DisablePreParseMultipartForm: true,
		NoDefaultServerHeader:        true,
		NoDefaultContentType:         true,
		Logger:                       slog.NewLogLogger(a.log.Handler(), slog.LevelDebug),
	}
}

// run serves calls until ctx ends and injects their outcomes once a second.
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
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	err := a.server.ShutdownWithContext(ctx)
	if err != nil && a.inFlight.calls.Load() == 0 {
		// fasthttp waits 5 s for connections that never sent a request; no call is lost when they are closed.
		a.log.Debug("idle connections were open at the end", "error", err)
		return nil
	}
	if err != nil {
		return fault.Wrap(fault.Unavailable, err, "calls did not end in time", "raise --drain")
	}
	return nil
}

func (a *Admitter) flush() {
	if os := a.tally.drain(); len(os) > 0 {
		a.injector.Inject(event.NewLocal(event.Outcomes, os))
	}
}

// Drain makes the executor refuse new calls, then refuses new external calls and waits for those in flight. Calls made
// by the local upstream are still accepted, as the calls that it is finishing may depend on them.
func (a *Admitter) Drain(ctx context.Context) error {
	a.executor.Leave()
	a.leaving.Store(true)
	defer a.flush()
	for {
		n := a.inFlight.external.Load()
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
