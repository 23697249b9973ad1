package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"wisteriaspoke.example/mesh/answer"
	"wisteriaspoke.example/mesh/call"
	"wisteriaspoke.example/mesh/endpoint"
	"wisteriaspoke.example/mesh/event"
	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/guard"
	"wisteriaspoke.example/mesh/kernel"
	"wisteriaspoke.example/mesh/limiter"
	"wisteriaspoke.example/mesh/machine"
)

func init() {
	kernel.Register("dispatcher", 45, func() kernel.Part { return &Dispatcher{} })
}

// Reasons of refusals that are not the limiter's.
const (
	reasonDown      = "down"      // nothing listens at the upstream's address
	reasonMisrouted = "misrouted" // the upstream is of another service or version than the call was sent for
	reasonLost      = "lost"      // the upstream broke the connection before the end of its response
	reasonCrashed   = "crashed"   // like lost, and nothing listens there any more
	reasonLarge     = "large"     // the response is over the limit
	reasonUnframed  = "unframed"  // the response says neither its length nor its end
	reasonTimeout   = "timeout"   // the deadline passed
)

// settler knows which node this is.
type settler interface {
	// Config returns what is known of this node.
	Config() machine.Config
}

// injector hands events to the control machines.
type injector interface {
	// Inject queues the event and does not block for long.
	Inject(event.Event)
}

// gate decides which calls may run, and learns how they end.
type gate interface {
	// Admit waits until the call may run and returns its pass, or the reason of a refusal. AfterCall must follow a pass.
	Admit(ctx context.Context, c call.Call) (p guard.Pass, reason string)
	// BeforeSend is called right before the call is sent; it returns the pass for AfterCall, or the reason of a refusal.
	BeforeSend(p guard.Pass, c call.Call) (sent guard.Pass, reason string)
	// AfterCall may wait before the answer to a call that was in flight in a crash is given, within ctx.
	AfterCall(ctx context.Context, p guard.Pass, c call.Call, e guard.Ending)
	// Ready returns why calls should not come here yet, or nil.
	Ready() error
}

// ungated lets all calls run, in programs without a gate.
type ungated struct{}

func (ungated) Admit(context.Context, call.Call) (guard.Pass, string)          { return guard.Pass{}, "" }
func (ungated) BeforeSend(p guard.Pass, _ call.Call) (guard.Pass, string)      { return p, "" }
func (ungated) AfterCall(context.Context, guard.Pass, call.Call, guard.Ending) {}
func (ungated) Ready() error                                                   { return nil }

// Dispatcher runs the calls that are sent to this node's endpoint.
type Dispatcher struct {
	Upstream string `help:"URL of the local upstream; empty if there is none." placeholder:"URL" env:"WISTERIASPOKE_UPSTREAM"`

	log      *slog.Logger
	injector injector
	gate     gate
	service  string
	version  string
	limiter  *limiter.Limiter
	client   client
	address  string
	origin   netip.Addr
	// mutex keeps the injected states in the order of their changes; calls do not use it.
	mutex sync.Mutex
	state endpoint.State
	// suspected asks the watcher for a check before its next tick.
	suspected chan struct{}
}

// Check returns every bad setting with its remedy.
func (d *Dispatcher) Check() error {
	if d.Upstream == "" {
		return nil
	}
	_, err := address(d.Upstream)
	return err
}

// address returns the upstream's IP:PORT; the scheme is http and there is no path.
func address(upstream string) (string, error) {
	remedy := "set it to http://IP:PORT, for example http://127.0.0.1:8080"
	u, err := url.Parse(upstream)
	if err != nil {
		return "", fault.Wrap(fault.Invalid, err, "--upstream is not a URL", remedy)
	}
	if _, err := netip.ParseAddrPort(u.Host); err != nil || u.Scheme != "http" || (u.Path != "" && u.Path != "/") {
		return "", fault.New(fault.Invalid, fmt.Sprintf("--upstream is %q", upstream), remedy)
	}
	return u.Host, nil
}

// Start begins to watch the upstream.
func (d *Dispatcher) Start(ctx context.Context, k *kernel.Kernel) (<-chan error, error) {
	s, err := kernel.Need[settler](k)
	if err != nil {
		return nil, err
	}
	c := s.Config()
	d.log = k.Log
	if d.Upstream == "" {
		if c.Service != "" {
			return nil, fault.New(fault.Invalid, "--upstream is empty, but --service is set", "set both, or neither")
		}
		return nil, nil
	}
	if d.injector, err = kernel.Need[injector](k); err != nil {
		return nil, err
	}
	if gs := kernel.All[gate](k); len(gs) > 0 {
		d.gate = gs[0]
	}
	if err := d.prepare(c); err != nil {
		return nil, err
	}
	end := make(chan error, 1)
	go func() {
		defer d.client.close()
		end <- d.watch(ctx)
	}()
	return end, nil
}

func (d *Dispatcher) prepare(c machine.Config) error {
	var err error
	if d.address, err = address(d.Upstream); err != nil {
		return err
	}
	d.origin = netip.MustParseAddrPort(d.address).Addr()
	if d.gate == nil {
		d.gate = ungated{}
	}
	d.service = c.Service
	d.version = c.Version
	d.limiter = limiter.New(c.Slots)
	d.client = newClient(d.address, c.Slots)
	d.suspected = make(chan struct{}, 1)
	return nil
}

