package receiver

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"wisteriaspoke.example/mesh/answer"
	"wisteriaspoke.example/mesh/call"
	"wisteriaspoke.example/mesh/clock"
	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/grace"
	"wisteriaspoke.example/mesh/holder"
	"wisteriaspoke.example/mesh/kernel"
	"wisteriaspoke.example/mesh/pauser"
	"wisteriaspoke.example/mesh/pipeliner"
	"wisteriaspoke.example/mesh/plan"
	"wisteriaspoke.example/mesh/quota"
	"wisteriaspoke.example/mesh/rule"
	"wisteriaspoke.example/mesh/tenant"
	"wisteriaspoke.example/mesh/view"
)

func init() {
	kernel.Register("receiver", 70, func() kernel.Part { return &Receiver{now: clock.Clock{}.Now} })
}

const (
	// The limits that apply where the configuration sets none, or while none is known.
	defaultHeaderBytes   = 64 << 10
	defaultBodyBytes     = 8 << 20
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 2 * time.Minute
	// defaultTimeout applies to requests without a deadline whose rule has no timeout.
	defaultTimeout = 10 * time.Second
	// backlogTime is how long a stopping node takes the connections that were opened before it stopped listening.
	backlogTime = 50 * time.Millisecond
	// stoppingWait is the Retry-After of requests that a stopping node refuses; callers then use another node.
	stoppingWait = 50 * time.Millisecond
	// overloadedWait is the Retry-After of requests that are refused because this node holds too many bodies.
	overloadedWait = 250 * time.Millisecond
	// maxStartWait is how long a request waits for the first configuration of a node that has just started, or for the proof
	// that it is fresh, and maxStartWaitFraction how much of its time. All nodes have one some 0.5 s after a start of the whole mesh.
	maxStartWait         = 800 * time.Millisecond
	maxStartWaitFraction = 0.25
	// minStaleWait and maxStaleWait bound the Retry-After of requests that are refused because the configuration may be out of
	// date. Nodes read the store about every second then.
	minStaleWait = 400 * time.Millisecond
	maxStaleWait = 1200 * time.Millisecond
	// acceptPause is the pause after a failed accept, for example without free file descriptors.
	acceptPause = 20 * time.Millisecond
)

var (
	requests  = metrics.GetOrRegisterCounter("request.count", nil)
	abandoned = metrics.GetOrRegisterCounter("request.abandoned", nil)
	cut       = metrics.GetOrRegisterCounter("request.cut", nil) // requests in progress that a stop has ended
)

// forwarder sends requests to endpoints.
type forwarder interface {
	// Forward sends the request to an endpoint of the rule's service and returns the final answer.
	Forward(ctx context.Context, v *view.View, r *rule.Rule, c call.Fields) answer.Answer
	// Elapsed returns how long the caller's earlier attempts at a request took, of which it says how long it waits.
	Elapsed(r *rule.Rule, timeLeft time.Duration) time.Duration
}

// viewSource provides the configuration and endpoints for routing.
type viewSource interface {
	// View returns the current state.
	View() *view.View
	// PlanKnown returns a channel that is closed once View has a configuration.
	PlanKnown() <-chan struct{}
}

// identity provides the service of the local upstream.
type identity interface {
	// Service returns the service of the local upstream; configured reports whether the configuration names a service.
	Service(configured func(service string) bool) string
}

// freshness judges how old the configuration may be.
type freshness interface {
	// Enabled reports whether requests with a key depend on how old the configuration may be.
	Enabled() bool
	// Fresh reports whether requests with a key may run by a configuration of the version; it must not block.
	Fresh(version uint64) bool
	// Proven returns a channel that is closed once this process knows how fresh a configuration is.
	Proven() <-chan struct{}
}

// dialect reads and writes the platform's headers of requests and responses.
type dialect interface {
	// ParseRequest returns the identifier of a request and how long its caller waits, or zero if not stated.
	ParseRequest(h http.Header) (id string, timeLeft time.Duration)
	// TakeKey removes a tenant's key, and a tenant's name that the caller may have set, from the headers of a request and
	// returns the key, or the empty string.
	TakeKey(h http.Header) string
	// SetRefusalHeaders sets the headers of a refusal: the request's identifier, and when to retry unless wait is zero.
	SetRefusalHeaders(h http.Header, id string, wait time.Duration)
}

