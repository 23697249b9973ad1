package enroller

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"wisteriaspoke.example/mesh/endpoint"
	"wisteriaspoke.example/mesh/grace"
	"wisteriaspoke.example/mesh/kernel"
	"wisteriaspoke.example/mesh/machine"
	"wisteriaspoke.example/mesh/pauser"
)

func init() {
	kernel.Register("enroller", 80, func() kernel.Part { return New(slog.Default()) })
}

const (
	// maxInstances bounds the map of known instances, which is kept to recognise late announcements of old processes. The
	// instance that was heard of least recently makes room.
	maxInstances = 64
	// leavingDelay is how long the upstream of a stopping node still takes new calls. The node runs for a while after the
	// signal, so that calls started within this time can finish; a shorter time wastes slots in a rolling restart.
	leavingDelay = 1400 * time.Millisecond
	// maxLeavingFraction bounds leavingDelay by the time that calls may run.
	maxLeavingFraction = 0.3
	// suspectPause is how long an upstream that refused a connection gets no calls, unless it announces itself.
	suspectPause = 400 * time.Millisecond
)

// Announcement is a report of an upstream about itself.
type Announcement struct {
	Instance    string
	Address     string // IP:PORT where it takes calls
	Service     string
	Version     string
	Slots       int
	Leaving     bool
	StartMillis int64 // start of the process, milliseconds since 1970
	Sequence    int64 // increases with each announcement of one process
	Warmup      time.Duration
}

// Upstream is an immutable snapshot of the current upstream.
type Upstream struct {
	announcement Announcement
	state        endpoint.State
	until        time.Time // end of the cold start, or of the pause of a suspect upstream
	limit        float64   // calls a second; 0 without a limit
	withdrawn    bool      // the process leaves, which is final
	replaceable  bool      // by any other process: it has never been announced here, or its service is not configured
}

// Announcement returns the upstream's last announcement.
func (u *Upstream) Announcement() Announcement { return u.announcement }

// State returns whether the upstream takes calls.
func (u *Upstream) State() endpoint.State { return u.state }

// WarmupEnd returns the end of the upstream's cold start.
func (u *Upstream) WarmupEnd() time.Time { return u.until }

// Limit returns the calls a second that the upstream takes, by its responses, or 0 if it names no limit.
func (u *Upstream) Limit() float64 { return u.limit }

// Withdrawn reports whether the process itself leaves, and not only its node.
func (u *Upstream) Withdrawn() bool { return u.withdrawn }

// withState returns a copy with another state, which until applies to.
func (u *Upstream) withState(s endpoint.State, until time.Time) *Upstream {
	next := *u
	next.state, next.until = s, until
	return &next
}

// sameProcess reports whether the announcement is of the upstream's process.
func (u *Upstream) sameProcess(a Announcement) bool {
	return u != nil && u.announcement.Instance == a.Instance && u.announcement.StartMillis == a.StartMillis
}

// instanceRecord holds the latest process of an instance and its last announcement.
type instanceRecord struct {
	heardAt     time.Time // of the instance
	startMillis int64
	sequence    int64
	left        bool // a process of the instance has left, and all that started until leftMillis
	leftMillis  int64
	leftAt      time.Time // when that became known
}

// withdrawn reports whether the latest process has left.
func (r instanceRecord) withdrawn() bool { return r.left && r.startMillis <= r.leftMillis }

// leftUntil returns a copy that says that all processes which started until startMillis have left, as is known from now on.
func (r instanceRecord) leftUntil(startMillis int64, now time.Time) instanceRecord {
	if !r.left || startMillis > r.leftMillis {
		r.left, r.leftMillis, r.leftAt = true, startMillis, now
	}
	return r
}

// listener is notified of each change of the current upstream.
type listener interface {
	// UpstreamChanged is called with the new state after each change; it does not block.
	UpstreamChanged(u *Upstream)
}

// configSource provides this node's configuration.
type configSource interface {
	// Config returns this node's configuration.
	Config() machine.Config
}

