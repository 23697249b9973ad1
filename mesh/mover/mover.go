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
		m := &Mover{
			now: time.Now, inputs: make(chan any, inputQueueSize), moves: map[string]*move{}, badVersions: map[string][]string{},
			outcomes: map[string][]moveOutcome{},
		}
		m.splits.Store(&map[string]composer.Split{})
		m.counters.Store(&map[string]*observedMove{})
		return m
	})
}

const (
	// tickInterval is the interval at which evidence is sent and moves advance. Bad answers of a version reach all
	// nodes within two intervals.
	tickInterval = 250 * time.Millisecond
	// stageResendInterval is the interval at which an unchanged stage is sent again, so that nodes that join get it.
	stageResendInterval = time.Second
	// stateWriteTimeout bounds one write of a move's state.
	stateWriteTimeout = 1500 * time.Millisecond
	inputQueueSize    = 1024
	// evaluatorCount is the number of nodes that get the evidence of all nodes; the second takes over if the first stops.
	evaluatorCount = 2
	// leaderSilence is the time without a stage after which the evaluators may have been lost together with the leader.
	leaderSilence = 2 * stageResendInterval
	// evidenceDelay is the time that nodes have to notice that and to send their evidence to other nodes.
	evidenceDelay = 2 * tickInterval
)

var movesBad = metrics.GetOrRegisterCounter("moves.bad", nil)

