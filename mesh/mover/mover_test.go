package mover

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sebdah/goldie/v2"

	"wisteriaspoke.example/mesh/composer"
	"wisteriaspoke.example/mesh/elector"
	"wisteriaspoke.example/mesh/endpoint"
	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/gauge"
	"wisteriaspoke.example/mesh/machine"
	"wisteriaspoke.example/mesh/message"
	"wisteriaspoke.example/mesh/order"
	"wisteriaspoke.example/mesh/target"
	"wisteriaspoke.example/mesh/view"
)

// mesh simulates several movers and a store in virtual time.
type mesh struct {
	mutex       sync.Mutex
	startedAt   time.Time
	trace       []string
	nodes       []*node
	storeOut    bool // the store does not answer
	unread      bool // nodes do not read what is written
	writes      int  // calls to the store
	dead        map[string]bool
	silentSince map[string]time.Time // nodes without power, which others still believe to be alive
	pause       time.Duration        // between two calls of a node
	badAnswers  []time.Time          // of the new version
	newCalls    []time.Time          // to the new version
	order       order.Fields
	lastRouting map[string]string // last traced routing of each node
}

func (m *mesh) tracef(format string, args ...any) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.trace = append(m.trace, fmt.Sprintf("%6.1f s: ", time.Since(m.startedAt).Seconds())+fmt.Sprintf(format, args...))
}

// node is one mover and the fake parts that it uses.
type node struct {
	*Mover
	mesh    *mesh
	address string
	end     chan error
	cancel  context.CancelFunc
}

// all returns the present nodes.
func (m *mesh) all() []*node {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return slices.Clone(m.nodes)
}

func (n *node) alive(address string) bool {
	n.mesh.mutex.Lock()
	defer n.mesh.mutex.Unlock()
	return !n.mesh.dead[address] && n.mesh.silentSince[address].IsZero()
}

// believes reports whether the node counts another one as alive: it takes 2.6 heartbeats to notice a silent loss, and
// those of other regions are sent at three times the interval.
func (n *node) believes(address string) bool {
	n.mesh.mutex.Lock()
	defer n.mesh.mutex.Unlock()
	since, limit := n.mesh.silentSince[address], 2600*time.Millisecond
	if region(address) != region(n.address) {
		limit *= 3
	}
	return !n.mesh.dead[address] && (since.IsZero() || time.Since(since) < limit)
}

// region returns the region of the node at the address.
func region(address string) string { return address[:1] }

func (n *node) Broadcast(m message.Message) {
	for _, o := range n.mesh.all() {
		if o != n {
			n.Send(o.address, m)
		}
	}
}

func (n *node) Send(peer string, m message.Message) {
	for _, o := range n.mesh.all() {
		if o.address == peer && n.alive(peer) && n.alive(n.address) {
			o.Handle(n.address, m)
		}
	}
}

func (n *node) Refresh() {}

func (n *node) View() *view.View {
	e := endpoint.New(endpoint.Fields{Address: "x", Service: "s", Version: "v2", State: endpoint.Ready})
	t := target.New(e, gauge.New(time.Now()), "", "", "")
	return view.New(nil, time.Time{}, map[string]view.Pool{"s": {Candidate: []*target.Target{t}}})
}

func (n *node) Nodes() []elector.Candidate {
	var cs []elector.Candidate
	for _, o := range n.mesh.all() {
		if o != n {
			cs = append(cs, elector.Candidate{Address: o.address, Region: region(o.address), StoreReachable: true, Alive: n.believes(o.address)})
		}
	}
	return cs
}

func (n *node) Self() elector.Candidate {
	return elector.Candidate{Address: n.address, Region: region(n.address), StoreReachable: true, Alive: true}
}

// WriteOrderState writes a state and passes the changed order to all nodes, as a watch would.
func (n *node) WriteOrderState(_ context.Context, o order.Order, s order.State) error {
	m := n.mesh
	m.mutex.Lock()
	m.writes++
	switch {
	case m.storeOut:
		m.mutex.Unlock()
		return fault.New(fault.Unavailable, "no answer", "")
	case m.order.Revision != o.Revision() && !m.unread:
		m.mutex.Unlock()
		return fault.New(fault.Conflict, "another revision", "")
	}
	m.order.Revision++
	m.order.State = s
	changed, unread := order.New(m.order), m.unread
	m.mutex.Unlock()
	m.tracef("%s writes %q", n.address, s)
	if unread {
		return nil
	}
	for _, x := range m.all() {
		x.SetOrders([]order.Order{changed})
	}
	return nil
}

