package mover

import (
	"context"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"wisteriaspoke.example/mesh/canary"
	"wisteriaspoke.example/mesh/composer"
	"wisteriaspoke.example/mesh/elector"
	"wisteriaspoke.example/mesh/kernel"
	"wisteriaspoke.example/mesh/machine"
	"wisteriaspoke.example/mesh/message"
	"wisteriaspoke.example/mesh/order"
	"wisteriaspoke.example/mesh/view"
)

func init() {
	kernel.Register("mover", 42, func() kernel.Part {
		m := &Mover{now: time.Now, inputs: make(chan any, inputQueue), moves: map[string]*move{}, bad: map[string][]string{}}
		m.splits.Store(&map[string]composer.Split{})
		m.counters.Store(&map[string]*watched{})
		return m
	})
}

const (
	// tick is the interval of evidence and steps. A version's bad answers are known everywhere after two of them.
	tick = 250 * time.Millisecond
	// repeat is the longest time between two sendings of an unchanged stage, for nodes that have joined.
	repeat = time.Second
	// statusTimeout bounds one write of a move's state.
	statusTimeout = 1500 * time.Millisecond
	inputQueue    = 1024
	// judges is the number of nodes that get the evidence of all; the second one is there when the first one ends.
	judges = 2
)

var movesBad = metrics.GetOrRegisterCounter("moves.bad", nil)

// sender sends messages to all other nodes.
type sender interface {
	// Broadcast sends m to all linked nodes without blocking.
	Broadcast(m message.Message)
	// Refresh builds the view of calls anew.
	Refresh()
	// View returns the state that calls read.
	View() *view.View
	// Nodes returns the other nodes that have been heard of.
	Nodes() []elector.Candidate
	// Self returns this node.
	Self() elector.Candidate
}

// carrier sends messages to one node.
type carrier interface {
	// Send queues m for the node at address peer without blocking.
	Send(peer string, m message.Message)
}

// settler knows which node this is.
type settler interface {
	// Config returns what is known of this node.
	Config() machine.Config
}

// recorder keeps the states of moves where operators read them.
type recorder interface {
	// WriteOrderState writes the state of the order if it is unchanged since its revision; another revision is an error of
	// kind Conflict.
	WriteOrderState(ctx context.Context, o order.Order, s order.State) error
}

// watched is what calls need to know of a running move.
type watched struct {
	target  string
	counter *counter
}

// move is one running move.
type move struct {
	order     order.Order
	started   time.Time
	begun     time.Duration
	permille  int
	changed   time.Time
	bad       string
	done      bool
	counter   *counter
	evidence  map[string]*evidence // by node
	testified uint64               // calls in the evidence that was last sent
	sent      time.Time
	recorded  order.State // last state written by this node
	recording bool
}

// Mover moves services to new versions. One goroutine owns its state; calls read published maps.
type Mover struct {
	now func() time.Time

	log      *slog.Logger
	sender   sender
	carrier  carrier
	recorder recorder
	config   machine.Config
	inputs   chan any
	results  chan result
	splits   atomic.Pointer[map[string]composer.Split]
	counters atomic.Pointer[map[string]*watched] // by service

	// The rest belongs to the goroutine.
	moves  map[string]*move    // by service
	orders []order.Order       // as last known
	bad    map[string][]string // by service: versions that were found bad
}

type received struct {
	peer string
	m    message.Message
}

type ordered []order.Order

// result is the end of one write of a state.
type result struct {
	id    string
	state order.State
	err   error
}

// Start begins to follow orders.
func (m *Mover) Start(ctx context.Context, k *kernel.Kernel) (<-chan error, error) {
	var err error
	if m.sender, err = kernel.Need[sender](k); err != nil {
		return nil, err
	}
	if m.carrier, err = kernel.Need[carrier](k); err != nil {
		return nil, err
	}
	if m.recorder, err = kernel.Need[recorder](k); err != nil {
		return nil, err
	}
	s, err := kernel.Need[settler](k)
	if err != nil {
		return nil, err
	}
	m.config, m.log, m.results = s.Config(), k.Log, make(chan result, 16)
	end := make(chan error, 1)
	go func() { end <- m.run(ctx) }()
	return end, nil
}

// Split returns the split of one service's calls.
func (m *Mover) Split(service string) composer.Split { return (*m.splits.Load())[service] }

// Handle takes the messages of moves.
func (m *Mover) Handle(peer string, n message.Message) bool {
	if n.Kind() != kindEvidence && n.Kind() != kindStage {
		return false
	}
	m.put(received{peer, n})
	return true
}

// SetOrders takes all orders that are known.
func (m *Mover) SetOrders(os []order.Order) { m.put(ordered(os)) }

