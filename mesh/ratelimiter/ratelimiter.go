package ratelimiter

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"wisteriaspoke.example/mesh/clock"
	"wisteriaspoke.example/mesh/elector"
	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/granter"
	"wisteriaspoke.example/mesh/kernel"
	"wisteriaspoke.example/mesh/machine"
	"wisteriaspoke.example/mesh/message"
	"wisteriaspoke.example/mesh/plan"
	"wisteriaspoke.example/mesh/quota"
	"wisteriaspoke.example/mesh/spender"
	"wisteriaspoke.example/mesh/tenant"
	"wisteriaspoke.example/mesh/view"
)

func init() {
	kernel.Register("ratelimiter", 49, func() kernel.Part {
		return &RateLimiter{
			now: clock.Clock{}.Now, inputs: make(chan peerMessage, inputQueueSize), kick: make(chan struct{}, 1),
			release: make(chan chan struct{}), stopping: make(chan struct{}, 1),
		}
	})
}

const (
	// pollInterval is how often the configuration and the other nodes are looked at.
	pollInterval = 200 * time.Millisecond
	// maxPatience bounds the time for which a request waits for a token, above a round trip between regions.
	maxPatience = 100 * time.Millisecond
	// startPatience replaces maxPatience while this process is younger than startTime. After a start of the whole mesh the
	// buckets are empty, and callers that are refused give up after a few attempts.
	startPatience = 800 * time.Millisecond
	startTime     = 3 * time.Second
	// patienceFraction is the largest part of the time left that a request waits for a token.
	patienceFraction = 4
	inputQueueSize   = 1024
	// maxTenantMetrics bounds the tenants that have metrics of their own.
	maxTenantMetrics = 100
)

var (
	tokensGranted = metrics.GetOrRegisterGauge("quota.granted", nil)
	tokensUsed    = metrics.GetOrRegisterGauge("quota.used", nil)
	tokensExpired = metrics.GetOrRegisterGauge("quota.expired", nil)
	sharesUsed    = metrics.GetOrRegisterGauge("quota.shares.permille", nil)
	refused       = metrics.GetOrRegisterCounter("quota.refused", nil)
	inputsDropped = metrics.GetOrRegisterCounter("quota.dropped", nil)
)

// cluster provides the other nodes.
type cluster interface {
	// Nodes returns the other nodes that have sent a status.
	Nodes() []elector.Candidate
	// AddressCount returns the number of nodes, including this one, that are known or that it tries to reach.
	AddressCount() int
	// View returns the current view with the configuration.
	View() *view.View
}

// peerSender sends messages to one node.
type peerSender interface {
	// Send queues m for the node at address peer without blocking.
	Send(peer string, m message.Message)
}

// configSource provides this node's configuration.
type configSource interface {
	// Config returns this node's configuration.
	Config() machine.Config
}

// RateLimiter limits the requests of tenants. One goroutine exchanges messages with other nodes; requests take tokens
// without a lock.
type RateLimiter struct {
	Window  time.Duration `name:"quota-window" help:"Window of the bound on a tenant's requests; the same on all nodes." default:"5s" env:"WISTERIASPOKE_QUOTA_WINDOW"`
	Overage float64       `name:"quota-overage" help:"Part by which a tenant's requests in a window may exceed its limit." default:"0.1" env:"WISTERIASPOKE_QUOTA_OVERAGE"`
	Slack   float64       `name:"quota-slack" help:"Requests by which a tenant may exceed its limit in a window, beside the part." default:"20" env:"WISTERIASPOKE_QUOTA_SLACK"`

	now      func() time.Duration
	log      *slog.Logger
	cluster  cluster
	sender   peerSender
	self     string
	inputs   chan peerMessage
	kick     chan struct{}      // a request waits, or tokens have run out
	release  chan chan struct{} // closed by the goroutine when the shares are released
	stopping chan struct{}
	spender  *spender.Spender
	started  atomic.Bool

	// Only the goroutine of run uses the fields below.
	granter *granter.Granter
	plan    *plan.Plan
	limits  int // tenants with a limit
	refused map[string]metrics.Counter
	seen    map[string]uint64 // refusals that are in the metrics
}

// peerMessage is a message from the node at address peer.
type peerMessage struct {
	peer string
	m    message.Message
}