// rateLimiter keeps the requests of a tenant within its limit.
type rateLimiter interface {
	// Take takes a token for a request, or returns false and after which time the request may come again. late says that the
	// request has missed its latency objective.
	Take(ctx context.Context, t *tenant.Tenant, late bool) (retryAfter time.Duration, ok bool)
	// Return credits the token of a request that did not run.
	Return(t *tenant.Tenant)
}

// memoryLimiter bounds the memory for bodies.
type memoryLimiter interface {
	// BodyBuffer returns the bytes of callers' request bodies, and of small answers that they have not read, that may be in
	// memory.
	BodyBuffer() int64
	// Holder returns the holder of large bodies.
	Holder() *holder.Holder
	// MaxConnections returns how many connections callers may have open, or 0 if there is no bound.
	MaxConnections() int
	// MaxBehind returns how many requests may run behind others on callers' connections, or 0 if there is no bound.
	MaxBehind() int64
}

// Receiver accepts requests over HTTP and has them forwarded.
type Receiver struct {
	Callers string        `help:"IP address and port where callers and the local upstream send requests." placeholder:"IP:PORT" env:"WISTERIASPOKE_CALLERS"`
	Ahead   int           `help:"Requests of one connection that are read before the first of them is answered." default:"16" env:"WISTERIASPOKE_AHEAD"`
	Held    int64         `help:"Bytes of requests' bodies, and of small answers that are not read, from which no further requests are read ahead." default:"16777216" env:"WISTERIASPOKE_HELD"`
	Stall   time.Duration `help:"How long the writing of one answer may take." default:"30s" env:"WISTERIASPOKE_STALL"`

	log         *slog.Logger
	forwarder   forwarder
	views       viewSource
	identity    identity
	proofs      freshness
	dialect     dialect
	rateLimiter rateLimiter
	now         func() time.Duration // boot-time clock
	grace       grace.Period
	bodyBuffer  int64 // bytes of request bodies, and of small answers, that may be in memory
	holder      *holder.Holder
	connections connections
	listener    *net.TCPListener
	held        atomic.Int64
	unread      atomic.Int64
	behind      atomic.Int64
	maxBehind   int64 // requests that run behind others on callers' connections, or 0 for no bound
	active      atomic.Int64
	draining    atomic.Bool
	lastEnd     atomic.Pointer[time.Time] // when the requests of a stopping node must have ended
	ending      context.Context           // ends at lastEnd
	endRequests context.CancelFunc        // ends ending
	stop        chan struct{}             // closed when no further request is to be accepted
	idle        chan struct{}             // closed when all connections have ended after stop
}

// Check returns an error for an invalid setting, with its remedy.
func (r *Receiver) Check() error {
	if _, err := netip.ParseAddrPort(r.Callers); err != nil {
		return fault.Wrap(fault.Invalid, err, "--callers is not an address", "set it to IP:PORT, for example 127.0.0.1:7402")
	}
	if r.Ahead < 1 || r.Held < 1 || r.Stall <= 0 {
		return fault.New(fault.Invalid, "--ahead, --held or --stall is not above 0", "set --ahead and --held to 1 or more, and --stall to a time such as 30s")
	}
	return nil
}