// cluster provides the other nodes and the view of the endpoints.
type cluster interface {
	// Broadcast sends m to all linked nodes without blocking.
	Broadcast(m message.Message)
	// Refresh rebuilds the view that calls read.
	Refresh()
	// View returns the current view of the endpoints.
	View() *view.View
	// Nodes returns the other known nodes.
	Nodes() []elector.Candidate
	// Self returns this node.
	Self() elector.Candidate
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

// stateWriter writes the states of moves to the store, where operators read them.
type stateWriter interface {
	// WriteOrderState writes the state if the stored order still has the revision of o; otherwise it returns an error of
	// kind Conflict.
	WriteOrderState(ctx context.Context, o order.Order, s order.State) error
}

// observedMove holds what a call needs to count its outcome for a running move.
type observedMove struct {
	target  string
	counter *counter
}

// move is one running move.
type move struct {
	order          order.Order
	orderKnownAt   time.Time     // when the first node knew the order
	startDelay     time.Duration // from orderKnownAt until the new version got its first calls
	permille       int
	shareChangedAt time.Time
	stageKnownAt   time.Time // when the leader's stage was last received or sent, or the order became known
	badReason      string    // empty until the version is found bad
	done           bool
	settled        bool // it has ended before the store was restored
	stagesAfterEnd int  // stages that other nodes have sent of a settled move
	counter        *counter
	evidence       map[string]*evidence // by node
	sentCalls      uint64               // calls in the evidence that was last sent
	sentTo         []string             // addresses to which it was sent
	stageSentAt    time.Time
	writtenState   order.State // last state written by this node
	writing        bool        // a write of the state is in progress
	refused        bool        // the store has another revision of the order, so that its state is not written
}

// Mover moves services to new versions. One goroutine owns its state; calls read the maps that it publishes.
type Mover struct {
	now func() time.Time

	log          *slog.Logger
	cluster      cluster
	peerSender   peerSender
	stateWriter  stateWriter
	config       machine.Config
	inputs       chan any // peerMessage or orderList
	writeResults chan writeResult
	splits       atomic.Pointer[map[string]composer.Split]
	counters     atomic.Pointer[map[string]*observedMove] // by service

	// Only the goroutine of run uses the fields below.
	moves       map[string]*move         // by service
	orders      []order.Order            // last known
	badVersions map[string][]string      // by service
	outcomes    map[string][]moveOutcome // by service, the oldest first
}

// peerMessage is a message from the node at address peer.
type peerMessage struct {
	peer string
	m    message.Message
}

// orderList holds all known orders.
type orderList []order.Order

// writeResult is the result of writing one state.
type writeResult struct {
	order order.Order
	state order.State
	err   error
}

// Start starts the goroutine that runs the moves.
func (m *Mover) Start(ctx context.Context, k *kernel.Kernel) (<-chan error, error) {
	var err error
	if m.cluster, err = kernel.Need[cluster](k); err != nil {
		return nil, err
	}
	if m.peerSender, err = kernel.Need[peerSender](k); err != nil {
		return nil, err
	}
	if m.stateWriter, err = kernel.Need[stateWriter](k); err != nil {
		return nil, err
	}
	s, err := kernel.Need[configSource](k)
	if err != nil {
		return nil, err
	}
	m.config, m.log, m.writeResults = s.Config(), k.Log, make(chan writeResult, 16)
	end := make(chan error, 1)
	go func() { end <- m.run(ctx) }()
	return end, nil
}

// Split returns how calls of the service are divided among its versions.
func (m *Mover) Split(service string) composer.Split { return (*m.splits.Load())[service] }

// Handle queues messages of moves and reports whether n is one.
func (m *Mover) Handle(peer string, n message.Message) bool {
	if n.Kind() != kindEvidence && n.Kind() != kindStage && n.Kind() != kindOutcome {
		return false
	}
	m.enqueue(peerMessage{peer, n})
	return true
}

// SetOrders replaces the known orders.
func (m *Mover) SetOrders(os []order.Order) { m.enqueue(orderList(os)) }

func (m *Mover) enqueue(input any) {
	select {
	case m.inputs <- input:
	default:
		m.log.Error("input of the mover dropped", "queue", inputQueueSize)
	}
}

// Observe counts the outcome of one call to an endpoint; without a running move of the service it returns at once.
func (m *Mover) Observe(service, version, rule, instance string, failed, slow, shed bool) {
	observed := (*m.counters.Load())[service]
	if observed == nil {
		return
	}
	k := cellKey{rule: rule, newVersion: version == observed.target}
	if k.newVersion {
		k.instance = instance
	}
	observed.counter.add(k, outcome{failed: failed, slow: slow, shed: shed})
}

// IsMoveTarget reports whether the version is the target of a running move of the service.
func (m *Mover) IsMoveTarget(service, version string) bool {
	observed := (*m.counters.Load())[service]
	return observed != nil && observed.target == version
}

func (m *Mover) run(ctx context.Context) error {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	writes := 0
	defer func() {
		for range writes {
			<-m.writeResults
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case in := <-m.inputs:
			m.handleInput(in)
		case r := <-m.writeResults:
			writes--
			m.handleWriteResult(r)
		case <-t.C:
			for _, mv := range m.moves {
				writes += m.advanceMove(ctx, mv)
			}
		}
	}
}

func (m *Mover) handleInput(input any) {
	switch in := input.(type) {
	case orderList:
		m.applyOrders(in)
	case peerMessage:
		switch b := in.m.Body().(type) {
		case *evidence:
			if mv := m.findMove(b.Order); mv != nil {
				mv.evidence[in.peer] = b
				m.evaluate(mv)
			}
		case *stage:
			m.applyStage(in.peer, b)
		case *outcomeNotice:
			m.applyOutcome(in.peer, b)
		}
	}
}

func (m *Mover) findMove(id string) *move {
	for _, mv := range m.moves {
		if mv.order.ID() == id {
			return mv
		}
	}
	return nil
}

// applyOrders starts and ends moves so that they match the orders.
func (m *Mover) applyOrders(os []order.Order) {
	m.orders = os
	for _, o := range os {
		mv := m.moves[o.Service()]
		settled := m.settledState(o)
		switch {
		case o.State() == order.TakenBack:
			m.excludeVersion(o.Service(), o.Target())
			m.rememberOutcome(o)
			delete(m.moves, o.Service())
		case o.State() == order.Completed:
			m.rememberOutcome(o)
			delete(m.moves, o.Service())
		case mv != nil && mv.order.ID() == o.ID():
			mv.orderChanged(o)
		default:
			now := m.now()
			mv = &move{order: o, orderKnownAt: now, shareChangedAt: now, stageKnownAt: now, counter: &counter{}, evidence: map[string]*evidence{}}
			m.moves[o.Service()] = mv
			if settled == order.Running {
				m.log.Info("move begins", "order", o.ID(), "period", o.Period())
			} else {
				m.settle(mv, settled, "this node")
			}
		}
	}
	m.publish()
}

func (m *Mover) excludeVersion(service, version string) {
	if !slices.Contains(m.badVersions[service], version) {
		m.badVersions[service] = append(m.badVersions[service], version)
	}
}

// applyStage adopts a stage that another node has sent.
func (m *Mover) applyStage(peer string, s *stage) {
	mv := m.findMove(s.Order)
	if mv == nil {
		return
	}
	if mv.settled {
		m.replyOutcome(mv, peer)
		return
	}
	if s.BadReason != "" && mv.badReason == "" {
		m.rejectVersion(mv, s.BadReason, "another node")
	}
	now := m.now()
	mv.stageKnownAt = now
	if knownAt := now.Add(-time.Duration(s.Elapsed) * time.Millisecond); knownAt.Before(mv.orderKnownAt) {
		mv.orderKnownAt = knownAt
	}
	if s.Permille > mv.permille {
		mv.permille, mv.shareChangedAt, mv.startDelay = s.Permille, now, time.Duration(s.StartDelay)*time.Millisecond
		m.log.Info("share of a move changed", "order", mv.order.ID(), "permille", mv.permille, "by", "another node")
		m.publish()
	}
}

// evaluate rejects the new version if the counts of all nodes show that it is bad. Only the nodes that get the evidence
// judge: the counts of one node alone say little.
func (m *Mover) evaluate(mv *move) {
	if mv.badReason != "" || mv.settled || !m.evaluates(mv) {
		return
	}
	cells, _ := mv.counter.snapshot()
	for _, e := range mv.evidence {
		cells = append(cells, e.Counts...)
	}
	if why := canary.Evaluate(cells); why != "" {
		m.rejectVersion(mv, why, "evidence")
		m.broadcastStage(mv)
	}
}

func (m *Mover) rejectVersion(mv *move, why, by string) {
	mv.badReason = why
	movesBad.Inc(1)
	m.excludeVersion(mv.order.Service(), mv.order.Target())
	m.log.Warn("version is bad", "order", mv.order.ID(), "permille", mv.permille, "why", why, "by", by)
	m.publish()
}

// publish updates the splits and counters that calls read.
func (m *Mover) publish() {
	splits := map[string]composer.Split{}
	counters := map[string]*observedMove{}
	for service, versions := range m.badVersions {
		splits[service] = composer.Split{ExcludedVersions: slices.Clone(versions)}
	}
	for _, o := range m.orders {
		s := splits[o.Service()]
		mv := m.moves[o.Service()]
		switch {
		case o.State() == order.Completed, mv != nil && mv.settled && mv.done:
			s.OnlyVersion = o.Target()
		case mv != nil && mv.badReason == "":
			s.Candidate, s.Permille = o.Target(), mv.permille
			counters[o.Service()] = &observedMove{target: o.Target(), counter: mv.counter}
		}
		splits[o.Service()] = s
	}
	m.splits.Store(&splits)
	m.counters.Store(&counters)
	m.cluster.Refresh()
}
