package simulator

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"wisteriaspoke.example/mesh/controller"
	"wisteriaspoke.example/mesh/effect"
	"wisteriaspoke.example/mesh/encoder"
	"wisteriaspoke.example/mesh/event"
	"wisteriaspoke.example/mesh/machine"
	"wisteriaspoke.example/mesh/message"
)

// Delays of the two deployments, one way, and the period of ticks that the driver also keeps.
const (
	withinCentre = 200 * time.Microsecond
	withinRegion = time.Millisecond
	acrossRegion = 20 * time.Millisecond
	tickPeriod   = 100 * time.Millisecond
)

// Simulator is a fleet in virtual time; one goroutine uses it. Exported fields are set before the first Add.
type Simulator struct {
	Seed        uint64
	StoreRegion string // region of the store
	// Build returns a node's control plane; controller.New unless set.
	Build func(machine.Config) *controller.Controller
	// OnPublish receives every value that a node hands to its data path; nil is allowed.
	OnPublish func(now time.Time, node string, value any)
	// Partitioned reports whether messages between two regions are lost now; nil is allowed.
	Partitioned func(from, to string) bool
	// Jitter is the share of a delay that is drawn at random on top of it.
	Jitter float64

	now   time.Time
	seq   uint64
	queue queue
	rand  *rand.Rand
	nodes map[string]*node
	order []string
	pairs map[[2]string]time.Time
	store *Store
	bytes map[string]int64
	cross int64
	sent  int64
}

type node struct {
	config  machine.Config
	control *controller.Controller
	life    uint64 // changes on every kill and restart, so that late answers to an earlier life are dropped
	alive   bool
	frozen  bool
	backlog []event.Event
	links   map[string]bool
	watches map[string]*watch
	opening map[string]bool // watches on their way to the store
}

// New returns a simulator at the start of virtual time.
func New(seed uint64, region string) *Simulator {
	s := &Simulator{
		Seed: seed, StoreRegion: region, Build: controller.New, Jitter: 0.2,
		now:   time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		rand:  rand.New(rand.NewPCG(seed, 1)),
		nodes: map[string]*node{}, pairs: map[[2]string]time.Time{}, bytes: map[string]int64{},
	}
	s.store = newStore(s)
	return s
}

// Now returns the virtual time.
func (s *Simulator) Now() time.Time { return s.now }

// Store returns the fake object store.
func (s *Simulator) Store() *Store { return s.store }

// Rand returns the random source of the scenario.
func (s *Simulator) Rand() *rand.Rand { return s.rand }

// Nodes returns the addresses of all nodes in the order in which they were added.
func (s *Simulator) Nodes() []string { return s.order }

// Config returns what the node was last started with.
func (s *Simulator) Config(address string) machine.Config { return s.nodes[address].config }

// Alive reports whether the node runs; a frozen node does.
func (s *Simulator) Alive(address string) bool { return s.nodes[address].alive }

// Bytes returns the bytes of messages that the node sent and received, with the contents of store objects.
func (s *Simulator) Bytes(address string) int64 { return s.bytes[address] }

// CrossRegionBytes returns the bytes of messages that crossed regions, with the contents of store objects.
func (s *Simulator) CrossRegionBytes() int64 { return s.cross }

// Messages returns the number of messages sent.
func (s *Simulator) Messages() int64 { return s.sent }

// ResetCounts sets all byte and call counters to zero.
func (s *Simulator) ResetCounts() {
	s.bytes = map[string]int64{}
	s.cross = 0
	s.sent = 0
	s.store.Reads, s.store.Writes = 0, 0
}

// After runs f once d has passed.
func (s *Simulator) After(d time.Duration, f func()) { s.at(s.now.Add(d), f) }

func (s *Simulator) at(t time.Time, f func()) {
	if t.Before(s.now) {
		t = s.now
	}
	s.seq++
	heap.Push(&s.queue, task{at: t, seq: s.seq, run: f})
}

// Run lets d pass.
func (s *Simulator) Run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		t := heap.Pop(&s.queue).(task)
		s.now = t.at
		t.run()
	}
	s.now = end
}

// RunUntil lets time pass until done holds, looked at after each event, and reports whether it did within the limit.
func (s *Simulator) RunUntil(limit time.Duration, done func() bool) bool {
	end := s.now.Add(limit)
	for !done() {
		if len(s.queue) == 0 || s.queue[0].at.After(end) {
			s.now = end
			return done()
		}
		t := heap.Pop(&s.queue).(task)
		s.now = t.at
		t.run()
	}
	return true
}

// Add starts a node; Rand and Incarnation of its config are set here.
func (s *Simulator) Add(c machine.Config) {
	s.nodes[c.Node] = &node{config: c}
	s.order = append(s.order, c.Node)
	s.start(c.Node)
}

// Restart starts a killed node with no memory, at the same address and a higher incarnation.
func (s *Simulator) Restart(address string) {
	if !s.nodes[address].alive {
		s.start(address)
	}
}