// Start accepts requests until ctx ends.
func (r *Receiver) Start(ctx context.Context, k *kernel.Kernel) (<-chan error, error) {
	var err error
	if r.forwarder, err = kernel.Need[forwarder](k); err != nil {
		return nil, err
	}
	if r.views, err = kernel.Need[viewSource](k); err != nil {
		return nil, err
	}
	if r.identity, err = kernel.Need[identity](k); err != nil {
		return nil, err
	}
	if r.proofs, err = kernel.Need[freshness](k); err != nil {
		return nil, err
	}
	if r.dialect, err = kernel.Need[dialect](k); err != nil {
		return nil, err
	}
	if r.rateLimiter, err = kernel.Need[rateLimiter](k); err != nil {
		return nil, err
	}
	memory, err := kernel.Need[memoryLimiter](k)
	if err != nil {
		return nil, err
	}
	r.bodyBuffer, r.holder = memory.BodyBuffer(), memory.Holder()
	r.log, r.grace = k.Log, k.Grace
	r.connections.max, r.maxBehind = memory.MaxConnections(), memory.MaxBehind()
	r.holder.SetReclaim(r.dropSlowest)
	listener, err := net.Listen("tcp", r.Callers)
	if err != nil {
		return nil, fault.Wrap(fault.Unavailable, err, "cannot listen for callers", "set --callers to a free address of this host")
	}
	r.log.Info("callers accepted", "address", listener.Addr().String())
	return r.serve(ctx, listener.(*net.TCPListener)), nil
}

// serve accepts connections until ctx ends, and reports its end on the channel that it returns.
func (r *Receiver) serve(ctx context.Context, l *net.TCPListener) <-chan error {
	r.listener, r.stop, r.idle = l, make(chan struct{}), make(chan struct{})
	r.ending, r.endRequests = context.WithCancel(context.WithoutCancel(ctx))
	end := make(chan error, 1)
	go func() { end <- r.run(ctx) }()
	return end
}

// run owns the connections.
func (r *Receiver) run(ctx context.Context) error {
	connCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	accepted, acceptEnd := make(chan net.Conn), make(chan error, 1)
	go func() { acceptEnd <- r.accept(connCtx, accepted) }()
	ended := make(chan *pipeliner.Pipeliner)
	stop, accepting, stopping := r.stop, true, false
	var failure error
	for {
		if stopping && !accepting && r.connections.count() == 0 {
			close(r.idle)
			return failure
		}
		select {
		case c := <-accepted:
			p := &pipeliner.Pipeliner{
				Conn: c, Handler: r, Ahead: r.Ahead, Held: &r.held, MaxHeld: r.Held, Limit: r.bodyBuffer, WriteTimeout: r.Stall,
				Log: r.log, Unread: &r.unread, Behind: &r.behind, MaxBehind: r.maxBehind, MaxUnread: r.bodyBuffer, Reclaim: r.holder.Reclaim, Holder: r.holder,
			}
			if !r.makeRoom() {
				c.Close()
				continue
			}
			r.connections.add(p)
			go func() {
				p.Run(connCtx)
				ended <- p
			}()
			if stopping {
				p.Stop()
			}
		case p := <-ended:
			r.connections.remove(p)
		case <-stop:
			stop, stopping = nil, true
			r.listener.SetDeadline(time.Now().Add(backlogTime))
			for _, p := range r.connections.all() {
				p.Stop()
			}
		case err := <-acceptEnd:
			accepting = false
			if !stopping && ctx.Err() == nil {
				failure = fault.Wrap(fault.Unavailable, err, "callers are no longer accepted", "")
				cancel()
				stop, stopping = nil, true
			}
		case <-ctx.Done():
			r.listener.Close()
			ctx = context.WithoutCancel(ctx)
			stop, stopping = nil, true
		}
	}
}

// accept passes on new connections until ctx ends, or the listener is closed, or its deadline has passed.
func (r *Receiver) accept(ctx context.Context, accepted chan<- net.Conn) error {
	defer r.listener.Close()
	for {
		c, err := r.listener.Accept()
		switch {
		case err == nil:
			select {
			case accepted <- c:
			case <-ctx.Done():
				c.Close()
				return ctx.Err()
			}
		case errors.Is(err, net.ErrClosed), errors.Is(err, os.ErrDeadlineExceeded):
			return err
		default:
			r.log.Warn("connection not accepted", "error", err)
			if err := pauser.Pause(ctx, acceptPause); err != nil {
				return err
			}
		}
	}
}

// Limits returns the configuration's limits, or defaults for those that it does not set.
func (r *Receiver) Limits() plan.Limits {
	l := plan.Limits{}
	if p := r.views.View().Plan(); p != nil {
		l = p.Limits()
	}
	return plan.Limits{
		MaxHeaderBytes: cmp.Or(l.MaxHeaderBytes, defaultHeaderBytes), MaxBodyBytes: cmp.Or(l.MaxBodyBytes, defaultBodyBytes),
		HeaderTimeout: cmp.Or(l.HeaderTimeout, defaultHeaderTimeout), IdleTimeout: cmp.Or(l.IdleTimeout, defaultIdleTimeout),
	}
}

