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

// One-way network delays as in both deployments, and the driver's tick period.
const (
	withinDataCentreDelay = 200 * time.Microsecond
	withinRegionDelay     = time.Millisecond
	crossRegionDelay      = 20 * time.Millisecond
	tickPeriod            = 100 * time.Millisecond
)

// Simulator runs a fleet in virtual time. It is not safe for concurrent use; set exported fields before the first Add.
type Simulator struct {
	Seed        uint64
	StoreRegion string // region of the store
	// Build creates a node's control plane; the default is controller.New.
	Build func(machine.Config) *controller.Controller
	// OnPublish is called with every value that a node publishes to its data path; it may be nil.
	OnPublish func(now time.Time, node string, value any)
	// Partitioned reports whether messages between two regions are currently lost; it may be nil.
	Partitioned func(from, to string) bool
	// Jitter is the maximum random addition to a delay, as a fraction of that delay.
	Jitter float64

	now              time.Time
	seq              uint64
	queue            queue
	rand             *rand.Rand
	nodes            map[string]*node
	addresses        []string
	lastArrivals     map[[2]string]time.Time
	store            *Store
	bytes            map[string]int64
	crossRegionBytes int64
	messageCount     int64
}

type node struct {
	config         machine.Config
	control        *controller.Controller
	generation     uint64 // incremented on every kill and restart, so that late events for an earlier run are dropped
	alive          bool
	paused         bool
	backlog        []event.Event
	links          map[string]bool
	watches        map[string]*watch
	pendingWatches map[string]bool // IDs of watch requests that have not yet reached the store
}

// New returns a simulator at the start of virtual time.
func New(seed uint64, region string) *Simulator {
	s := &Simulator{
		Seed: seed, StoreRegion: region, Build: controller.New, Jitter: 0.2,
		now:   time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		rand:  rand.New(rand.NewPCG(seed, 1)),
		nodes: map[string]*node{}, lastArrivals: map[[2]string]time.Time{}, bytes: map[string]int64{},
	}
	s.store = newStore(s)
	return s
}

// Now returns the virtual time.
func (s *Simulator) Now() time.Time { return s.now }

// Store returns the fake object store.
func (s *Simulator) Store() *Store { return s.store }

// Rand returns the simulation's random source.
func (s *Simulator) Rand() *rand.Rand { return s.rand }

// Nodes returns the addresses of all nodes in the order in which they were added.
func (s *Simulator) Nodes() []string { return s.addresses }

// Config returns the configuration with which the node was last started.
func (s *Simulator) Config(address string) machine.Config { return s.nodes[address].config }

// Alive reports whether the node is running; a paused node counts as running.
func (s *Simulator) Alive(address string) bool { return s.nodes[address].alive }

// Bytes returns the node's sent and received bytes, including the contents of store objects.
func (s *Simulator) Bytes(address string) int64 { return s.bytes[address] }

// CrossRegionBytes returns the bytes sent between regions, including the contents of store objects.
func (s *Simulator) CrossRegionBytes() int64 { return s.crossRegionBytes }

// Messages returns the number of messages sent.
func (s *Simulator) Messages() int64 { return s.messageCount }

// ResetCounts sets all byte, message and store request counters to zero.
func (s *Simulator) ResetCounts() {
	s.bytes = map[string]int64{}
	s.crossRegionBytes = 0
	s.messageCount = 0
	s.store.Reads, s.store.Writes = 0, 0
}

// After schedules f to run after d of virtual time.
func (s *Simulator) After(d time.Duration, f func()) { s.at(s.now.Add(d), f) }

func (s *Simulator) at(t time.Time, f func()) {
	if t.Before(s.now) {
		t = s.now
	}
	s.seq++
	heap.Push(&s.queue, task{at: t, seq: s.seq, run: f})
}

// Run advances virtual time by d and runs all tasks that are due.
func (s *Simulator) Run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		t := heap.Pop(&s.queue).(task)
		s.now = t.at
		t.run()
	}
	s.now = end
}

// RunUntil runs tasks until done returns true, checked after each task, and reports whether it did within limit.
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