func (m *Mover) put(input any) {
	select {
	case m.inputs <- input:
	default:
		m.log.Error("input of moves dropped", "queue", inputQueue)
	}
}

// Observe takes the answer of one call to an endpoint; it costs nothing while the service does not move.
func (m *Mover) Observe(service, version, rule, instance string, failed, slow bool) {
	w := (*m.counters.Load())[service]
	if w == nil {
		return
	}
	k := cellKey{rule: rule, fresh: version == w.target}
	if k.fresh {
		k.instance = instance
	}
	w.counter.add(k, failed, slow)
}

// IsMoveTarget reports whether the version is the target of a running move of the service.
func (m *Mover) IsMoveTarget(service, version string) bool {
	w := (*m.counters.Load())[service]
	return w != nil && w.target == version
}

func (m *Mover) run(ctx context.Context) error {
	t := time.NewTicker(tick)
	defer t.Stop()
	writes := 0
	defer func() {
		for range writes {
			<-m.results
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case in := <-m.inputs:
			m.take(in)
		case r := <-m.results:
			writes--
			m.concluded(r)
		case <-t.C:
			for _, v := range m.moves {
				writes += m.step(ctx, v)
			}
		}
	}
}

func (m *Mover) take(input any) {
	switch in := input.(type) {
	case ordered:
		m.follow(in)
	case received:
		switch b := in.m.Body().(type) {
		case *evidence:
			if v := m.find(b.Order); v != nil {
				v.evidence[in.peer] = b
				m.judge(v)
			}
		case *stage:
			m.adopt(b)
		}
	}
}

func (m *Mover) find(id string) *move {
	for _, v := range m.moves {
		if v.order.ID() == id {
			return v
		}
	}
	return nil
}

// follow takes the orders and starts or ends moves.
func (m *Mover) follow(os []order.Order) {
	m.orders = os
	for _, o := range os {
		v := m.moves[o.Service()]
		switch {
		case o.State() == order.TakenBack:
			m.condemn(o.Service(), o.Target())
			delete(m.moves, o.Service())
		case o.State() == order.Completed:
			delete(m.moves, o.Service())
		case v != nil && v.order.ID() == o.ID():
			v.order = o
		default:
			now := m.now()
			m.moves[o.Service()] = &move{order: o, started: now, changed: now, counter: &counter{}, evidence: map[string]*evidence{}}
			m.log.Info("move begins", "order", o.ID(), "period", o.Period())
		}
	}
	m.publish()
}

func (m *Mover) condemn(service, version string) {
	if !slices.Contains(m.bad[service], version) {
		m.bad[service] = append(m.bad[service], version)
	}
}

// adopt takes the stage that another node has decided.
func (m *Mover) adopt(s *stage) {
	v := m.find(s.Order)
	if v == nil {
		return
	}
	if s.BadReason != "" && v.bad == "" {
		m.reject(v, s.BadReason, "another node")
	}
	now := m.now()
	if started := now.Add(-time.Duration(s.Elapsed) * time.Millisecond); started.Before(v.started) {
		v.started = started
	}
	if s.Permille > v.permille {
		v.permille, v.changed, v.begun = s.Permille, now, time.Duration(s.StartDelay)*time.Millisecond
		m.log.Info("share of a move changed", "order", v.order.ID(), "permille", v.permille, "by", "another node")
		m.publish()
	}
}

// judge takes a version out of use when the evidence is against it.
func (m *Mover) judge(v *move) {
	if v.bad != "" {
		return
	}
	cells, _ := v.counter.list()
	for _, e := range v.evidence {
		cells = append(cells, e.Counts...)
	}
	if why := canary.Evaluate(cells); why != "" {
		m.reject(v, why, "evidence")
		m.announce(v)
	}
}

func (m *Mover) reject(v *move, why, by string) {
	v.bad = why
	movesBad.Inc(1)
	m.condemn(v.order.Service(), v.order.Target())
	m.log.Warn("version is bad", "order", v.order.ID(), "permille", v.permille, "why", why, "by", by)
	m.publish()
}

// publish gives calls the splits and the counters of the present moves.
func (m *Mover) publish() {
	splits := map[string]composer.Split{}
	counters := map[string]*watched{}
	for service, versions := range m.bad {
		splits[service] = composer.Split{ExcludedVersions: slices.Clone(versions)}
	}
	for _, o := range m.orders {
		s := splits[o.Service()]
		v := m.moves[o.Service()]
		switch {
		case o.State() == order.Completed:
			s.OnlyVersion = o.Target()
		case v != nil && v.bad == "":
			s.Candidate, s.Permille = o.Target(), v.permille
			counters[o.Service()] = &watched{target: o.Target(), counter: v.counter}
		}
		splits[o.Service()] = s
	}
	m.splits.Store(&splits)
	m.counters.Store(&counters)
	m.sender.Refresh()
}