// MayOverlap reports whether the request may run more than once.
func (r *Receiver) MayOverlap(q *http.Request) bool {
	p := r.views.View().Plan()
	if p == nil {
		return false
	}
	match := p.Match(q.Host, q.URL.EscapedPath())
	return match != nil && match.Idempotent()
}

// Handle forwards a request and returns its answer.
func (r *Receiver) Handle(ctx context.Context, q *http.Request, body []byte, begun time.Time) *http.Response {
	requests.Inc(1)
	r.active.Add(1)
	defer r.active.Add(-1)
	id, timeLeft := r.dialect.ParseRequest(q.Header)
	v := r.awaitPlan(ctx, timeLeft)
	p := v.Plan()
	if p == nil {
		return r.refuse(q, http.StatusServiceUnavailable, "no configuration is known yet", time.Second)
	}
	match := p.Match(q.Host, q.URL.EscapedPath())
	if match == nil {
		return r.refuse(q, http.StatusNotFound, "no route matches", 0)
	}
	if len(p.Tenants()) > 0 && !match.Public() && !r.proofs.Fresh(p.Version()) {
		r.awaitStart(ctx, r.proofs.Proven(), timeLeft)
		v = r.views.View()
		p = v.Plan()
		if match = p.Match(q.Host, q.URL.EscapedPath()); match == nil {
			return r.refuse(q, http.StatusNotFound, "no route matches", 0)
		}
	}
	from, refusal := r.authenticate(q, p, match)
	if refusal != nil {
		return refusal
	}
	t := from.tenant
	deadline := begun.Add(requestTimeout(match, timeLeft))
	if end := r.lastEnd.Load(); end != nil && deadline.After(*end) {
		deadline = *end
		if time.Until(deadline) < match.Objective() {
			return r.refuse(q, http.StatusServiceUnavailable, "this node stops before the request would end", stoppingWait)
		}
	}
	caller := ctx
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	// A request that began before the drain may have a later deadline.
	defer context.AfterFunc(r.ending, cancel)()
	limited := t != nil && from.keyHash != nil && t.Limited()
	if limited {
		late := r.forwarder.Elapsed(match, timeLeft) >= match.Objective() && match.Objective() > 0
		if wait, ok := r.rateLimiter.Take(ctx, t, late); !ok {
			return r.refuse(q, http.StatusTooManyRequests, "tenant "+t.Name()+" is over its limit", wait)
		}
	}
	taken := r.now()
	a := r.forwarder.Forward(ctx, v, match, call.Fields{
		Method: q.Method, Host: q.Host, Path: q.RequestURI, Headers: endToEndHeaders(q.Header), Body: body,
		RequestID: id, Caller: r.identity.Service(p.HasService), TimeLeft: timeLeft.Milliseconds(),
		Tenant: tenantName(t), KeyHash: from.keyHash, KeyVersion: r.keyVersion(p, from.keyHash), Priority: from.priority(match), Nested: from.nested,
	})
	if limited && a.Ran() == answer.No && r.now()-taken < quota.ReturnTerm {
		r.rateLimiter.Return(t)
	}
	durationHistogram(match.Name()).Update(time.Since(begun).Milliseconds())
	if caller.Err() != nil {
		r.logLeft(id, match.Name(), begun, a.Ran())
	}
	return r.response(id, a)
}

// awaitPlan returns the current view. While the node has no configuration, it waits for one.
func (r *Receiver) awaitPlan(ctx context.Context, timeLeft time.Duration) *view.View {
	if v := r.views.View(); v.Plan() != nil || r.draining.Load() {
		return v
	}
	r.awaitStart(ctx, r.views.PlanKnown(), timeLeft)
	return r.views.View()
}

