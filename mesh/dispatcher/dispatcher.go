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

// Reasons of refused and failed calls, besides those of the limiter.
const (
	reasonDown      = "down"      // nothing listens at the upstream's address
	reasonMisrouted = "misrouted" // the upstream is of another service or version than the call was sent for
	reasonLost      = "lost"      // the upstream closed the connection before the end of its response
	reasonCrashed   = "crashed"   // as lost, and nothing listens at the upstream's address any more
	reasonLarge     = "large"     // the response exceeds the size limit
	reasonUnframed  = "unframed"  // the response has neither a length nor chunked encoding
	reasonTimeout   = "timeout"   // the deadline passed
)

// configProvider returns the identity of this node.
type configProvider interface {
	Config() machine.Config
}

// injector sends events to the control machines.
type injector interface {
	// Inject queues the event and does not block for long.
	Inject(event.Event)
}

// gate decides which calls may run, and records how they end.
type gate interface {
	// Admit waits until the call may run and returns its pass, or the reason of a refusal. After a pass, the caller
	// must call AfterCall.
	Admit(ctx context.Context, c call.Call) (p guard.Pass, reason string)
	// BeforeSend is called right before the call is sent; it returns the pass for AfterCall, or the reason of a
	// refusal.
	BeforeSend(p guard.Pass, c call.Call) (sent guard.Pass, reason string)
	// AfterCall records how the call ended. It may delay the answer to a call that was in flight in a crash, until ctx
	// ends.
	AfterCall(ctx context.Context, p guard.Pass, c call.Call, e guard.Ending)
	// Ready returns nil when this node may receive calls, or else the reason why not.
	Ready() error
}

// membership knows the endpoints that callers use.
type membership interface {
	// HasReady reports whether the endpoint of this incarnation at the address is known as ready.
	HasReady(service, address string, incarnation uint64) bool
}

// noGate allows all calls, in programs without a gate.
type noGate struct{}

func (noGate) Admit(context.Context, call.Call) (guard.Pass, string)          { return guard.Pass{}, "" }
func (noGate) BeforeSend(p guard.Pass, _ call.Call) (guard.Pass, string)      { return p, "" }
func (noGate) AfterCall(context.Context, guard.Pass, call.Call, guard.Ending) {}
func (noGate) Ready() error                                                   { return nil }

// Dispatcher runs the calls that are sent to this node's endpoint.
type Dispatcher struct {
	Upstream string `help:"URL of the local upstream; empty if there is none." placeholder:"URL" env:"WISTERIASPOKE_UPSTREAM"`

	log        *slog.Logger
	injector   injector
	gate       gate
	membership membership
	identity   machine.Config
	limiter    *limiter.Limiter
	client     client
	address    string     // IP:PORT of the upstream
	hostIP     netip.Addr // IP address of the upstream
	// checkRequested triggers a check of the upstream before the next tick.
	checkRequested chan struct{}
	// mutex guards the fields below and keeps the injected states in the order of their changes; calls do not lock it.
	mutex       sync.Mutex
	state       endpoint.State
	checked     bool      // a check has shown whether the upstream is ready
	readySince  time.Time // when the state first became Ready
	announcedAt time.Time // when the membership first showed the upstream as ready
}

// Check returns every bad setting with its remedy.
func (d *Dispatcher) Check() error {
	if d.Upstream == "" {
		return nil
	}
	_, err := parseUpstream(d.Upstream)
	return err
}

// parseUpstream returns the IP:PORT of the upstream's URL, whose scheme must be http and which must have no path.
func parseUpstream(upstream string) (string, error) {
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

// Start begins to check the upstream regularly.
func (d *Dispatcher) Start(ctx context.Context, k *kernel.Kernel) (<-chan error, error) {
	s, err := kernel.Need[configProvider](k)
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
	if ms := kernel.All[membership](k); len(ms) > 0 {
		d.membership = ms[0]
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

// prepare sets all fields except the connected parts.
func (d *Dispatcher) prepare(c machine.Config) error {
	var err error
	if d.address, err = parseUpstream(d.Upstream); err != nil {
		return err
	}
	d.hostIP = netip.MustParseAddrPort(d.address).Addr()
	if d.gate == nil {
		d.gate = noGate{}
	}
	d.identity = c
	d.limiter = limiter.New(c.Slots)
	d.client = newClient(d.address, c.Slots)
	d.checkRequested = make(chan struct{}, 1)
	return nil
}

// Serve runs the call on the local upstream, or refuses it. Only an answer with Ran "no" proves that the upstream
// received no byte of it.
func (d *Dispatcher) Serve(ctx context.Context, c call.Call) answer.Answer {
	if d.limiter == nil || (c.Service() != "" && c.Service() != d.identity.Service) || (c.Version() != "" && c.Version() != d.identity.Version) {
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

// run waits for a slot and runs the call. It returns the answer, and the pass and the ending for the gate.
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
	serviceTime := time.Since(start)
	isSample := err == nil && f.Status < http.StatusBadRequest
	if timedOut(ctx, err) {
		// A timeout indicates load only if the call ran for longer than the mean service time.
		isSample = serviceTime > d.limiter.MeanServiceTime()
	}
	d.limiter.Release(c.Route(), serviceTime, isSample)
	if err != nil {
		a := d.answerFailure(ctx, err)
		return a, p, endingOf(a)
	}
	f.Ran = answer.Yes
	return d.withLoad(f), p, guard.Complete
}

// endingOf returns the ending of a failed call, for the gate.
func endingOf(a answer.Answer) guard.Ending {
	switch {
	case a.Ran() == answer.No:
		return guard.Unsent
	case a.Reason() == reasonCrashed:
		return guard.Crashed
	}
	return guard.Broken
}

// refuse returns the answer to a call that was not sent.
func (d *Dispatcher) refuse(status int, reason string) answer.Answer {
	return d.withLoad(answer.Fields{Status: status, Ran: answer.No, Reason: reason})
}

// answerFailure returns the answer for an error of the client.
func (d *Dispatcher) answerFailure(ctx context.Context, err error) answer.Answer {
	d.requestCheck()
	var u *unsentError
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
	case d.isGone():
		f.Reason = reasonCrashed
	}
	return d.withLoad(f)
}

// timedOut reports whether the deadline ended the call. The connection has the same deadline as ctx, and its error may
// come first.
func timedOut(ctx context.Context, err error) bool {
	return errors.Is(err, fasthttp.ErrTimeout) || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(ctx.Err(), context.DeadlineExceeded)
}

// withLoad adds the endpoint's load to the answer, for the balancers of other nodes.
func (d *Dispatcher) withLoad(f answer.Fields) answer.Answer {
	if d.limiter != nil {
		f.Outstanding = d.limiter.Outstanding()
		f.Slots = d.limiter.Limit()
	}
	return answer.New(f)
}

// IsLocalCaller reports whether a caller at the address is on the host of the local upstream.
func (d *Dispatcher) IsLocalCaller(a netip.Addr) bool {
	return d.hostIP.IsValid() && d.hostIP == a.Unmap()
}

// Leave announces that the upstream is leaving, and refuses new calls from then on.
func (d *Dispatcher) Leave() {
	if d.limiter == nil {
		return
	}
	d.setState(endpoint.Leaving)
	d.limiter.Leave()
}

// Drain calls Leave and waits for the calls in flight, until ctx ends.
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
