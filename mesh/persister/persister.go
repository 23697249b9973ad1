package persister

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"

	"wisteriaspoke.example/mesh/enroller"
	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/kernel"
	"wisteriaspoke.example/mesh/machine"
	"wisteriaspoke.example/mesh/withdrawal"
)

func init() {
	// The announcer, which has a higher priority, accepts announcements as soon as it has started.
	kernel.Register("persister", 41, func() kernel.Part { return New() })
}

const (
	// callTimeout bounds a call to the store.
	callTimeout = time.Second
	// minBackoff and maxBackoff bound the pause after a failed call, which doubles each time; half of it is random.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
	// eraCheckInterval is the interval at which it is checked whether the store was restored from an older copy.
	eraCheckInterval = 5 * time.Second
	// maxWait bounds Persist. The upstream takes a message for lost if it is not acknowledged within a second.
	maxWait = 600 * time.Millisecond
)

var (
	calls    = metrics.GetOrRegisterCounter("withdrawal.calls", nil)    // to the store
	failures = metrics.GetOrRegisterCounter("withdrawal.failures", nil) // of these
	unstored = metrics.GetOrRegisterCounter("withdrawal.unstored", nil) // acknowledged before they were stored
)

// store keeps one object with withdrawals for each node.
type store interface {
	// Withdrawals returns what the processes of the node have stored and its position, or 0 if there is no object.
	Withdrawals(ctx context.Context, node string) (ws []withdrawal.Withdrawal, position uint64, err error)
	// StoreWithdrawals replaces what is stored at the position, or creates the object if that is 0, and returns the new
	// position. The error is of kind Conflict if the object has changed since the position.
	StoreWithdrawals(ctx context.Context, node string, ws []withdrawal.Withdrawal, position uint64) (uint64, error)
	// Era returns how often the store was restored from an older copy, as far as is known; it does not block.
	Era() uint64
}

// registry holds what is known of the local upstream.
type registry interface {
	// Recall adds the withdrawals of earlier processes of this node.
	Recall(ws []withdrawal.Withdrawal)
	// Withdrawals returns the withdrawals to store.
	Withdrawals() []withdrawal.Withdrawal
}

// configSource provides this node's configuration.
type configSource interface {
	// Config returns this node's configuration.
	Config() machine.Config
}

// Persister stores withdrawals and recalls those that earlier processes of this node have stored. One goroutine owns its state.
type Persister struct {
	log      *slog.Logger
	store    store
	registry registry
	jitter   func(time.Duration) time.Duration // returns a random time below the given one
	node     string                            // address of this node
	requests chan chan struct{}                // closed when all withdrawals of before the request are stored
	changed  chan struct{}                     // capacity 1; signalled when the upstream was withdrawn

	// The fields below are owned by the goroutine.
	loaded   bool
	mayExist bool // the store may have an object, so that none can be created without a load
	position uint64
	era      uint64 // of the store at the last successful call
	stored   []withdrawal.Withdrawal
	waiting  []chan struct{}
}

// New returns a persister that has not stored anything.
func New() *Persister {
	return &Persister{jitter: rand.N[time.Duration], requests: make(chan chan struct{}), changed: make(chan struct{}, 1)}
}

// Start starts the goroutine that calls the store.
func (p *Persister) Start(ctx context.Context, k *kernel.Kernel) (<-chan error, error) {
	var err error
	if p.store, err = kernel.Need[store](k); err != nil {
		return nil, err
	}
	if p.registry, err = kernel.Need[registry](k); err != nil {
		return nil, err
	}
	c, err := kernel.Need[configSource](k)
	if err != nil {
		return nil, err
	}
	p.log, p.node = k.Log, c.Config().Node
	end := make(chan error, 1)
	go func() { end <- p.run(ctx) }()
	return end, nil
}

// UpstreamChanged has a withdrawal stored that no message of the upstream has told; it does not block.
func (p *Persister) UpstreamChanged(u *enroller.Upstream) {
	if !u.Withdrawn() {
		return
	}
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

// Persist returns when all withdrawals that the registry has are stored, and those that are stored are in the registry. If the store does not answer within maxWait, or ctx ends,
// it returns an error, and they are stored later unless the process ends before.
func (p *Persister) Persist(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	done := make(chan struct{})
	select {
	case p.requests <- done:
	case <-ctx.Done():
		return notStored(ctx)
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return notStored(ctx)
	}
}

func notStored(ctx context.Context) error {
	unstored.Inc(1)
	return fault.Wrap(fault.Unavailable, ctx.Err(), "withdrawals are not stored yet", "they are stored when the store answers")
}

// run loads what earlier processes have stored once that is asked for, and stores what is new.
func (p *Persister) run(ctx context.Context) error {
	era := time.NewTicker(eraCheckInterval)
	defer era.Stop()
	retry := time.NewTimer(0)
	retry.Stop()
	var backoff time.Duration
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case done := <-p.requests:
			p.waiting = append(p.waiting, done)
		case <-p.changed:
		case <-era.C:
			if !p.loaded || p.store.Era() == p.era {
				continue
			}
		case <-retry.C:
		}
		if err := p.update(ctx); err != nil {
			backoff = min(maxBackoff, max(minBackoff, 2*backoff))
			retry.Reset(backoff/2 + p.jitter(backoff/2))
			continue
		}
		backoff = 0
		retry.Stop()
		for _, done := range p.waiting {
			close(done)
		}
		p.waiting = nil
	}
}

// update brings the store and the registry in line.
func (p *Persister) update(ctx context.Context) error {
	if p.loaded && p.store.Era() != p.era {
		// The restored store may lack what was stored, and positions of before are not valid.
		p.loaded = false
	}
	ws := p.registry.Withdrawals()
	if !p.loaded && (len(ws) == 0 || p.mayExist) {
		if err := p.load(ctx); err != nil {
			return err
		}
		ws = p.registry.Withdrawals()
	}
	if slices.Equal(ws, p.stored) {
		return nil
	}
	var position uint64
	err := p.call(ctx, "store withdrawals", func(ctx context.Context) error {
		var err error
		position, err = p.store.StoreWithdrawals(ctx, p.node, ws, p.position)
		return err
	})
	if err != nil {
		// The object may have changed, also by this call if its answer was lost.
		p.loaded, p.mayExist = false, true
		return err
	}
	p.loaded, p.mayExist, p.stored, p.position, p.era = true, true, ws, position, p.store.Era()
	p.log.Info("withdrawals stored", "count", len(ws))
	return nil
}

// load reads what the processes of this node have stored.
func (p *Persister) load(ctx context.Context) error {
	var ws []withdrawal.Withdrawal
	var position uint64
	err := p.call(ctx, "load withdrawals", func(ctx context.Context) error {
		var err error
		ws, position, err = p.store.Withdrawals(ctx, p.node)
		return err
	})
	if err != nil {
		return err
	}
	p.loaded, p.mayExist, p.stored, p.position, p.era = true, true, ws, position, p.store.Era()
	p.registry.Recall(ws)
	p.log.Info("withdrawals loaded", "count", len(ws))
	return nil
}

// call makes one call to the store and logs its failure.
func (p *Persister) call(ctx context.Context, name string, f func(context.Context) error) error {
	inner, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	calls.Inc(1)
	err := f(inner)
	if err != nil && ctx.Err() == nil {
		failures.Inc(1)
		p.log.Warn("store call failed", "call", name, "kind", fault.KindOf(err), "error", err)
	}
	return err
}
