package enroller

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"wisteriaspoke.example/mesh/endpoint"
	"wisteriaspoke.example/mesh/kernel"
	"wisteriaspoke.example/mesh/machine"
	"wisteriaspoke.example/mesh/pauser"
)

func init() {
	kernel.Register("enroller", 80, func() kernel.Part { return New(slog.Default()) })
}

const (
	// rememberedLives bounds the starts of upstreams that are remembered, so that late announcements of old ones are
	// recognised.
	rememberedLives = 64
	// stay is how long the upstream of a stopping node still takes calls. The node lives for a while after the signal, and
	// calls that begin until then end before it does; a shorter time wastes slots in a rolling restart.
	stay = 1400 * time.Millisecond
	// quiet is how long an upstream that refused a connection gets no calls, unless it announces itself.
	quiet = 400 * time.Millisecond
)

// Announcement is what an upstream says of itself.
type Announcement struct {
	Instance    string
	Address     string // IP:PORT where it takes calls
	Service     string
	Version     string
	Slots       int
	Leaving     bool
	StartMillis int64 // start of the upstream, milliseconds since 1970
	Sequence    int64 // grows with each announcement of one start
	Warmup      time.Duration
}

// Upstream is the current upstream; it is immutable.
type Upstream struct {
	announcement Announcement
	state        endpoint.State
	warm         time.Time
}

// Announcement returns what the upstream last said.
func (l *Upstream) Announcement() Announcement { return l.announcement }

// State returns whether the upstream takes calls.
func (l *Upstream) State() endpoint.State { return l.state }

// WarmupEnd returns when the upstream's cold start ends.
func (l *Upstream) WarmupEnd() time.Time { return l.warm }

// life is what is remembered of one start of an upstream.
type life struct {
	born     int64
	sequence int64
	left     bool
}

// listener learns of each change.
type listener interface {
	// UpstreamChanged is told the new value after each change; it does not block.
	UpstreamChanged(l *Upstream)
}

// settler knows which node this is.
type settler interface {
	// Config returns what is known of this node.
	Config() machine.Config
}

// Enroller keeps the current upstream. Reads of it take no lock.
type Enroller struct {
	now func() time.Time

	log       *slog.Logger
	listeners []listener
	service   string
	current   atomic.Pointer[Upstream]
	stopping  atomic.Bool
	drain     chan struct{} // closed when the node begins to stop

	mutex sync.Mutex // guards known and the order of changes
	known map[string]life
}

// New returns an enroller that tells the listeners; Start replaces both by those of the kernel.
func New(log *slog.Logger, ls ...listener) *Enroller {
	return &Enroller{now: time.Now, known: map[string]life{}, log: log, listeners: ls, drain: make(chan struct{})}
}

// Start finds the listeners.
func (e *Enroller) Start(ctx context.Context, k *kernel.Kernel) (<-chan error, error) {
	s, err := kernel.Need[settler](k)
	if err != nil {
		return nil, err
	}
	e.log = k.Log
	e.service = s.Config().Service
	e.listeners = kernel.All[listener](k)
	end := make(chan error, 1)
	go func() { end <- e.run(ctx) }()
	return end, nil
}

// run takes the upstream out of service some time after the node has begun to stop, as it can be reached only through
// this node.
func (e *Enroller) run(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-e.drain:
	}
	if err := pauser.Pause(ctx, stay); err != nil {
		return err
	}
	e.leave()
	<-ctx.Done()
	return ctx.Err()
}

// Current returns the current upstream, or nil if none has announced itself.
func (e *Enroller) Current() *Upstream { return e.current.Load() }

// Service returns the service of the local upstream, by its announcement or else by the settings.
func (e *Enroller) Service() string {
	if l := e.current.Load(); l != nil {
		return l.announcement.Service
	}
	return e.service
}

// Announce takes one announcement; false means that it is about an older start or state and changes nothing.
func (e *Enroller) Announce(a Announcement) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	l, seen := e.known[a.Instance]
	if seen && (a.StartMillis < l.born || a.StartMillis == l.born && (l.left || a.Sequence < l.sequence)) {
		return false
	}
	if c := e.current.Load(); c != nil && c.announcement.Instance != a.Instance && a.StartMillis < c.announcement.StartMillis {
		return false
	}
	if len(e.known) >= rememberedLives {
		clear(e.known)
	}
	e.known[a.Instance] = life{born: a.StartMillis, sequence: a.Sequence}
	state := endpoint.Ready
	if a.Leaving || e.stopping.Load() {
		state = endpoint.Leaving
	}
	e.set(&Upstream{announcement: a, state: state, warm: e.now().Add(a.Warmup)})
	return true
}

// Withdraw takes the end of the instance's work. born is the start that says so, or 0 if it does not say.
func (e *Enroller) Withdraw(instance string, born int64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	l := e.known[instance]
	if born != 0 && born < l.born {
		return
	}
	l.left = true
	l.born = max(l.born, born)
	e.known[instance] = l
	if c := e.current.Load(); c != nil && c.announcement.Instance == instance {
		e.set(&Upstream{announcement: c.announcement, state: endpoint.Leaving, warm: c.warm})
	}
}

// MarkSuspect takes that the instance refused a connection or that another one answered in its place.
func (e *Enroller) MarkSuspect(instance, reason string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	c := e.current.Load()
	if c == nil || c.announcement.Instance != instance || c.state != endpoint.Ready {
		return
	}
	e.log.Warn("upstream suspected", "instance", instance, "reason", reason)
	e.set(&Upstream{announcement: c.announcement, state: endpoint.Suspect, warm: e.now().Add(quiet)})
}

// MayRetry reports whether a suspected upstream may be tried again.
func (l *Upstream) MayRetry(now time.Time) bool {
	return l.state == endpoint.Suspect && !now.Before(l.warm)
}

// ClearSuspect takes that a suspected upstream has answered.
func (e *Enroller) ClearSuspect(instance string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	c := e.current.Load()
	if c != nil && c.announcement.Instance == instance && c.state == endpoint.Suspect {
		e.set(&Upstream{announcement: c.announcement, state: endpoint.Ready})
	}
}

// set publishes a change; the mutex is held.
func (e *Enroller) set(l *Upstream) {
	old := e.current.Swap(l)
	if old != nil && old.state == l.state && old.announcement.Instance == l.announcement.Instance &&
		old.announcement.Service == l.announcement.Service && old.announcement.Slots == l.announcement.Slots &&
		old.announcement.Version == l.announcement.Version && old.announcement.Address == l.announcement.Address {
		return
	}
	e.log.Info("upstream changed", "instance", l.announcement.Instance, "service", l.announcement.Service,
		"version", l.announcement.Version, "state", l.state, "born", l.announcement.StartMillis,
		"sequence", l.announcement.Sequence, "slots", l.announcement.Slots)
	for _, o := range e.listeners {
		o.UpstreamChanged(l)
	}
}

// Drain begins to take the local upstream out of service and does not wait for it.
func (e *Enroller) Drain(context.Context) error {
	close(e.drain)
	return nil
}

func (e *Enroller) leave() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.stopping.Store(true)
	if c := e.current.Load(); c != nil {
		e.set(&Upstream{announcement: c.announcement, state: endpoint.Leaving, warm: c.warm})
	}
}