// awaitStart waits until ready is closed, for a part of the request's time. Callers give up after a few attempts, and a
// refusal would use up one of them.
func (r *Receiver) awaitStart(ctx context.Context, ready <-chan struct{}, timeLeft time.Duration) {
	wait := maxStartWait
	if timeLeft > 0 {
		wait = min(wait, time.Duration(maxStartWaitFraction*float64(timeLeft)))
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-ready:
	case <-ctx.Done():
	case <-t.C:
	}
}

// Abandoned counts and logs a request whose caller hung up before it was forwarded.
func (r *Receiver) Abandoned(q *http.Request, begun time.Time) {
	id, _ := r.dialect.ParseRequest(q.Header)
	rule := ""
	if p := r.views.View().Plan(); p != nil {
		if match := p.Match(q.Host, q.URL.EscapedPath()); match != nil {
			rule = match.Name()
		}
	}
	r.logLeft(id, rule, begun, answer.No)
}

// logLeft counts and logs a request whose caller has hung up.
func (r *Receiver) logLeft(id, rule string, begun time.Time, ran answer.Ran) {
	abandoned.Inc(1)
	r.log.Info("caller left", "id", id, "rule", rule, "took", time.Since(begun).Milliseconds(), "ran", ran)
}

// requestTimeout returns the rule's or the default timeout, bounded by the time that the caller waits.
func requestTimeout(r *rule.Rule, timeLeft time.Duration) time.Duration {
	t := r.Timeout()
	if t <= 0 {
		t = defaultTimeout
	}
	if timeLeft > 0 {
		t = min(t, timeLeft)
	}
	return t
}

// Reject returns the answer to a request that cannot be read.
func (r *Receiver) Reject(q *http.Request, status int, reason string) *http.Response {
	if q == nil {
		q = &http.Request{URL: &url.URL{}, Header: http.Header{}}
	}
	wait := time.Duration(0)
	if status == http.StatusServiceUnavailable {
		wait = overloadedWait
	}
	return r.refuse(q, status, reason, wait)
}

func (r *Receiver) refuse(q *http.Request, status int, reason string, wait time.Duration) *http.Response {
	metrics.GetOrRegisterCounter("request.refused."+strconv.Itoa(status), nil).Inc(1)
	id, _ := r.dialect.ParseRequest(q.Header)
	attributes := []any{"id", id, "status", status, "reason", reason, "host", q.Host, "path", q.URL.Path}
	if v := r.views.View(); v.Plan() != nil {
		attributes = append(attributes, "version", v.Plan().Version(), "age", time.Since(v.PlanSince()).Milliseconds())
	}
	r.log.Warn("request refused", attributes...)
	w := &http.Response{StatusCode: status, Header: http.Header{}, Close: r.draining.Load()}
	r.dialect.SetRefusalHeaders(w.Header, id, wait)
	return w
}

func (r *Receiver) response(id string, a answer.Answer) *http.Response {
	w := &http.Response{
		StatusCode: a.Status(), Header: http.Header{}, Close: r.draining.Load(), ContentLength: int64(len(a.Body())),
		Body: newBody(a),
	}
	if a.Ran() != answer.Yes {
		metrics.GetOrRegisterCounter("request.failed."+strconv.Itoa(a.Status()), nil).Inc(1)
		r.dialect.SetRefusalHeaders(w.Header, id, time.Duration(a.RetryAfter())*time.Millisecond)
	}
	for _, line := range a.Headers() {
		w.Header.Add(line.Name, line.Value)
	}
	return w
}

// endToEndHeaders returns the headers to pass on: not those that are hop-by-hop or named by the Connection header.
func endToEndHeaders(h http.Header) []call.Header {
	hopByHop := map[string]bool{}
	for _, value := range h.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			hopByHop[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	hs := make([]call.Header, 0, len(h))
	for name, values := range h {
		if call.IsHopByHop(name) || hopByHop[name] {
			continue
		}
		for _, v := range values {
			hs = append(hs, call.Header{Name: name, Value: v})
		}
	}
	return hs
}

func durationHistogram(rule string) metrics.Histogram {
	return metrics.GetOrRegister("request.took.ms."+rule, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(1028, 0.015))
	}).(metrics.Histogram)
}
