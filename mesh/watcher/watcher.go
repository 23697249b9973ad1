package watcher

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"wisteriaspoke.example/mesh/elector"
	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/kernel"
	"wisteriaspoke.example/mesh/machine"
	"wisteriaspoke.example/mesh/pauser"
	"wisteriaspoke.example/mesh/record"
)

func init() {
	kernel.Register("watcher", 50, func() kernel.Part { return &Watcher{} })
}

const (
	// watchWait is how long the store holds a watch without news. A watch can be deaf until it ends: its connection has
	// gone silent, or the store has dropped its history meanwhile. A configuration must be in force within some 2.5 s.
	watchWait = 1200 * time.Millisecond
	// watchLong is that of orders and of the last spare watcher, whose news can wait.
	watchLong = 4 * time.Second
	// callTimeout bounds a call that the store answers at once.
	callTimeout = 1500 * time.Millisecond
	// watchMargin is added to a watch's wait for the way and a slow store.
	watchMargin = 700 * time.Millisecond
	// gather is the pause after news, so that changes in quick succession come with one call. gatherSpare is that of a
	// spare watcher, whose news is late only if the first one is deaf.
	gather      = 150 * time.Millisecond
	gatherSpare = time.Second
	// watchCall names watches in log lines.
	watchCall = "watch"
	// pollElection is the interval at which a node that does not watch checks whether it should.
	pollElection = 250 * time.Millisecond
	// settle is how long a starting node waits for others to tell it the configuration before it watches itself.
	settle = 300 * time.Millisecond
	// retryLeast and retryMost bound the pause after a failed call; it doubles, with a random half.
	retryLeast = 150 * time.Millisecond
	retryMost  = 1200 * time.Millisecond
	// relist is the interval of reading the list of nodes again, as a node may have missed an entry.
	relist = 40 * time.Second
	// relistAlone is the interval while this node is linked with no other.
	relistAlone = 2 * time.Second
)

// waits are how long watches wait, for each node that watches a kind in the order of election. The store may turn hosts
// away in silence, so spare nodes hear of a configuration when the first one does not.
var waits = map[record.Kind][]time.Duration{
	record.Configuration: {watchWait, watchWait, watchLong},
	record.Orders:        {watchLong, watchLong},
}

var (
	calls    = metrics.GetOrRegisterCounter("store.calls", nil)
	failures = metrics.GetOrRegisterCounter("store.failures", nil)
)

// store is the platform's store of objects.
type store interface {
	// List returns all objects of the kind and the revision that the list shows; cheap allows an old one.
	List(ctx context.Context, kind record.Kind, cheap bool) (rs []record.Record, at uint64, err error)
	// Watch returns the changes after the revision, waiting for the first one; no change is not an error. An error
	// of kind Gone means that the changes are no longer known.
	Watch(ctx context.Context, kind record.Kind, after uint64, wait time.Duration) (rs []record.Record, at uint64, err error)
	// Put creates or replaces an object, whatever its revision.
	Put(ctx context.Context, kind record.Kind, name string, spec []byte) error
}

// spreader keeps what is learned and knows the other nodes.
type spreader interface {
	// AddRecords takes records from the store; it does not block.
	AddRecords(rs []record.Record)
	// AddAddresses takes addresses of nodes; it does not block.
	AddAddresses(addresses []string)
	// SetStoreReachable takes whether the store answers, and the time that a quick answer took or zero.
	SetStoreReachable(store bool, took time.Duration)
	// Nodes returns the other nodes that have been heard of.
	Nodes() []elector.Candidate
	// Self returns this node.
	Self() elector.Candidate
}

// settler knows which node this is.
type settler interface {
	// Config returns what is known of this node.
	Config() machine.Config
}

// Watcher keeps in touch with the store.
type Watcher struct {
	log      *slog.Logger
	store    store
	spreader spreader
	node     string
}

// Start begins the calls to the store; a store that does not answer does not keep the node from starting.
func (w *Watcher) Start(ctx context.Context, k *kernel.Kernel) (<-chan error, error) {
	var err error
	if w.store, err = kernel.Need[store](k); err != nil {
		return nil, err
	}
	if w.spreader, err = kernel.Need[spreader](k); err != nil {
		return nil, err
	}
	s, err := kernel.Need[settler](k)
	if err != nil {
		return nil, err
	}
	w.log, w.node = k.Log, s.Config().Node
	end := make(chan error, 1)
	go func() {
		group, inner := errgroup.WithContext(ctx)
		group.Go(func() error { return w.enter(inner) })
		group.Go(func() error { return w.follow(inner, record.Configuration) })
		group.Go(func() error { return w.follow(inner, record.Orders) })
		end <- group.Wait()
	}()
	return end, nil
}

