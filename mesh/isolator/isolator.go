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
	// syncLimit bounds the wait for the marks of a relay before the node counts as ready.
	syncLimit = time.Second
	// rosterLimit bounds the wait for the first view of the relays, for the same purpose.
	rosterLimit = 3 * time.Second
)

// sender sends messages to other nodes without blocking.
type sender interface {
	Send(peer string, m message.Message)
}

// identifier knows which node this is.
type identifier interface {
	Config() machine.Config
}

// Isolator holds the marks of this node and asks about them before calls run.
type Isolator struct {
	now     func() time.Time
	started atomic.Bool // messages that arrive before are dropped, and repeated by their senders
	log     *slog.Logger
	node    string
	links   sender

	// marked holds the fingerprints with marks, or nil while there are none; epoch is the guard's. Both are copies
	// for calls without marks, which do not take the mutex.
	marked atomic.Pointer[map[string]struct{}]
	epoch  atomic.Uint64

	mutex    sync.Mutex // guards all below
	guard    *guard.Guard
	spreader *spreader.Spreader
	sequence uint64         // of the guard's marks in the copy
	copied   time.Time      // last copy
	opened   time.Time      // when the part started
	asked    time.Time      // first view of relays to ask
	roster   *roster.Roster // that came before the start, or nil
	waiting  *news          // marks that are not sent yet, or nil
	sent     map[uint64]*news
	suspects map[uint64]suspect // that run here, by number
	changed  chan struct{}      // closed at the next change that may let a call run

	wake    chan struct{}
	replies sync.Map // number of a call -> chan bool
}

// Start looks up the parts that the isolator talks to and begins to spread marks.
func (i *Isolator) Start(ctx context.Context, k *kernel.Kernel) (<-chan error, error) {
	links, err := kernel.Need[sender](k)
	if err != nil {
		return nil, err
	}
	id, err := kernel.Need[identifier](k)
	if err != nil {
		return nil, err
	}
	i.log = k.Log
	i.open(id.Config(), links)
	end := make(chan error, 1)
	go func() { end <- i.run(ctx) }()
	return end, nil
}

func newIsolator(now func() time.Time) *Isolator {
	return &Isolator{
		now: now, log: slog.New(slog.DiscardHandler), sent: map[uint64]*news{}, suspects: map[uint64]suspect{},
		changed: make(chan struct{}), wake: make(chan struct{}, 1),
	}
}

func (i *Isolator) open(c machine.Config, links sender) {
	i.mutex.Lock()
	i.node, i.links = c.Node, links
	i.opened = i.now()
	i.guard = &guard.Guard{Node: c.Node, Incarnation: c.Incarnation}
	i.spreader = &spreader.Spreader{Node: c.Node, Incarnation: c.Incarnation, Guard: i.guard}
	early := i.roster
	i.started.Store(true)
	i.mutex.Unlock()
	if early != nil {
		i.Publish(*early)
	}
}

// run sends new marks and repeats what was not confirmed, until ctx ends.
func (i *Isolator) run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			i.do(i.spreader.Tick)
		case <-i.wake:
			i.do(i.flush)
		}
	}
}

// do runs f under the mutex, brings the copies up to date and sends what f returns.
func (i *Isolator) do(f func(now time.Time) []effect.Effect) {
	i.mutex.Lock()
	now := i.now()
	effects := f(now)
	i.settle()
	i.copy(now)
	i.mutex.Unlock()
	for _, e := range effects {
		i.links.Send(e.Peer(), e.Message())
	}
}

// copy publishes the marked fingerprints after a change, and once a second as marks end.
func (i *Isolator) copy(now time.Time) {
	i.epoch.Store(i.guard.Epoch())
	if i.sequence == i.guard.Sequence() && now.Sub(i.copied) < time.Second {
		return
	}
	if i.sequence != i.guard.Sequence() {
		i.signal()
	}
	i.sequence, i.copied = i.guard.Sequence(), now
	prints := i.guard.Fingerprints(now)
	if len(prints) == 0 {
		i.marked.Store(nil)
		return
	}
	i.marked.Store(&prints)
}

// signal wakes the calls that are held back.
func (i *Isolator) signal() {
	close(i.changed)
	i.changed = make(chan struct{})
}

// Publish takes the view of the relays and ignores all other values; called by one goroutine at a time.
func (i *Isolator) Publish(value any) {
	r, ok := value.(roster.Roster)
	if !ok || i.early(r) {
		return
	}
	i.do(func(now time.Time) []effect.Effect {
		if i.asked.IsZero() && len(r.Relays()) > 0 {
			i.asked = now
		}
		return i.spreader.SetRoster(now, r)
	})
}

// early keeps a roster that comes before the start, as the driver does not repeat it, and reports whether it did so.
func (i *Isolator) early(r roster.Roster) bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.started.Load() {
		return false
	}
	i.roster = &r
	return true
}

// Handle takes the messages of the crash guard and reports whether m was one.
func (i *Isolator) Handle(peer string, m message.Message) bool {
	if !strings.HasPrefix(m.Kind(), kindPrefix) {
		return false
	}
	if !i.started.Load() {
		return true
	}
	switch b := m.Body().(type) {
	case *askBody:
		i.answer(peer, b)
		return true
	case *permitBody:
		i.permitted(b)
		return true
	case *returnBody:
		i.do(func(time.Time) []effect.Effect {
			i.guard.ReleasePermit(b.Fingerprint, b.Holder)
			return nil
		})
		return true
	}
	known := false
	i.do(func(now time.Time) []effect.Effect {
		var effects []effect.Effect
		effects, known = i.spreader.Receive(now, peer, m)
		return effects
	})
	return known
}

// Ready returns nil once this node has the marks of a relay, or has waited for them long enough.
func (i *Isolator) Ready() error {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if !i.started.Load() {
		return fault.New(fault.Unavailable, "the crash guard has not started", "wait for the start")
	}
	now := i.now()
	if i.spreader.Synced() || now.Sub(i.opened) >= rosterLimit || !i.asked.IsZero() && now.Sub(i.asked) >= syncLimit {
		return nil
	}
	return fault.New(fault.Unavailable, "the marks of crashed calls are not known yet", "wait a second")
}
