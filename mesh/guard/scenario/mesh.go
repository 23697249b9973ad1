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
	sameRegionLatency  = time.Millisecond
	crossRegionLatency = 20 * time.Millisecond
	callerLatency      = 3 * time.Millisecond
)

// restartTime is how long a crashed upstream is down.
const restartTime = 200 * time.Millisecond

// Config is the size of a mesh and the faults in it.
type Config struct {
	Regions, DataCentres, Nodes int // data centres per region, nodes per data centre

	MaxDelay         time.Duration // longest additional delay of a spreader message, on each hop
	DuplicatePercent int           // percentage of spreader messages that arrive twice

	Unguarded    bool // no crash guard
	AnswerAtOnce bool // fault: answers to crashed calls are not delayed until the marks have spread
	CountTwice   bool // fault: each crash counts as two
	NeverClear   bool // fault: a complete response does not clear marks
}

// Mesh is a set of nodes with one upstream each. It is not safe for concurrent use.
type Mesh struct {
	config     Config
	clock      clock
	random     *rand.Rand
	nodes      []*node
	byName     map[string]*node
	lastCallID uint64
	crashes    map[string]int // by culprit
}

// New returns a mesh that has run until all nodes have pulled marks from their relays.
func New(seed uint64, c Config) *Mesh {
	m := &Mesh{
		config: c, random: rand.New(rand.NewPCG(seed, 1)), byName: map[string]*node{}, crashes: map[string]int{},
		clock: clock{now: time.Unix(1_800_000_000, 0)},
	}
	for r := range c.Regions {
		for d := range c.DataCentres {
			for i := range c.Nodes {
				m.addNode(r, d, i)
			}
		}
	}
	for _, n := range m.nodes {
		if !c.Unguarded {
			n.send(n.spreader.SetRoster(m.clock.now, m.roster(n)))
			m.scheduleTicks(n)
		}
	}
	m.Advance(2 * time.Second)
	return m
}

// nodeName returns the name of a node from its region, data centre and index.
func nodeName(region, centre, i int) string { return fmt.Sprintf("r%d-d%d-n%d", region, centre, i) }

func (m *Mesh) addNode(region, centre, i int) {
	n := &node{mesh: m, name: nodeName(region, centre, i), region: region, centre: centre, index: i, up: true}
	n.guard = &guard.Guard{Node: n.name, Incarnation: 1}
	n.spreader = &spreader.Spreader{Node: n.name, Incarnation: 1, Guard: n.guard}
	n.running = map[uint64]*runningCall{}
	n.heldAnswers = map[uint64][]func(){}
	m.nodes = append(m.nodes, n)
	m.byName[n.name] = n
}

// relays returns the number of relays of a data centre.
func (c Config) relays() int { return min(2, c.Nodes) }

func (m *Mesh) roster(n *node) roster.Roster {
	f := roster.Fields{LeaseIndex: -1}
	for i := range m.config.relays() {
		f.Relays = append(f.Relays, nodeName(n.region, n.centre, i))
	}
	if n.index >= m.config.relays() {
		return roster.New(f)
	}
	f.LeaseIndex = n.index
	f.Gateway = n.centre == 0 && n.index == 0
	for d := range m.config.DataCentres {
		for i := range m.config.relays() {
			if a := nodeName(n.region, d, i); a != n.name {
				f.RegionRelays = append(f.RegionRelays, a)
			}
		}
	}
	for r := range m.config.Regions {
		if r != n.region {
			f.RemoteGateways = append(f.RemoteGateways, nodeName(r, 0, 0))
		}
	}
	return roster.New(f)
}

// scheduleTicks calls the spreader's Tick at random intervals of 50 to 150 ms.
func (m *Mesh) scheduleTicks(n *node) {
	m.clock.after(time.Duration(m.random.Int64N(int64(100*time.Millisecond))), func() {
		n.send(n.spreader.Tick(m.clock.now))
		n.releaseConfirmed()
		m.clock.after(50*time.Millisecond, func() { m.scheduleTicks(n) })
	})
}

func (m *Mesh) latency(a, b *node) time.Duration {
	if a.region == b.region {
		return sameRegionLatency
	}
	return crossRegionLatency
}

// deliver runs f on the receiving node after the latency.
func (m *Mesh) deliver(from, to *node, f func()) { m.clock.after(m.latency(from, to), f) }

// send delivers messages of the spreader, with the configured delays and duplicates.
func (n *node) send(effects []effect.Effect) {
	m := n.mesh
	for _, e := range effects {
		to := m.byName[e.Peer()]
		copies := 1
		if m.random.IntN(100) < m.config.DuplicatePercent {
			copies = 2
		}
		for range copies {
			delay := time.Duration(0)
			if m.config.MaxDelay > 0 {
				delay = time.Duration(m.random.Int64N(int64(m.config.MaxDelay)))
			}
			m.clock.after(m.latency(n, to)+delay, func() {
				effects, _ := to.spreader.Receive(m.clock.now, n.name, e.Message())
				to.send(effects)
				to.releaseConfirmed()
			})
		}
	}
}

// Advance advances the virtual time by d.
func (m *Mesh) Advance(d time.Duration) { m.clock.advance(d) }

// Now returns the virtual time.
func (m *Mesh) Now() time.Time { return m.clock.now }

// Len returns the number of nodes.
func (m *Mesh) Len() int { return len(m.nodes) }

// Crashes returns how many upstreams the culprit has crashed.
func (m *Mesh) Crashes(call string) int { return m.crashes[call] }

// MarkCount returns how many of the calls have marks that are not cleared, summed over all nodes.
func (m *Mesh) MarkCount(calls []string) int {
	count := 0
	for _, n := range m.nodes {
		marked := n.guard.Fingerprints(m.clock.now)
		for _, c := range calls {
			if _, ok := marked[fingerprint(c)]; ok {
				count++
			}
		}
	}
	return count
}