// enter writes this node's entry and then lists all entries. Of two nodes that start together, the one that writes
// last sees both, so the order keeps them from missing each other.
func (w *Watcher) enter(ctx context.Context) error {
	b := backoff{}
	for {
		err := w.call(ctx, "put entry", func(ctx context.Context) error {
			return w.store.Put(ctx, record.Hosts, w.node, nil)
		})
		if err == nil {
			break
		}
		if err := pauser.Pause(ctx, b.next()); err != nil {
			return err
		}
	}
	for first := true; ; first = false {
		err := w.call(ctx, "list entries", func(ctx context.Context) error {
			rs, _, err := w.store.List(ctx, record.Hosts, !first)
			w.spreader.AddAddresses(names(rs))
			return err
		})
		delay := relist
		switch {
		case err != nil:
			delay = b.next()
		case len(w.spreader.Nodes()) == 0:
			delay = relistAlone
		default:
			b = backoff{}
		}
		if err := pauser.Pause(ctx, delay); err != nil {
			return err
		}
	}
}

func names(rs []record.Record) []string {
	var ns []string
	for _, r := range rs {
		if !r.Deleted {
			ns = append(ns, r.Name)
		}
	}
	return ns
}

// follow watches one kind while this node is elected to.
func (w *Watcher) follow(ctx context.Context, kind record.Kind) error {
	if err := pauser.Pause(ctx, settle); err != nil {
		return err
	}
	var at uint64
	b := backoff{}
	watching := false
	for {
		place := elector.Rank(w.spreader.Self(), w.spreader.Nodes())
		if place >= len(waits[kind]) {
			if watching {
				w.log.Info("watch ends; other nodes watch", "kind", kind, "at", at)
			}
			watching, at = false, 0
			if err := pauser.Pause(ctx, pollElection); err != nil {
				return err
			}
			continue
		}
		if !watching {
			watching = true
			w.log.Info("watch begins", "kind", kind, "place", place)
		}
		news, err := w.step(ctx, kind, waits[kind][place], &at)
		var delay time.Duration
		switch {
		case err != nil:
			delay = b.next()
		case news && place > 0:
			b, delay = backoff{}, gatherSpare
		case news:
			b, delay = backoff{}, gather
		default:
			b = backoff{}
		}
		if err := pauser.Pause(ctx, delay); err != nil {
			return err
		}
	}
}

// step lists or watches once and moves at on.
func (w *Watcher) step(ctx context.Context, kind record.Kind, wait time.Duration, at *uint64) (news bool, err error) {
	var rs []record.Record
	var next uint64
	if *at == 0 {
		err = w.call(ctx, "list "+string(kind), func(ctx context.Context) error {
			rs, next, err = w.store.List(ctx, kind, false)
			return err
		})
	} else {
		err = w.limited(ctx, watchCall, wait+watchMargin, func(ctx context.Context) error {
			rs, next, err = w.store.Watch(ctx, kind, *at, wait)
			return err
		})
	}
	if err != nil {
		if fault.KindOf(err) == fault.Gone {
			w.log.Warn("history of the store is gone; listing again", "kind", kind, "at", *at)
			*at = 0
		}
		return false, err
	}
	*at = next
	if len(rs) > 0 {
		w.spreader.AddRecords(rs)
	}
	return len(rs) > 0, nil
}

func (w *Watcher) call(ctx context.Context, what string, f func(context.Context) error) error {
	return w.limited(ctx, what, callTimeout, f)
}

// limited does one call and keeps whether the store answers.
func (w *Watcher) limited(ctx context.Context, what string, limit time.Duration, f func(context.Context) error) error {
	inner, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	calls.Inc(1)
	begun := time.Now()
	err := f(inner)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if err != nil {
		failures.Inc(1)
		w.log.Warn("store call failed", "call", what, "kind", fault.KindOf(err), "error", err)
	}
	took := time.Since(begun)
	if err != nil || what == watchCall {
		// The time of a watch says nothing about the way.
		took = 0
	}
	w.spreader.SetStoreReachable(err == nil || fault.KindOf(err) == fault.Gone, took)
	return err
}

// backoff is the pause between failed calls.
type backoff struct {
	last time.Duration
}

func (b *backoff) next() time.Duration {
	b.last = min(retryMost, max(retryLeast, 2*b.last))
	return b.last/2 + rand.N(b.last/2)
}
