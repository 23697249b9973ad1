package revalidator

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"wisteriaspoke.example/mesh/clock"
	"wisteriaspoke.example/mesh/elector"
	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/kernel"
	"wisteriaspoke.example/mesh/machine"
	"wisteriaspoke.example/mesh/message"
	"wisteriaspoke.example/mesh/record"
	"wisteriaspoke.example/mesh/view"
)

func init() {
	kernel.Register("revalidator", 48, func() kernel.Part {
		return &Revalidator{inputs: make(chan any, inputQueueSize), readErrors: make(chan error, 1), proven: make(chan struct{})}
	})
}

const (
	// tickInterval is the interval at which reads and messages that are due are looked for.
	tickInterval = 100 * time.Millisecond
	// pollInterval is the pause between two polls. With the ways of a proof it is well below the age at which nodes read the
	// store themselves.
	pollInterval = 900 * time.Millisecond
	// forgetInterval is the interval at which nodes that are gone are forgotten.
	forgetInterval = 30 * time.Second
	// readTimeout bounds a read of the store; other nodes read it meanwhile.
	readTimeout = 1500 * time.Millisecond
	// readCallName names reads in log lines.
	readCallName = "list " + string(record.Configuration) + " for a proof"
	// minRevoke is the lowest value of --revoke: a read of the store and its way to other regions must fit into the part of it
	// that is left when nodes begin to read.
	minRevoke = time.Second
	// inputQueueSize holds the messages of a second from a thousand nodes. A lost one makes a proof older.
	inputQueueSize = 2048
)

var (
	proofAge      = metrics.GetOrRegisterGauge("proof.age.ms", nil)
	proofsIgnored = metrics.GetOrRegisterGauge("proof.incomparable", nil)
	proofReads    = metrics.GetOrRegisterCounter("proof.reads", nil)
	inputsDropped = metrics.GetOrRegisterCounter("proof.dropped", nil)
	storeCalls    = metrics.GetOrRegisterCounter("store.calls", nil)
	storeFailures = metrics.GetOrRegisterCounter("store.failures", nil)
)

// store is the platform's store of objects.
type store interface {
	// List returns all objects of the kind and the revision of the list; cheap allows a stale list.
	List(ctx context.Context, kind record.Kind, cheap bool) (rs []record.Record, at uint64, err error)
}

// cluster provides the other nodes and applies what was read from the store.
type cluster interface {
	// AddRead adds the result of a read of the configuration that began at the time by this host's boot-time clock; it does
	// not block.
	AddRead(rs []record.Record, began time.Duration) bool
	// SetStoreReachable sets whether the store responds and the response time, or zero if none was measured.
	SetStoreReachable(reachable bool, latency time.Duration)
	// Nodes returns the other known nodes.
	Nodes() []elector.Candidate
	// View returns the current state.
	View() *view.View
}

// peerSender sends messages to one node.
type peerSender interface {
	// Send queues m for the node at address peer without blocking.
	Send(peer string, m message.Message)
}

// configSource provides this node's identity and location.
type configSource interface {
	// Config returns this node's settings.
	Config() machine.Config
}

// bootClock is a clock that also counts the time during which the host was suspended.
type bootClock interface {
	// BootTime returns the time since the host booted.
	BootTime() time.Duration
}

// Revalidator keeps proofs of how fresh this node's configuration is. One goroutine owns its state; requests read the proofs
// through one atomic pointer.
type Revalidator struct {
	Revoke time.Duration `help:"Time after which no request with a revoked key runs; requests with a key are refused while the configuration may be older. 0 for no such limit." default:"0" env:"WISTERIASPOKE_REVOKE"`
	Apply  time.Duration `help:"Time after which each node acts by a configuration that the store has acknowledged; a node that is not told reads the store itself. 0 for no such bound." default:"0" env:"WISTERIASPOKE_APPLY"`

	log         *slog.Logger
	store       store
	cluster     cluster
	distributor *distributor
	started     atomic.Pointer[distributor] // distributor, for requests that arrive before it is set
	inputs      chan any                    // peerMessage or proof
	readErrors  chan error
	proven      chan struct{} // closed when there is a first proof

	// Only the goroutine of run uses the fields below.
	hasProof     bool // proven is closed
	refusing     bool // requests with a key are refused
	refusedSince time.Duration
	forgotAt     time.Duration
}

// peerMessage is a message from the node at address peer.
type peerMessage struct {
	peer string
	m    message.Message
}

// Check returns an error for each invalid setting, with its remedy.
func (r *Revalidator) Check() error {
	var errs []error
	if r.Revoke != 0 && r.Revoke < minRevoke {
		errs = append(errs, fault.New(fault.Invalid, "--revoke is below "+minRevoke.String(), "set it to 0 for no limit, or to a time such as 5s"))
	}
	if r.Apply < 0 {
		errs = append(errs, fault.New(fault.Invalid, "--apply is below 0", "set it to 0 for no bound, or to a time such as 2.5s"))
	}
	return errors.Join(errs...)
}