// Enroller holds the current upstream, which is read without a lock.
type Enroller struct {
	now       func() time.Time
	startedAt time.Time

	log         *slog.Logger
	listeners   []listener
	service     string // from the settings
	grace       grace.Period
	current     atomic.Pointer[Upstream]
	stopping    atomic.Bool
	stopStarted chan struct{} // closed when the node begins to stop

	mutex       sync.Mutex                // guards the following and the order of changes
	instances   map[string]instanceRecord // by instance identifier
	unconfirmed map[string]unconfirmed    // by instance identifier, of those that are not among instances
	vouched     process                   // the last upstream of an earlier process of this node, by other nodes
}

// New returns an enroller that notifies the listeners; Start replaces the log and the listeners by those of the kernel.
func New(log *slog.Logger, ls ...listener) *Enroller {
	return &Enroller{
		now: time.Now, startedAt: time.Now(), instances: map[string]instanceRecord{}, unconfirmed: map[string]unconfirmed{}, log: log, listeners: ls, stopStarted: make(chan struct{}),
	}
}

// Start finds the listeners and starts the goroutine that marks the upstream as leaving.
func (e *Enroller) Start(ctx context.Context, k *kernel.Kernel) (<-chan error, error) {
	s, err := kernel.Need[configSource](k)
	if err != nil {
		return nil, err
	}
	e.log, e.grace = k.Log, k.Grace
	e.service = s.Config().Service
	e.listeners = kernel.All[listener](k)
	end := make(chan error, 1)
	go func() { end <- e.run(ctx) }()
	return end, nil
}

// run marks the upstream as leaving after leavingDelay once the node has begun to stop, as the upstream can be reached
// only through this node.
func (e *Enroller) run(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-e.stopStarted:
	}
	if err := pauser.Pause(ctx, e.grace.Shorten(leavingDelay, maxLeavingFraction)); err != nil {
		return err
	}
	e.markLeaving()
	<-ctx.Done()
	return ctx.Err()
}

// Current returns the current upstream, or nil if none has announced itself.
func (e *Enroller) Current() *Upstream { return e.current.Load() }

// Service returns the service of the local upstream: that of its announcement if it is configured, otherwise that of the
// settings.
func (e *Enroller) Service(configured func(service string) bool) string {
	if u := e.current.Load(); u != nil && configured(u.announcement.Service) {
		return u.announcement.Service
	}
	return e.service
}

// Disown lets the announcement of any other process replace the current upstream if its service is not configured. Such
// an upstream can have been announced by another program before the first configuration was known.
func (e *Enroller) Disown(configured func(service string) bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	c := e.current.Load()
	if c == nil || c.replaceable || configured(c.announcement.Service) {
		return
	}
	e.log.Warn("upstream disowned, as no configuration names its service", "instance", c.announcement.Instance, "service", c.announcement.Service)
	if r := e.instances[c.announcement.Instance]; !r.left {
		delete(e.instances, c.announcement.Instance)
	} else if !r.withdrawn() {
		r.startMillis, r.sequence = r.leftMillis, 0
		e.instances[c.announcement.Instance] = r
	}
	next := *c
	next.replaceable = true
	e.current.Store(&next)
}

// Announce applies an announcement and returns true; it ignores one of an older process or state and returns false.
func (e *Enroller) Announce(a Announcement) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	r, known := e.instances[a.Instance]
	if known && (a.StartMillis < r.startMillis ||
		a.StartMillis == r.startMillis && (r.withdrawn() && !a.Leaving || a.Sequence < r.sequence)) {
		return false
	}
	if c := e.current.Load(); c != nil && !c.replaceable && c.announcement.Instance != a.Instance && a.StartMillis < c.announcement.StartMillis {
		return false
	}
	r.startMillis, r.sequence = a.StartMillis, a.Sequence
	if a.Leaving {
		r = r.leftUntil(a.StartMillis, e.now())
	}
	e.remember(a.Instance, r)
	state := endpoint.Ready
	if a.Leaving || e.stopping.Load() {
		state = endpoint.Leaving
	}
	next := &Upstream{announcement: a, state: state, until: e.now().Add(a.Warmup), withdrawn: a.Leaving}
	if c := e.current.Load(); c.sameProcess(a) {
		next.limit = c.limit
	}
	e.publish(next)
	return true
}