func (m *mesh) start(addresses ...string) {
	m.startedAt, m.dead, m.lastRouting = time.Now(), map[string]bool{}, map[string]string{}
	m.silentSince, m.pause = map[string]time.Time{}, 20*time.Millisecond
	for _, a := range addresses {
		m.nodes = append(m.nodes, m.newNode(a))
	}
	for _, n := range m.nodes {
		n.begin()
		// The offset keeps the ticks of nodes and the traffic at different instants; otherwise their order would vary.
		time.Sleep(3 * time.Millisecond)
	}
}

func (m *mesh) newNode(a string) *node {
	n := &node{mesh: m, address: a, end: make(chan error, 1)}
	n.Mover = &Mover{
		now: time.Now, log: slog.New(slog.DiscardHandler), cluster: n, peerSender: n, stateWriter: n, inputs: make(chan any, inputQueueSize),
		writeResults: make(chan writeResult, 16), moves: map[string]*move{}, badVersions: map[string][]string{}, outcomes: map[string][]moveOutcome{},
		config: machine.Config{Node: a},
	}
	n.splits.Store(&map[string]composer.Split{})
	n.counters.Store(&map[string]*observedMove{})
	return n
}

func (n *node) begin() {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go func() { n.end <- n.run(ctx) }()
}

// calls simulates traffic on all living nodes until the given time; failureRatio is that of the new version's calls.
func (m *mesh) calls(until time.Duration, failureRatio float64) {
	i := 0
	for time.Since(m.startedAt) < until {
		time.Sleep(m.pause)
		for _, n := range m.nodes {
			if !n.alive(n.address) {
				continue
			}
			i++
			s := n.Split("s")
			routing := fmt.Sprintf("gives v2 %d of 1000 calls", s.Permille)
			if s.Candidate == "" {
				routing = fmt.Sprintf("follows no move, only %q, bad %v", s.OnlyVersion, s.ExcludedVersions)
			}
			if m.lastRouting[n.address] != routing {
				m.lastRouting[n.address] = routing
				m.tracef("%s %s", n.address, routing)
			}
			newVersion := s.Candidate != "" && (i*37)%1000 < s.Permille
			version, instance := "v1", "old"
			if newVersion {
				version, instance = "v2", fmt.Sprintf("new%d", i%2)
			}
			bad := newVersion && float64((i*61)%100) < 100*failureRatio
			if newVersion {
				m.newCalls = append(m.newCalls, time.Now())
			}
			if bad {
				m.badAnswers = append(m.badAnswers, time.Now())
			}
			n.Observe("s", version, "read", instance, bad, false, false)
		}
	}
}

// TestMoves guards against moves that miss their deadline, bad versions that still get calls, and moves that stop when
// the leader does. The golden file of a case shows each node's split of the calls and each write of a state.
func TestMoves(t *testing.T) {
	cases := []struct {
		name string
		run  func(m *mesh)
	}{
		{"good", func(m *mesh) { m.calls(14*time.Second, 0) }},
		{"bad-from-the-start", func(m *mesh) { m.calls(14*time.Second, 0.5) }},
		{"bad-later", func(m *mesh) {
			m.calls(7*time.Second, 0)
			m.tracef("v2 turns bad")
			m.calls(14*time.Second, 0.5)
		}},
		{"leader-dies", func(m *mesh) {
			m.calls(3*time.Second, 0)
			m.kill(0)
			m.calls(14*time.Second, 0)
		}},
		{"bad-while-the-store-is-out", func(m *mesh) {
			m.calls(2*time.Second, 0)
			m.setStoreOut(true)
			m.calls(8*time.Second, 0.5)
			m.setStoreOut(false)
			m.calls(10*time.Second, 0.5)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := &mesh{order: order.Fields{Service: "s", Target: "v2", Period: 14 * time.Second, Created: 1, Revision: 1, State: order.Running}}
				m.start("a", "b", "c")
				for _, n := range m.nodes {
					n.SetOrders([]order.Order{order.New(m.order)})
				}
				c.run(m)
				for _, n := range m.nodes {
					n.cancel()
					<-n.end
				}
				goldie.New(t).Assert(t, c.name, []byte(strings.Join(m.trace, "\n")+"\n"))
			})
		})
	}
}

// kill stops a node and drops all messages from and to it.
func (m *mesh) kill(i int) {
	n := m.nodes[i]
	m.mutex.Lock()
	m.dead[n.address] = true
	m.mutex.Unlock()
	n.halt()
	m.tracef("%s dies", n.address)
}

// halt ends the node's goroutine; the end of the test can still wait for it.
func (n *node) halt() {
	n.cancel()
	<-n.end
	n.end <- nil
}

func (m *mesh) setStoreOut(out bool) {
	m.tracef("store out: %v", out)
	m.mutex.Lock()
	m.storeOut = out
	m.mutex.Unlock()
}