// Start starts the goroutine that keeps the proofs, if --revoke or --apply is set.
func (r *Revalidator) Start(ctx context.Context, k *kernel.Kernel) (<-chan error, error) {
	if !r.Proves() {
		return nil, nil
	}
	var err error
	if r.store, err = kernel.Need[store](k); err != nil {
		return nil, err
	}
	if r.cluster, err = kernel.Need[cluster](k); err != nil {
		return nil, err
	}
	sender, err := kernel.Need[peerSender](k)
	if err != nil {
		return nil, err
	}
	own, err := kernel.Need[configSource](k)
	if err != nil {
		return nil, err
	}
	c := own.Config()
	r.log = k.Log
	now := clock.Clock{}.Now
	if clocks := kernel.All[bootClock](k); len(clocks) > 0 {
		now = clocks[0].BootTime
	}
	d := newDistributor(c.Node, c.Region, c.Incarnation, newSchedule(r.Revoke, r.Apply), now)
	d.random, d.send, d.nodes = rand.Float64, sender.Send, r.cluster.Nodes
	r.distributor = d
	r.started.Store(d)
	end := make(chan error, 1)
	go func() { end <- r.run(ctx) }()
	return end, nil
}

// Proves reports whether proofs are kept.
func (r *Revalidator) Proves() bool { return r.Revoke > 0 || r.Apply > 0 }

// Enabled reports whether requests with a key need a proof.
func (r *Revalidator) Enabled() bool { return r.Revoke > 0 }

// Fresh reports whether requests with a key may run by a configuration of the version: it is certain that no newer one was
// acknowledged by the store before some time that is below --revoke.
func (r *Revalidator) Fresh(version uint64) bool {
	if !r.Enabled() {
		return true
	}
	d := r.started.Load()
	return d != nil && d.fresh(version)
}

// Proven returns a channel that is closed once this process has a proof.
func (r *Revalidator) Proven() <-chan struct{} { return r.proven }

// Prove records that a read of the store which began at the time, by this host's boot-time clock, found no configuration
// newer than the version.
func (r *Revalidator) Prove(began time.Duration, version uint64) {
	if r.Proves() {
		r.enqueue(proof{moment: began, version: version})
	}
}

// PollInterval returns the pause between two polls of the configuration by one node, which keep all proofs young in calm.
func (r *Revalidator) PollInterval() time.Duration {
	if !r.Proves() {
		return 0
	}
	return pollInterval
}

// Handle queues the messages of this part and reports whether m is one.
func (r *Revalidator) Handle(peer string, m message.Message) bool {
	if m.Kind() != kindStamp && m.Kind() != kindProof {
		return false
	}
	if r.Proves() {
		r.enqueue(peerMessage{peer, m})
	}
	return true
}

func (r *Revalidator) enqueue(input any) {
	select {
	case r.inputs <- input:
	default:
		inputsDropped.Inc(1)
	}
}

func (r *Revalidator) run(ctx context.Context) error {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	defer func() {
		if r.distributor.reading {
			<-r.readErrors
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case in := <-r.inputs:
			r.handleInput(in)
		case err := <-r.readErrors:
			r.distributor.reading = false
			if err != nil && ctx.Err() == nil {
				r.log.Warn("store call failed", "call", readCallName, "kind", fault.KindOf(err), "error", err)
			}
		case <-t.C:
			r.tick(ctx)
		}
	}
}

func (r *Revalidator) handleInput(input any) {
	defer r.announceFirst()
	switch in := input.(type) {
	case proof:
		r.distributor.handleOwn(in)
	case peerMessage:
		switch b := in.m.Body().(type) {
		case *stamp:
			r.distributor.handleStamp(in.peer, b)
		case *proofMessage:
			r.distributor.handleProof(in.peer, b)
		}
	}
}

// announceFirst closes proven when there is a first proof.
func (r *Revalidator) announceFirst() {
	if !r.hasProof && len(*r.distributor.proofs.Load()) > 0 {
		r.hasProof = true
		close(r.proven)
	}
}

func (r *Revalidator) tick(ctx context.Context) {
	p := r.cluster.View().Plan()
	version := uint64(0)
	if p != nil {
		version = p.Version()
	}
	if r.distributor.tick(version, p != nil) {
		proofReads.Inc(1)
		go func() { r.readErrors <- r.read(ctx) }()
	}
	if p != nil {
		r.report(version, len(p.Tenants()) > 0)
	}
	if now := r.distributor.now(); now-r.forgotAt >= forgetInterval {
		r.forgotAt = now
		r.distributor.forget()
	}
}

// read lists the configuration, whose proof comes through the cluster after the records have been applied.
func (r *Revalidator) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	storeCalls.Inc(1)
	began, start := r.distributor.now(), time.Now()
	rs, _, err := r.store.List(ctx, record.Configuration, false)
	if ctx.Err() == context.Canceled {
		return ctx.Err()
	}
	if err != nil {
		storeFailures.Inc(1)
		r.cluster.SetStoreReachable(false, 0)
		return err
	}
	r.cluster.SetStoreReachable(true, time.Since(start))
	r.cluster.AddRead(rs, began)
	return nil
}

// report updates the metrics and logs the start and the end of each period in which requests with a key are refused.
func (r *Revalidator) report(version uint64, keysNeeded bool) {
	d := r.distributor
	now := d.now()
	age, known := d.age(version)
	if !known {
		age = now - d.startAt
	}
	proofAge.Update(age.Milliseconds())
	proofsIgnored.Update(d.incomparable)
	refusing := r.Enabled() && keysNeeded && !d.fresh(version)
	if refusing == r.refusing {
		return
	}
	r.refusing = refusing
	if refusing {
		r.refusedSince = now
		r.log.Warn("requests with a key are refused, as the configuration may be out of date", "version", version,
			"proven", known, "age", age.Milliseconds(), "bound", d.schedule.fresh.Milliseconds())
		return
	}
	r.log.Info("requests with a key are accepted", "version", version, "age", age.Milliseconds(),
		"refused", (now - r.refusedSince).Milliseconds())
}