// Check returns an error for invalid settings, with its remedy.
func (r *RateLimiter) Check() error {
	if r.Window <= 0 || r.Overage < 0 || r.Slack < 0 {
		return fault.New(fault.Invalid, "--quota-window is not above 0, or --quota-overage or --quota-slack is negative", "set the window to a time such as 5s and the others to 0 or more")
	}
	return nil
}

// Start starts the goroutine that exchanges tokens with other nodes.
func (r *RateLimiter) Start(ctx context.Context, k *kernel.Kernel) (<-chan error, error) {
	var err error
	if r.cluster, err = kernel.Need[cluster](k); err != nil {
		return nil, err
	}
	if r.sender, err = kernel.Need[peerSender](k); err != nil {
		return nil, err
	}
	s, err := kernel.Need[configSource](k)
	if err != nil {
		return nil, err
	}
	r.log = k.Log
	return r.start(ctx, s.Config()), nil
}

func (r *RateLimiter) start(ctx context.Context, c machine.Config) <-chan error {
	b := quota.Bounds{Window: r.Window, Overage: r.Overage, Slack: r.Slack}
	r.self = c.Node
	r.spender = spender.New(b, c.Node, c.Incarnation, r.now())
	r.granter = granter.New(b, c.Incarnation)
	r.refused, r.seen = map[string]metrics.Counter{}, map[string]uint64{}
	r.started.Store(true)
	end := make(chan error, 1)
	go func() { end <- r.run(ctx) }()
	return end
}

// Take takes a token of the tenant for a request. Without one it returns false, and after which time the request may
// come again. It waits a short time for a token if another node may have one.
//
// A late request has missed its latency objective. While the tenant's tokens are short, it gets none: requests would wait
// for each other in turn until all of them are late.
func (r *RateLimiter) Take(ctx context.Context, t *tenant.Tenant, late bool) (retryAfter time.Duration, ok bool) {
	if !t.Limited() {
		return 0, true
	}
	a := r.spender.Existing(t.Name())
	if a == nil {
		a = r.spender.Account(limitOf(t))
	}
	now := r.now()
	if late && a.Short(now) {
		return a.RefuseLate(now, rand.Float64()), false
	}
	if a.Take(now) {
		if a.Low() {
			r.wake()
		}
		return 0, true
	}
	patience := maxPatience
	if r.spender.Age(now) < startTime {
		patience = startPatience
	}
	if deadline, set := ctx.Deadline(); set {
		patience = min(patience, time.Until(deadline)/patienceFraction)
	}
	w := a.Wait(now, patience)
	if w == nil {
		return a.Refuse(now, rand.Float64()), false
	}
	r.wake()
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case <-w.Served():
		return 0, true
	case <-timer.C:
	case <-ctx.Done():
	}
	if a.Leave(w) {
		return 0, true
	}
	return a.Refuse(r.now(), rand.Float64()), false
}

// Return credits the token of a request that was admitted within quota.ReturnTerm and did not run.
func (r *RateLimiter) Return(t *tenant.Tenant) {
	if a := r.spender.Existing(t.Name()); a != nil {
		a.Return()
	}
}

func (r *RateLimiter) wake() {
	select {
	case r.kick <- struct{}{}:
	default:
	}
}

// Handle queues messages of quotas and reports whether m is one.
func (r *RateLimiter) Handle(peer string, m message.Message) bool {
	if m.Kind() != kindReport && m.Kind() != kindGrant {
		return false
	}
	select {
	case r.inputs <- peerMessage{peer, m}:
	default:
		inputsDropped.Inc(1)
	}
	return true
}

// AnnounceStop shortens the terms of the tokens that this node grants, so that other owners can use its shares soon after the
// drain. It does not block.
func (r *RateLimiter) AnnounceStop() {
	select {
	case r.stopping <- struct{}{}:
	default:
	}
}

// Drain tells the nodes that still lend their shares to this one that they can use them again.
func (r *RateLimiter) Drain(ctx context.Context) error {
	if !r.started.Load() {
		return nil
	}
	done := make(chan struct{})
	select {
	case r.release <- done:
		<-done
		return nil
	case <-ctx.Done():
		return fault.Wrap(fault.Unavailable, ctx.Err(), "the shares of tenants' limits were not released", "allow more time with --drain")
	}
}