func (s *Simulator) start(address string) {
	n := s.nodes[address]
	n.life++
	n.alive = true
	n.frozen = false
	n.backlog = nil
	n.links = map[string]bool{}
	n.watches = map[string]*watch{}
	n.opening = map[string]bool{}
	n.config.Incarnation = uint64(s.now.UnixMilli())
	n.config.Rand = rand.New(rand.NewPCG(s.Seed, s.rand.Uint64()))
	n.control = s.Build(n.config)
	s.tick(n, n.life, time.Duration(s.rand.Int64N(int64(tickPeriod))))
}

func (s *Simulator) tick(n *node, life uint64, after time.Duration) {
	s.After(after, func() {
		if n.life != life {
			return
		}
		s.step(n, event.NewTick())
		s.tick(n, life, tickPeriod)
	})
}

// Kill ends a node at once; its peers see their links close.
func (s *Simulator) Kill(address string) {
	n := s.nodes[address]
	if !n.alive {
		return
	}
	n.alive = false
	n.life++
	for _, w := range n.watches {
		s.store.forget(w)
	}
	for _, other := range s.order {
		o := s.nodes[other]
		if o.alive && o.links[address] {
			delete(o.links, address)
			s.deliver(o, s.delay(n.config, o.config), event.NewUnlinked(address))
		}
	}
}

// Pause pauses a node; what arrives waits.
func (s *Simulator) Pause(address string) { s.nodes[address].frozen = true }

// Resume lets a paused node go on, first with all that waited.
func (s *Simulator) Resume(address string) {
	n := s.nodes[address]
	if !n.frozen {
		return
	}
	n.frozen = false
	waiting := n.backlog
	n.backlog = nil
	for _, e := range waiting {
		s.step(n, e)
	}
}

// Inject gives a node an event from another part of the same node.
func (s *Simulator) Inject(address string, e event.Event) {
	n := s.nodes[address]
	if n.alive {
		s.step(n, e)
	}
}

func (s *Simulator) step(n *node, e event.Event) {
	if n.frozen {
		// Ticks do not pile up: a paused process finds one expired timer, not hundreds.
		if e.Kind() != event.Tick {
			n.backlog = append(n.backlog, e)
		}
		return
	}
	life := n.life
	for _, f := range n.control.Step(s.now, e) {
		if n.life != life {
			return
		}
		s.perform(n, f)
	}
}

func (s *Simulator) perform(n *node, f effect.Effect) {
	switch f.Kind() {
	case effect.Send:
		s.send(n, f.Peer(), f.Message())
	case effect.Publish:
		if s.OnPublish != nil {
			s.OnPublish(s.now, n.config.Node, f.Value())
		}
	case effect.Wake:
		life := n.life
		s.at(f.At(), func() {
			if n.life == life {
				s.step(n, event.NewTick())
			}
		})
	case effect.Watch:
		s.store.watch(n, f.ID(), f.Object())
	case effect.Unwatch:
		delete(n.opening, f.ID())
		if w := n.watches[f.ID()]; w != nil {
			s.store.forget(w)
		}
	default:
		s.store.request(n, f)
	}
}

func (s *Simulator) send(from *node, peer string, m message.Message) {
	data, err := encoder.Encode(m)
	if err != nil {
		panic(fmt.Sprintf("simulator: %s sends a message that cannot be encoded: %v", from.config.Node, err))
	}
	to := s.nodes[peer]
	if to == nil {
		return
	}
	s.sent++
	s.bytes[from.config.Node] += int64(len(data))
	if from.config.Region != to.config.Region {
		s.cross += int64(len(data))
	}
	if s.Partitioned != nil && s.Partitioned(from.config.Region, to.config.Region) {
		return
	}
	delay := s.delay(from.config, to.config)
	if !to.alive {
		s.deliver(from, 2*delay, event.NewUnlinked(peer))
		return
	}
	s.link(from, to, delay)
	received, err := encoder.Decode(data)
	if err != nil {
		panic(fmt.Sprintf("simulator: %s sends a message that cannot be decoded: %v", from.config.Node, err))
	}
	s.bytes[peer] += int64(len(data))
	// Messages of one pair keep their order, as on one TCP connection.
	pair := [2]string{from.config.Node, peer}
	at := s.now.Add(delay)
	if last := s.pairs[pair]; at.Before(last) {
		at = last
	}
	s.pairs[pair] = at
	s.deliver(to, at.Sub(s.now), event.NewReceived(from.config.Node, received))
}

func (s *Simulator) link(a, b *node, delay time.Duration) {
	if !a.links[b.config.Node] {
		a.links[b.config.Node] = true
		s.deliver(a, delay, event.NewLinked(b.config.Node))
	}
	if !b.links[a.config.Node] {
		b.links[a.config.Node] = true
		s.deliver(b, delay, event.NewLinked(a.config.Node))
	}
}

func (s *Simulator) deliver(n *node, after time.Duration, e event.Event) {
	life := n.life
	s.After(after, func() {
		if n.life == life {
			s.step(n, e)
		}
	})
}

func (s *Simulator) delay(a, b machine.Config) time.Duration {
	d := acrossRegion
	switch {
	case a.DataCentre == b.DataCentre:
		d = withinCentre
	case a.Region == b.Region:
		d = withinRegion
	}
	return d + time.Duration(s.rand.Float64()*s.Jitter*float64(d))
}
