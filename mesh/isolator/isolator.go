package isolator

import (
	"context"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"wisteriaspoke.example/mesh/effect"
	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/guard"
	"wisteriaspoke.example/mesh/kernel"
	"wisteriaspoke.example/mesh/machine"
	"wisteriaspoke.example/mesh/message"
	"wisteriaspoke.example/mesh/roster"
	"wisteriaspoke.example/mesh/spreader"
)

func init() {
	kernel.Register("guard", 47, func() kernel.Part { return newIsolator(time.Now) })
}

const (
	tickInterval = 100 * time.Millisecond
	// maxSyncWait bounds the wait for the marks of a relay before the node counts as ready.
	maxSyncWait = time.Second
	// maxRosterWait bounds the wait for the first roster before the node counts as ready.
	maxRosterWait = 3 * time.Second
)

// sender sends messages to other nodes without blocking.
type sender interface {
	Send(peer string, m message.Message)
}

// configProvider returns the identity of this node.
type configProvider interface {
	Config() machine.Config
}

// Isolator stores the marks of this node and checks them before calls run.
type Isolator struct {
	now     func() time.Time
	started atomic.Bool // earlier messages are dropped; their senders repeat them
	log     *slog.Logger
	node    string
	links   sender

	// markedFingerprints points to the fingerprints with marks, or is nil while there are none; epoch is the guard's.
	// Both are copies, so that calls without marks need not lock the mutex.
	markedFingerprints atomic.Pointer[map[string]struct{}]
	epoch              atomic.Uint64

	mutex           sync.Mutex // guards the fields up to changed
	guard           *guard.Guard
	spreader        *spreader.Spreader
	copiedSequence  uint64                // the guard's sequence at the last copy
	copiedAt        time.Time             // last copy
	startedAt       time.Time             // when the part started
	relaysKnownAt   time.Time             // when the first roster with relays arrived
	earlyRoster     *roster.Roster        // roster that arrived before the start, or nil
	queued          *markBatch            // marks that are not sent yet, or nil
	unconfirmed     map[uint64]*markBatch // sent batches, by the spreader's batch number
	runningSuspects map[uint64]suspect    // suspects that run on this node, by call ID
	changed         chan struct{}         // closed at the next change that may allow a call to run

	wake          chan struct{} // signals that marks are queued
	permitReplies sync.Map      // call ID -> chan bool
}

// Start looks up the parts that the isolator uses and begins to spread marks.
func (i *Isolator) Start(ctx context.Context, k *kernel.Kernel) (<-chan error, error) {
	links, err := kernel.Need[sender](k)
	if err != nil {
		return nil, err
	}
	id, err := kernel.Need[configProvider](k)
	if err != nil {
		return nil, err
	}
	i.log = k.Log
	i.setUp(id.Config(), links)
	done := make(chan error, 1)
	go func() { done <- i.run(ctx) }()
	return done, nil
}

func newIsolator(now func() time.Time) *Isolator {
	return &Isolator{
		now: now, log: slog.New(slog.DiscardHandler), unconfirmed: map[uint64]*markBatch{},
		runningSuspects: map[uint64]suspect{}, changed: make(chan struct{}), wake: make(chan struct{}, 1),
	}
}

func (i *Isolator) setUp(c machine.Config, links sender) {
	i.mutex.Lock()
	i.node, i.links = c.Node, links
	i.startedAt = i.now()
	i.guard = &guard.Guard{Node: c.Node, Incarnation: c.Incarnation}
	i.spreader = &spreader.Spreader{Node: c.Node, Incarnation: c.Incarnation, Guard: i.guard}
	early := i.earlyRoster
	i.started.Store(true)
	i.mutex.Unlock()
	if early != nil {
		i.Publish(*early)
	}
}

// run sends new marks and resends unconfirmed ones until ctx ends.
func (i *Isolator) run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			i.update(i.spreader.Tick)
		case <-i.wake:
			i.update(i.flush)
		}
	}
}

// update runs f under the mutex, updates the copies and sends the messages that f returns.
func (i *Isolator) update(f func(now time.Time) []effect.Effect) {
	i.mutex.Lock()
	now := i.now()
	effects := f(now)
	i.endWaits()
	i.updateCopies(now)
	i.mutex.Unlock()
	for _, e := range effects {
		i.links.Send(e.Peer(), e.Message())
	}
}

// updateCopies copies the epoch, and the marked fingerprints after a change and once a second, as marks expire.
func (i *Isolator) updateCopies(now time.Time) {
	i.epoch.Store(i.guard.Epoch())
	if i.copiedSequence == i.guard.Sequence() && now.Sub(i.copiedAt) < time.Second {
		return
	}
	if i.copiedSequence != i.guard.Sequence() {
		i.wakeWaiting()
	}
	i.copiedSequence, i.copiedAt = i.guard.Sequence(), now
	fingerprints := i.guard.Fingerprints(now)
	if len(fingerprints) == 0 {
		i.markedFingerprints.Store(nil)
		return
	}
	i.markedFingerprints.Store(&fingerprints)
}

// wakeWaiting wakes the calls that wait in Admit.
func (i *Isolator) wakeWaiting() {
	close(i.changed)
	i.changed = make(chan struct{})
}

// Publish applies a new roster and ignores all other values; called by one goroutine at a time.
func (i *Isolator) Publish(value any) {
	r, ok := value.(roster.Roster)
	if !ok || i.keepEarlyRoster(r) {
		return
	}
	i.update(func(now time.Time) []effect.Effect {
		if i.relaysKnownAt.IsZero() && len(r.Relays()) > 0 {
			i.relaysKnownAt = now
		}
		return i.spreader.SetRoster(now, r)
	})
}

// keepEarlyRoster stores a roster that arrives before the start, because the driver does not publish it again. It
// reports whether it did so.
func (i *Isolator) keepEarlyRoster(r roster.Roster) bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.started.Load() {
		return false
	}
	i.earlyRoster = &r
	return true
}

// Handle processes a message of the crash guard and reports whether m was one.
func (i *Isolator) Handle(peer string, m message.Message) bool {
	if !strings.HasPrefix(m.Kind(), kindPrefix) {
		return false
	}
	if !i.started.Load() {
		return true
	}
	switch b := m.Body().(type) {
	case *askBody:
		i.handleAsk(peer, b)
		return true
	case *permitBody:
		i.handlePermit(b)
		return true
	case *returnBody:
		i.update(func(time.Time) []effect.Effect {
			i.guard.ReleasePermit(b.Fingerprint, b.Holder)
			return nil
		})
		return true
	}
	handled := false
	i.update(func(now time.Time) []effect.Effect {
		var effects []effect.Effect
		effects, handled = i.spreader.Receive(now, peer, m)
		return effects
	})
	return handled
}

// Ready returns nil once this node has the marks of a relay, or has waited for them for the maximum time.
func (i *Isolator) Ready() error {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if !i.started.Load() {
		return fault.New(fault.Unavailable, "the crash guard has not started", "wait for the start")
	}
	now := i.now()
	if i.spreader.Synced() || now.Sub(i.startedAt) >= maxRosterWait ||
		!i.relaysKnownAt.IsZero() && now.Sub(i.relaysKnownAt) >= maxSyncWait {
		return nil
	}
	return fault.New(fault.Unavailable, "the marks of crashed calls are not known yet", "wait a second")
}