// remember replaces what is known of the instance. The caller must hold the mutex.
func (e *Enroller) remember(instance string, r instanceRecord) {
	r.heardAt = e.now()
	if _, known := e.instances[instance]; !known && len(e.instances) >= maxInstances {
		oldest := ""
		for i, o := range e.instances {
			if oldest == "" || o.heardAt.Before(e.instances[oldest].heardAt) {
				oldest = i
			}
		}
		delete(e.instances, oldest)
	}
	e.instances[instance] = r
}

// Withdraw marks the instance as leaving. startMillis is the start of the withdrawn process, or 0 if it is unknown. If this
// node does not know it either, as it has restarted, all processes of the instance that have started by now are withdrawn.
func (e *Enroller) Withdraw(instance string, startMillis int64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	r, known := e.instances[instance]
	if startMillis != 0 && startMillis < r.startMillis {
		return
	}
	if startMillis == 0 && !known {
		startMillis = e.now().UnixMilli()
	}
	r.startMillis = max(r.startMillis, startMillis)
	e.remember(instance, r.leftUntil(r.startMillis, e.now()))
	switch c := e.current.Load(); {
	case c == nil:
		// The other nodes must know, so that they can tell this one after its next restart.
		e.publish(&Upstream{
			announcement: Announcement{Instance: instance, Service: e.service, Slots: 1, StartMillis: r.startMillis},
			state:        endpoint.Leaving, withdrawn: true, replaceable: true,
		})
	case c.announcement.Instance == instance:
		e.publishWithdrawn(c)
	}
}

// publishWithdrawn publishes that the current upstream leaves for good. The caller must hold the mutex.
func (e *Enroller) publishWithdrawn(c *Upstream) {
	next := c.withState(endpoint.Leaving, c.until)
	next.withdrawn = true
	e.publish(next)
}

// SetLimit records the calls a second that the process takes by its responses, or 0 if it names no limit.
func (e *Enroller) SetLimit(instance string, startMillis int64, perSecond float64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	c := e.current.Load()
	if !c.sameProcess(Announcement{Instance: instance, StartMillis: startMillis}) {
		return
	}
	next := *c
	next.limit = perSecond
	e.publish(&next)
}

// MarkSuspect marks the instance as suspect after it refused a connection or another instance answered at its address.
func (e *Enroller) MarkSuspect(instance, reason string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	c := e.current.Load()
	if c == nil || c.announcement.Instance != instance || c.state != endpoint.Ready {
		return
	}
	e.log.Warn("upstream suspected", "instance", instance, "reason", reason)
	e.publish(c.withState(endpoint.Suspect, e.now().Add(suspectPause)))
}

// MayRetry reports whether the upstream is suspect and may get a call again.
func (u *Upstream) MayRetry(now time.Time) bool {
	return u.state == endpoint.Suspect && !now.Before(u.until)
}

// ClearSuspect marks a suspect instance as ready after it has answered.
func (e *Enroller) ClearSuspect(instance string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	c := e.current.Load()
	if c != nil && c.announcement.Instance == instance && c.state == endpoint.Suspect {
		e.publish(c.withState(endpoint.Ready, time.Time{}))
	}
}

// publish sets the current upstream and notifies the listeners of a change. The caller must hold the mutex.
func (e *Enroller) publish(u *Upstream) {
	old := e.current.Swap(u)
	if old != nil && old.state == u.state && old.announcement.Instance == u.announcement.Instance &&
		old.announcement.Service == u.announcement.Service && old.announcement.Slots == u.announcement.Slots &&
		old.announcement.Version == u.announcement.Version && old.announcement.Address == u.announcement.Address &&
		old.announcement.StartMillis == u.announcement.StartMillis && old.limit == u.limit && old.withdrawn == u.withdrawn {
		return
	}
	e.log.Info("upstream changed", "instance", u.announcement.Instance, "service", u.announcement.Service,
		"version", u.announcement.Version, "state", u.state, "born", u.announcement.StartMillis,
		"sequence", u.announcement.Sequence, "slots", u.announcement.Slots, "limit", u.limit)
	for _, l := range e.listeners {
		l.UpstreamChanged(u)
	}
}

// Drain starts to take the local upstream out of service and returns without waiting.
func (e *Enroller) Drain(context.Context) error {
	close(e.stopStarted)
	return nil
}

func (e *Enroller) markLeaving() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.stopping.Store(true)
	if c := e.current.Load(); c != nil {
		e.publish(c.withState(endpoint.Leaving, c.until))
	}
}