func (r *RateLimiter) run(ctx context.Context) error {
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	due := time.NewTimer(pollInterval)
	defer due.Stop()
	r.poll()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case in := <-r.inputs:
			r.handle(in.peer, in.m)
		case <-poll.C:
			r.poll()
		case <-r.kick:
		case <-due.C:
		case <-r.stopping:
			r.granter.Stop(r.now())
		case done := <-r.release:
			for address, gs := range r.granter.Release(r.now()) {
				for _, g := range gs {
					r.send(address, message.New(kindGrant, g))
				}
			}
			close(done)
		}
		if r.limits == 0 {
			continue
		}
		for _, o := range r.spender.Due(r.now()) {
			r.send(o.Owner, message.New(kindReport, o.Report))
		}
		now := r.now()
		due.Reset(max(time.Millisecond, r.spender.NextDue(now)-now))
	}
}

// send sends a message to another node or handles it here.
func (r *RateLimiter) send(address string, m message.Message) {
	if address == r.self {
		r.handle(address, m)
		return
	}
	r.sender.Send(address, m)
}

func (r *RateLimiter) handle(from string, m message.Message) {
	switch b := m.Body().(type) {
	case *quota.Report:
		r.spender.Members().Hear(int(b.NodeCount), r.now())
		g := r.granter.Handle(from, b, r.now())
		if g == nil {
			return
		}
		g.NodeCount = uint32(r.spender.Members().Known(r.now()))
		r.send(from, message.New(kindGrant, g))
	case *quota.Grant:
		r.spender.Handle(from, b, r.now())
		if b.Released {
			r.poll() // changes to another owner at once
		}
	}
}

// poll applies changes of the configuration and of the other nodes, and updates logs and metrics.
func (r *RateLimiter) poll() {
	now := r.now()
	if p := r.cluster.View().Plan(); p != r.plan {
		r.plan = p
		ls := limitsOf(p)
		r.limits = len(ls)
		r.spender.SetLimits(ls)
		r.granter.SetLimits(ls, now)
	}
	if r.limits == 0 {
		return
	}
	var alive []string
	for _, c := range r.cluster.Nodes() {
		if c.Alive || c.Leaving {
			r.spender.Members().See(c.Address, c.Leaving, c.Age, now)
		}
		if c.Alive {
			alive = append(alive, c.Address)
		}
	}
	r.spender.Members().SetAddresses(r.cluster.AddressCount(), now)
	for _, c := range r.spender.SetNodes(alive, now) {
		r.log.Info("owner of limits changed", "shard", c.Shard, "owner", c.Owner, "from", c.From)
	}
	for _, t := range r.spender.Transitions(now) {
		if t.Began {
			r.log.Warn("tenant limited", "tenant", t.Limit.Name, "limit", t.Limit.Rate, "burst", t.Limit.Burst,
				"arriving", t.Rate, "granted", t.Granted, "refused", t.Refused)
		} else {
			r.log.Info("tenant no longer limited", "tenant", t.Limit.Name, "limit", t.Limit.Rate, "refused", t.Refused,
				"period", t.Period.Milliseconds())
		}
	}
	r.updateMetrics(now)
}

func (r *RateLimiter) updateMetrics(now time.Duration) {
	used := uint64(0)
	for name, a := range r.spender.Accounts() {
		used += a.Used()
		n := a.Refused()
		if n == r.seen[name] {
			continue
		}
		if r.refused[name] == nil && len(r.refused) < maxTenantMetrics {
			r.refused[name] = metrics.GetOrRegisterCounter("quota.refused."+name, nil)
		}
		if c := r.refused[name]; c != nil && n > r.seen[name] {
			c.Inc(int64(n - r.seen[name]))
		}
		refused.Inc(int64(n - min(n, r.seen[name])))
		r.seen[name] = n
	}
	tokensUsed.Update(int64(used))
	tokensGranted.Update(int64(r.granter.Counts().Granted))
	tokensExpired.Update(int64(r.spender.Expired()))
	shares := 0.0
	for i := range quota.Shards {
		shares += r.granter.Share(uint8(i), now)
	}
	sharesUsed.Update(int64(shares * 1000))
}

func limitOf(t *tenant.Tenant) quota.Limit {
	return quota.Limit{Name: t.Name(), Rate: t.RatePerSecond(), Burst: t.Burst()}
}

// limitsOf returns the limits of the tenants that have one.
func limitsOf(p *plan.Plan) []quota.Limit {
	if p == nil {
		return nil
	}
	var ls []quota.Limit
	for _, t := range p.Tenants() {
		if t.Limited() {
			ls = append(ls, limitOf(t))
		}
	}
	return ls
}
