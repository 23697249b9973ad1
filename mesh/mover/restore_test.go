package mover

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sebdah/goldie/v2"

	"wisteriaspoke.example/mesh/order"
	"wisteriaspoke.example/mesh/record"
)

// restore brings the store back with an older state of the order, and passes that to all nodes.
func (m *mesh) restore(era uint64, f order.Fields) {
	f.Revision = record.Position(era, record.RevisionIn(f.Revision))
	m.mutex.Lock()
	m.order = f
	m.mutex.Unlock()
	m.tracef("the store is restored to %q in era %d", f.State, era)
	for _, n := range m.nodes {
		n.SetOrders([]order.Order{order.New(f)})
	}
}

// restart replaces node i by one that knows only the stored order.
func (m *mesh) restart(i int) {
	n := m.nodes[i]
	n.cancel()
	<-n.end
	x := m.newNode(n.address)
	x.begin()
	m.mutex.Lock()
	m.nodes[i] = x
	o := order.New(m.order)
	m.mutex.Unlock()
	m.tracef("%s restarts", x.address)
	x.SetOrders([]order.Order{o})
}

// TestLostOrder guards against a node that writes the state of an order again and again although the store no longer has it.
func TestLostOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &mesh{order: order.Fields{Service: "s", Target: "v2", Period: 14 * time.Second, Created: 1, Revision: 1, State: order.Running}}
		m.start("a", "b", "c")
		for _, n := range m.nodes {
			n.SetOrders([]order.Order{order.New(m.order)})
		}
		m.mutex.Lock()
		m.order.Revision = record.Position(1, 1)
		m.mutex.Unlock()
		m.calls(14*time.Second, 0.5)
		for _, n := range m.nodes {
			n.cancel()
			<-n.end
		}
		if m.writes != 1 {
			t.Errorf("the state was written %d times, want once", m.writes)
		}
	})
}

// TestStateLostInMove guards against a move that goes on after a restore while operators read no state of it, and against one
// whose end was written before the restore, but not yet read.
func TestStateLostInMove(t *testing.T) {
	begun := order.Fields{Service: "s", Target: "v2", Period: 14 * time.Second, Created: 1, Revision: 1, State: order.Running}
	for _, c := range []struct {
		name  string
		ratio float64
	}{{"state-lost-running", 0}, {"state-lost-bad", 0.5}} {
		synctest.Test(t, func(t *testing.T) {
			m := &mesh{order: begun, unread: true}
			m.start("a", "b", "c")
			for _, n := range m.nodes {
				n.SetOrders([]order.Order{order.New(m.order)})
			}
			m.calls(5*time.Second, c.ratio)
			m.restore(1, begun)
			m.unread = false
			m.calls(14*time.Second, c.ratio)
			for _, n := range m.nodes {
				n.cancel()
				<-n.end
			}
			goldie.New(t).Assert(t, c.name, []byte(strings.Join(m.trace, "\n")+"\n"))
		})
	}
}

// TestMovesAfterRestore guards against moves that begin again, or bad versions that get calls, after a restore of the store
// that has lost their states, also if the leader does not know how they ended. The golden file of a case shows each node's
// split of the calls and each write of a state.
func TestMovesAfterRestore(t *testing.T) {
	begun := order.Fields{Service: "s", Target: "v2", Period: 14 * time.Second, Created: 1, Revision: 1, State: order.Running}
	cases := []struct {
		name  string
		ratio float64 // of failures of the new version
		run   func(m *mesh)
	}{
		{"restored-completed", 0, func(m *mesh) { m.restore(1, begun); m.calls(17*time.Second, 0) }},
		{"restored-taken-back", 0.5, func(m *mesh) { m.restore(1, begun); m.calls(17*time.Second, 0.5) }},
		{"restored-twice", 0.5, func(m *mesh) {
			m.restore(1, begun)
			m.calls(16*time.Second, 0.5)
			m.restore(2, begun)
			m.calls(18*time.Second, 0.5)
		}},
		{"restored-completed-leader-restarts", 0, func(m *mesh) { m.restore(1, begun); m.restart(0); m.calls(18*time.Second, 0) }},
		{"restored-taken-back-leader-restarts", 0.5, func(m *mesh) { m.restore(1, begun); m.restart(0); m.calls(18*time.Second, 0.5) }},
		{"ordered-again-after-restore", 0, func(m *mesh) {
			again := begun
			again.Revision = 50
			m.restore(1, again)
			m.calls(17*time.Second, 0)
		}},
		{"restored-to-another-order", 0.5, func(m *mesh) {
			next := begun
			next.Target, next.Created, next.Revision = "v3", 9, 9
			m.restore(0, next)
			m.calls(16*time.Second, 0)
			m.restore(1, begun)
			m.calls(18*time.Second, 0.5)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := &mesh{order: begun}
				m.start("a", "b", "c")
				for _, n := range m.nodes {
					n.SetOrders([]order.Order{order.New(m.order)})
				}
				m.calls(14*time.Second, c.ratio)
				m.tracef("%s", strings.Repeat("-", 20))
				c.run(m)
				for _, n := range m.nodes {
					n.cancel()
					<-n.end
				}
				// Of the time before the restore, TestMoves tells.
				_, after, _ := strings.Cut(strings.Join(m.trace, "\n"), strings.Repeat("-", 20)+"\n")
				goldie.New(t).Assert(t, c.name, []byte(fmt.Sprintln(after)))
			})
		})
	}
}