// Add starts a node; it overwrites Rand and Incarnation in the configuration.
func (s *Simulator) Add(c machine.Config) {
	s.nodes[c.Node] = &node{config: c}
	s.addresses = append(s.addresses, c.Node)
	s.start(c.Node)
}

// Restart starts a killed node without its earlier state, at the same address and with a higher incarnation.
func (s *Simulator) Restart(address string) {
	if !s.nodes[address].alive {
		s.start(address)
	}
}

func (s *Simulator) start(address string) {
	n := s.nodes[address]
	n.generation++
	n.alive = true
	n.paused = false
	n.backlog = nil
	n.links = map[string]bool{}
	n.watches = map[string]*watch{}
	n.pendingWatches = map[string]bool{}
	n.config.Incarnation = uint64(s.now.UnixMilli())
	n.config.Rand = rand.New(rand.NewPCG(s.Seed, s.rand.Uint64()))
	n.control = s.Build(n.config)
	s.tick(n, n.generation, time.Duration(s.rand.Int64N(int64(tickPeriod))))
}

func (s *Simulator) tick(n *node, generation uint64, after time.Duration) {
	s.After(after, func() {
		if n.generation != generation {
			return
		}
		s.step(n, event.NewTick())
		s.tick(n, generation, tickPeriod)
	})
}

// Kill stops a node immediately; its peers see their links close.
func (s *Simulator) Kill(address string) {
	n := s.nodes[address]
	if !n.alive {
		return
	}
	n.alive = false
	n.generation++
	for _, w := range n.watches {
		s.store.removeWatch(w)
	}
	for _, other := range s.addresses {
		o := s.nodes[other]
		if o.alive && o.links[address] {
			delete(o.links, address)
			s.deliver(o, s.delay(n.config, o.config), event.NewUnlinked(address))
		}
	}
}

// Pause pauses a node; events other than ticks are queued until Resume.
func (s *Simulator) Pause(address string) { s.nodes[address].paused = true }

// Resume resumes a paused node, which first processes its queued events.
func (s *Simulator) Resume(address string) {
	n := s.nodes[address]
	if !n.paused {
		return
	}
	n.paused = false
	queued := n.backlog
	n.backlog = nil
	for _, e := range queued {
		s.step(n, e)
	}
}

// Inject passes an event to a running node as if it came from another part of that node.
func (s *Simulator) Inject(address string, e event.Event) {
	n := s.nodes[address]
	if n.alive {
		s.step(n, e)
	}
}

func (s *Simulator) step(n *node, e event.Event) {
	if n.paused {
		// Ticks are not queued: a paused process finds one expired timer on resumption, not hundreds.
		if e.Kind() != event.Tick {
			n.backlog = append(n.backlog, e)
		}
		return
	}
	generation := n.generation
	for _, f := range n.control.Step(s.now, e) {
		if n.generation != generation {
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
		generation := n.generation
		s.at(f.At(), func() {
			if n.generation == generation {
				s.step(n, event.NewTick())
			}
		})
	case effect.Watch:
		s.store.watch(n, f.ID(), f.Object())
	case effect.Unwatch:
		delete(n.pendingWatches, f.ID())
		if w := n.watches[f.ID()]; w != nil {
			s.store.removeWatch(w)
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
	s.messageCount++
	s.bytes[from.config.Node] += int64(len(data))
	if from.config.Region != to.config.Region {
		s.crossRegionBytes += int64(len(data))
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
	// Messages from one node to another arrive in order, as on one TCP connection.
	pair := [2]string{from.config.Node, peer}
	at := s.now.Add(delay)
	if last := s.lastArrivals[pair]; at.Before(last) {
		at = last
	}
	s.lastArrivals[pair] = at
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
	generation := n.generation
	s.After(after, func() {
		if n.generation == generation {
			s.step(n, e)
		}
	})
}

func (s *Simulator) delay(a, b machine.Config) time.Duration {
	d := crossRegionDelay
	switch {
	case a.DataCentre == b.DataCentre:
		d = withinDataCentreDelay
	case a.Region == b.Region:
		d = withinRegionDelay
	}
	return d + time.Duration(s.rand.Float64()*s.Jitter*float64(d))
}
