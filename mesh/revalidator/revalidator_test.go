package revalidator

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"wisteriaspoke.example/mesh/clock"
	"wisteriaspoke.example/mesh/elector"
	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/message"
	"wisteriaspoke.example/mesh/plan"
	"wisteriaspoke.example/mesh/record"
	"wisteriaspoke.example/mesh/tenant"
	"wisteriaspoke.example/mesh/view"
)

// fakeNode is a node with the parts that a revalidator uses.
type fakeNode struct {
	*Revalidator
	address  string
	other    *fakeNode
	storeOut atomic.Bool
	reads    atomic.Int64
	sent     atomic.Int64
	mutex    sync.Mutex
	logged   bytes.Buffer
}

func (n *fakeNode) Write(line []byte) (int, error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.logged.Write(line)
}

func (n *fakeNode) count(text string) int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return strings.Count(n.logged.String(), text)
}

func (n *fakeNode) List(context.Context, record.Kind, bool) ([]record.Record, uint64, error) {
	n.reads.Add(1)
	if n.storeOut.Load() {
		return nil, 0, fault.New(fault.Unavailable, "refused", "")
	}
	return nil, 1, nil
}

func (n *fakeNode) AddRead(_ []record.Record, began time.Duration) bool {
	n.Prove(began, 1)
	return true
}

func (n *fakeNode) SetStoreReachable(bool, time.Duration) {}

func (n *fakeNode) Nodes() []elector.Candidate {
	return []elector.Candidate{{Address: n.other.address, Region: "a", Incarnation: 1, Alive: true}}
}

func (n *fakeNode) View() *view.View {
	p := plan.New(1, plan.Limits{}, nil, nil).WithTenants([]*tenant.Tenant{tenant.New(tenant.Fields{Name: "t"})})
	return view.New(p, time.Time{}, nil)
}

func (n *fakeNode) send(peer string, m message.Message) {
	n.sent.Add(1)
	if !n.other.Handle(n.address, m) {
		panic("a message of another part")
	}
}

func newFakeNode(address string, revoke time.Duration) *fakeNode {
	n := &fakeNode{address: address}
	n.Revalidator = &Revalidator{Revoke: revoke, proven: make(chan struct{}), inputs: make(chan any, inputQueueSize), readErrors: make(chan error, 1)}
	n.log, n.store, n.cluster = slog.New(slog.NewTextHandler(n, nil)), n, n
	d := newDistributor(address, "a", 1, newSchedule(revoke, 0), clock.Clock{}.Now)
	d.random, d.send, d.nodes = func() float64 { return 0.5 }, n.send, n.Nodes
	n.distributor = d
	n.started.Store(d)
	return n
}

// TestRecovers guards against a node that stays closed after the store has come back, one that has no proof although another
// one reaches the store, and log lines for each request or none for a period of refusals.
func TestRecovers(t *testing.T) {
	a, b := newFakeNode("a0", time.Second), newFakeNode("a1", time.Second)
	a.other, b.other = b, a
	b.storeOut.Store(true)
	ctx, cancel := context.WithCancel(context.Background())
	ends := make(chan error, 2)
	for _, n := range []*fakeNode{a, b} {
		go func() { ends <- n.run(ctx) }()
	}
	await := func(what string, done func() bool) {
		t.Helper()
		for end := time.Now().Add(30 * time.Second); !done(); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s: not within 30 s", what)
			}
		}
	}
	await("both are fresh", func() bool { return a.Fresh(1) && b.Fresh(1) })
	if a.Fresh(0) {
		t.Error("a proof of version 1 makes version 0 fresh")
	}
	await("the start is over", func() bool {
		return b.count("requests with a key are accepted") == b.count("requests with a key are refused")
	})
	refusedBefore := b.count("requests with a key are refused")
	a.storeOut.Store(true)
	await("the second is stale and says so", func() bool {
		return !b.Fresh(1) && b.count("requests with a key are refused") > refusedBefore
	})
	a.storeOut.Store(false)
	await("both are fresh again and say so", func() bool {
		return a.Fresh(1) && b.Fresh(1) && b.count("requests with a key are accepted") == b.count("requests with a key are refused")
	})
	cancel()
	<-ends
	<-ends
}

// TestOff guards against messages, calls to the store and refusals where --revoke is not set.
func TestOff(t *testing.T) {
	r := &Revalidator{proven: make(chan struct{}), inputs: make(chan any, 1), readErrors: make(chan error, 1), log: slog.New(slog.NewTextHandler(io.Discard, nil))}
	if end, err := r.Start(t.Context(), nil); end != nil || err != nil {
		t.Errorf("Start returns %v, %v", end, err)
	}
	r.Prove(1, 1)
	if !r.Fresh(7) || !r.Handle("x", message.New(kindStamp, &stamp{Ask: true})) || len(r.inputs) != 0 {
		t.Error("a revalidator that is off has work to do or refuses")
	}
	if r.Handle("x", message.New("other", nil)) {
		t.Error("a message of another part is taken")
	}
}
