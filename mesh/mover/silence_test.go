package mover

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sebdah/goldie/v2"

	"wisteriaspoke.example/mesh/order"
)

// powerOff stops nodes without a sign to the others.
func (m *mesh) powerOff(addresses ...string) {
	for _, n := range m.nodes {
		if !slices.Contains(addresses, n.address) {
			continue
		}
		m.mutex.Lock()
		m.silentSince[n.address] = time.Now()
		m.mutex.Unlock()
		n.halt()
	}
}

// TestBadVersionAfterSilentLoss guards against EXPOSURE: a bad version that is called for seconds, since the nodes that
// evaluate the move have lost power and the others have not noticed. Each case cuts the power of some nodes, and the
// version turns bad before or after that. A line says whether the last call to the version was made within 5 s of its
// 50th bad answer.
func TestBadVersionAfterSilentLoss(t *testing.T) {
	const rollback, lossAt = 5 * time.Second, 14 * time.Second
	losses := []struct {
		name  string
		nodes []string
	}{
		{"nobody", nil},
		{"the leader", []string{"a1"}},
		{"both evaluators", []string{"a1", "a2"}},
		{"their region", []string{"a1", "a2", "a3", "a4"}},
		{"their region and one more", []string{"a1", "a2", "a3", "a4", "b1", "b2", "b3"}},
	}
	offsets := []time.Duration{-300, -50, 50, 500, 1500, 4000}
	var out strings.Builder
	for _, l := range losses {
		for _, offset := range offsets {
			synctest.Test(t, func(t *testing.T) {
				m := &mesh{order: order.Fields{Service: "s", Target: "v2", Period: 30 * time.Second, Created: 1, Revision: 1, State: order.Running}}
				m.start("a1", "a2", "a3", "a4", "b1", "b2", "b3", "c1", "c2", "c3")
				m.pause = 10 * time.Millisecond
				for _, n := range m.nodes {
					n.SetOrders([]order.Order{order.New(m.order)})
				}
				badAt := lossAt + offset*time.Millisecond
				m.calls(min(lossAt, badAt), 0)
				if badAt < lossAt {
					m.calls(lossAt, 0.5)
				}
				m.powerOff(l.nodes...)
				m.calls(badAt, 0)
				m.calls(badAt+rollback+5*time.Second, 0.5)
				for _, n := range m.nodes {
					n.cancel()
					<-n.end
				}
				inTime := len(m.badAnswers) < 50 || m.newCalls[len(m.newCalls)-1].Sub(m.badAnswers[49]) <= rollback
				fmt.Fprintf(&out, "%s, bad after %v: %v\n", l.name, offset*time.Millisecond, inTime)
			})
		}
	}
	goldie.New(t).Assert(t, "silence", []byte(out.String()))
}