// Serve runs the call on the local upstream, or refuses it. Only an answer with Ran "no" proves that the upstream got
// no byte of it.
func (d *Dispatcher) Serve(ctx context.Context, c call.Call) answer.Answer {
	if d.limiter == nil || (c.Service() != "" && c.Service() != d.service) || (c.Version() != "" && c.Version() != d.version) {
		return d.refuse(http.StatusServiceUnavailable, reasonMisrouted)
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(c.TimeLeft())*time.Millisecond)
	defer cancel()
	p, reason := d.gate.Admit(ctx, c)
	if reason != "" {
		return d.refuse(http.StatusServiceUnavailable, reason)
	}
	a, p, e := d.run(ctx, p, c)
	d.gate.AfterCall(ctx, p, c, e)
	return a
}

// run waits for a slot and runs the call, and returns what the gate is told of its end.
func (d *Dispatcher) run(ctx context.Context, p guard.Pass, c call.Call) (answer.Answer, guard.Pass, guard.Ending) {
	deadline, _ := ctx.Deadline()
	switch r := d.limiter.Acquire(ctx, limiter.Request{Route: c.Route(), Tenant: c.Tenant(), Class: c.Class(), Deadline: deadline}); r {
	case "":
	case limiter.OverFairShare:
		return d.refuse(http.StatusTooManyRequests, string(limiter.Full)), p, guard.Unsent
	default:
		return d.refuse(http.StatusServiceUnavailable, string(r)), p, guard.Unsent
	}
	p, reason := d.gate.BeforeSend(p, c)
	if reason != "" {
		d.limiter.Release(c.Route(), 0, false)
		return d.refuse(http.StatusServiceUnavailable, reason), p, guard.Unsent
	}
	start := time.Now()
	f, err := d.client.do(ctx, c)
	took := time.Since(start)
	measured := err == nil && f.Status < http.StatusBadRequest
	if timedOut(ctx, err) {
		// A time-out shows load only if the caller waited for longer than calls usually take.
		measured = took > d.limiter.MeanServiceTime()
	}
	d.limiter.Release(c.Route(), took, measured)
	if err != nil {
		a := d.failed(ctx, err)
		return a, p, ending(a)
	}
	f.Ran = answer.Yes
	return d.loaded(f), p, guard.Complete
}

// ending returns what a failure means for the gate.
func ending(a answer.Answer) guard.Ending {
	switch {
	case a.Ran() == answer.No:
		return guard.Unsent
	case a.Reason() == reasonCrashed:
		return guard.Crashed
	}
	return guard.Broken
}

func (d *Dispatcher) refuse(status int, reason string) answer.Answer {
	return d.loaded(answer.Fields{Status: status, Ran: answer.No, Reason: reason})
}

// failed classifies an error of the client.
func (d *Dispatcher) failed(ctx context.Context, err error) answer.Answer {
	d.suspect()
	var u *unsent
	if errors.As(err, &u) {
		if ctx.Err() != nil {
			return d.refuse(http.StatusServiceUnavailable, string(limiter.DeadlineTooSoon))
		}
		return d.refuse(http.StatusServiceUnavailable, reasonDown)
	}
	f := answer.Fields{Status: http.StatusBadGateway, Ran: answer.Maybe, Reason: reasonLost}
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		f.Reason = reasonLarge
	case errors.Is(err, errUnframed):
		f.Reason = reasonUnframed
	case timedOut(ctx, err) || ctx.Err() != nil:
		f.Status = http.StatusGatewayTimeout
		f.Reason = reasonTimeout
	case d.gone():
		f.Reason = reasonCrashed
	}
	return d.loaded(f)
}

// timedOut reports whether the deadline ended the call. The connection's deadline is the same as that of ctx and may
// be seen first.
func timedOut(ctx context.Context, err error) bool {
	return errors.Is(err, fasthttp.ErrTimeout) || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(ctx.Err(), context.DeadlineExceeded)
}

// loaded adds the endpoint's load, for the balancers of other nodes.
func (d *Dispatcher) loaded(f answer.Fields) answer.Answer {
	if d.limiter != nil {
		f.Outstanding = d.limiter.Outstanding()
		f.Slots = d.limiter.Limit()
	}
	return answer.New(f)
}

// IsLocalCaller reports whether a caller at the address is on the host of the local upstream.
func (d *Dispatcher) IsLocalCaller(a netip.Addr) bool {
	return d.origin.IsValid() && d.origin == a.Unmap()
}

// Leave announces that the upstream is leaving and refuses new calls from now on.
func (d *Dispatcher) Leave() {
	if d.limiter == nil {
		return
	}
	d.become(endpoint.Leaving)
	d.limiter.Leave()
}

// Drain leaves and waits for the calls in flight, as long as ctx lasts.
func (d *Dispatcher) Drain(ctx context.Context) error {
	if d.limiter == nil {
		return nil
	}
	d.Leave()
	select {
	case <-d.limiter.Drained():
		return nil
	case <-ctx.Done():
		n := d.limiter.Outstanding()
		return fault.Wrap(fault.Unavailable, ctx.Err(), fmt.Sprintf("%d calls did not end in time", n), "raise --drain or lower the timeouts of the routes")
	}
}
