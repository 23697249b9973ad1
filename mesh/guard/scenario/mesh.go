package scenario

import (
	"fmt"
	"math/rand/v2"
	"time"

	"wisteriaspoke.example/mesh/effect"
	"wisteriaspoke.example/mesh/guard"
	"wisteriaspoke.example/mesh/roster"
	"wisteriaspoke.example/mesh/spreader"
)

// One-way latencies of docs/design.md.
const (
	nearLatency   = time.Millisecond
	farLatency    = 20 * time.Millisecond
	callerLatency = 3 * time.Millisecond
)

// restart is how long a crashed upstream is down.
const restart = 200 * time.Millisecond

// Config is the size of a mesh and what goes wrong in it.
type Config struct {
	Regions, DataCentres, Nodes int // data centres of a region, and nodes of a data centre

	MaxDelay         time.Duration // longest additional delay of a message with marks, on each hop
	DuplicatePercent int           // per cent of messages with marks that arrive twice

	Unguarded    bool // no crash guard
	AnswerAtOnce bool // fault: answers of crashed calls are not held back
	CountTwice   bool // fault: each crash counts as two
	NeverClear   bool // fault: a whole response clears nothing
}

// Mesh is a set of nodes with an upstream each. It is not safe for concurrent use.
type Mesh struct {
	shape   Config
	clock   clock
	random  *rand.Rand
	nodes   []*node
	byName  map[string]*node
	last    uint64 // number of a call
	crashes map[string]int
}

// New returns a mesh that has run until all nodes have asked their relays.
func New(seed uint64, s Config) *Mesh {
	m := &Mesh{
		shape: s, random: rand.New(rand.NewPCG(seed, 1)), byName: map[string]*node{}, crashes: map[string]int{},
		clock: clock{now: time.Unix(1_800_000_000, 0)},
	}
	for r := range s.Regions {
		for d := range s.DataCentres {
			for i := range s.Nodes {
				m.add(r, d, i)
			}
		}
	}
	for _, n := range m.nodes {
		if !s.Unguarded {
			n.send(n.spreader.SetRoster(m.clock.now, m.roster(n)))
			m.tick(n)
		}
	}
	m.Advance(2 * time.Second)
	return m
}

func name(region, centre, i int) string { return fmt.Sprintf("r%d-d%d-n%d", region, centre, i) }

func (m *Mesh) add(region, centre, i int) {
	n := &node{mesh: m, name: name(region, centre, i), region: region, centre: centre, index: i, up: true}
	n.guard = &guard.Guard{Node: n.name, Incarnation: 1}
	n.spreader = &spreader.Spreader{Node: n.name, Incarnation: 1, Guard: n.guard}
	n.running = map[uint64]*run{}
	n.held = map[uint64][]func(){}
	m.nodes = append(m.nodes, n)
	m.byName[n.name] = n
}

// relays is the number of relays of a data centre.
func (s Config) relays() int { return min(2, s.Nodes) }

func (m *Mesh) roster(n *node) roster.Roster {
	f := roster.Fields{LeaseIndex: -1}
	for i := range m.shape.relays() {
		f.Relays = append(f.Relays, name(n.region, n.centre, i))
	}
	if n.index >= m.shape.relays() {
		return roster.New(f)
	}
	f.LeaseIndex = n.index
	f.Gateway = n.centre == 0 && n.index == 0
	for d := range m.shape.DataCentres {
		for i := range m.shape.relays() {
			if a := name(n.region, d, i); a != n.name {
				f.RegionRelays = append(f.RegionRelays, a)
			}
		}
	}
	for r := range m.shape.Regions {
		if r != n.region {
			f.RemoteGateways = append(f.RemoteGateways, name(r, 0, 0))
		}
	}
	return roster.New(f)
}

func (m *Mesh) tick(n *node) {
	m.clock.after(time.Duration(m.random.Int64N(int64(100*time.Millisecond))), func() {
		n.send(n.spreader.Tick(m.clock.now))
		n.settle()
		m.clock.after(50*time.Millisecond, func() { m.tick(n) })
	})
}

func (m *Mesh) latency(a, b *node) time.Duration {
	if a.region == b.region {
		return nearLatency
	}
	return farLatency
}

// deliver runs f at the other node after the latency.
func (m *Mesh) deliver(from, to *node, f func()) { m.clock.after(m.latency(from, to), f) }

// send carries messages of the spreader.
func (n *node) send(effects []effect.Effect) {
	m := n.mesh
	for _, e := range effects {
		to := m.byName[e.Peer()]
		copies := 1
		if m.random.IntN(100) < m.shape.DuplicatePercent {
			copies = 2
		}
		for range copies {
			late := time.Duration(0)
			if m.shape.MaxDelay > 0 {
				late = time.Duration(m.random.Int64N(int64(m.shape.MaxDelay)))
			}
			m.clock.after(m.latency(n, to)+late, func() {
				effects, _ := to.spreader.Receive(m.clock.now, n.name, e.Message())
				to.send(effects)
				to.settle()
			})
		}
	}
}

// Advance lets time pass.
func (m *Mesh) Advance(d time.Duration) { m.clock.run(d) }

// Now returns the virtual time.
func (m *Mesh) Now() time.Time { return m.clock.now }

// Len returns the number of nodes.
func (m *Mesh) Len() int { return len(m.nodes) }

// Crashes returns how many upstreams the bad call has crashed.
func (m *Mesh) Crashes(call string) int { return m.crashes[call] }

// MarkCount returns how many marks count against the calls, at all nodes together.
func (m *Mesh) MarkCount(calls []string) int {
	count := 0
	for _, n := range m.nodes {
		prints := n.guard.Fingerprints(m.clock.now)
		for _, c := range calls {
			if _, ok := prints[print(c)]; ok {
				count++
			}
		}
	}
	return count
}
