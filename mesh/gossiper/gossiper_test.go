package gossiper

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sebdah/goldie/v2"

	"wisteriaspoke.example/mesh/composer"
	"wisteriaspoke.example/mesh/encoder"
	"wisteriaspoke.example/mesh/enroller"
	"wisteriaspoke.example/mesh/event"
	"wisteriaspoke.example/mesh/machine"
	"wisteriaspoke.example/mesh/message"
	"wisteriaspoke.example/mesh/order"
	"wisteriaspoke.example/mesh/plan"
	"wisteriaspoke.example/mesh/record"
	"wisteriaspoke.example/mesh/view"
)

// network carries messages between nodes in virtual time, encoded as on a real link.
type network struct {
	mutex sync.Mutex // guards the rest and the nodes' linked
	nodes map[string]*node
	cut   map[string]bool // nodes whose links are down
	sent  map[string]int  // records that came from other regions, by the receiver's region
	cross int             // messages between regions
}

// node is one gossiper with fakes around it.
type node struct {
	*Gossiper
	network *network
	address string
	region  string
	linked  map[string]bool
	cancel  context.CancelFunc
	end     chan error
}

func (n *network) up(a, b string) bool { return !n.cut[a] && !n.cut[b] && n.nodes[b] != nil }

// Send links on demand, as the real linker does, and delivers the message.
func (n *node) Send(peer string, m message.Message) {
	n.network.mutex.Lock()
	defer n.network.mutex.Unlock()
	if !n.network.up(n.address, peer) {
		return
	}
	other := n.network.nodes[peer]
	if !n.linked[peer] {
		n.linked[peer], other.linked[n.address] = true, true
		n.Inject(event.NewLinked(peer))
		other.Inject(event.NewLinked(n.address))
	}
	data, err := encoder.Encode(m)
	if err != nil {
		panic(err)
	}
	back, err := encoder.Decode(data)
	if err != nil {
		panic(err)
	}
	if n.region != other.region {
		n.network.cross++
	}
	if rs, ok := back.Body().(*records); ok {
		if n.region != other.region {
			n.network.sent[other.region] += len(rs.Records)
		}
	}
	other.Inject(event.NewReceived(n.address, back))
}

// Plan reads a version number.
func (n *node) Plan(spec []byte) (*plan.Plan, error) {
	v, err := strconv.ParseUint(string(spec), 10, 64)
	return plan.New(v, plan.Limits{}, nil, nil), err
}

func (n *node) Order(r record.Record) (order.Order, error) {
	return order.New(order.Fields{Service: r.Name, Revision: r.Revision}), nil
}

func (n *node) Split(string) composer.Split { return composer.Split{} }
func (n *node) Load() (int, int64)          { return 3, 1500 }

// start adds a node in the region named by the first letter of its address.
func (n *network) start(address string, knows ...string) *node {
	x := &node{network: n, address: address, region: address[:1], linked: map[string]bool{}, end: make(chan error, 1)}
	x.Gossiper = &Gossiper{
		now: time.Now, log: slog.New(slog.DiscardHandler), inputs: make(chan any, inputQueue), peers: map[string]*peer{},
		archive: newArchive(), orders: map[string]order.Order{}, sender: x, decoder: x, splitter: x, loader: x,
		config: machine.Config{Node: address, DataCentre: address[:2], Region: address[:1], Incarnation: uint64(time.Now().UnixMilli())},
		own:    peer{address: address, linked: true},
	}
	x.view.Store(view.New(nil, time.Time{}, nil))
	x.publishNodes()
	n.mutex.Lock()
	n.nodes[address] = x
	n.mutex.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	x.cancel = cancel
	go func() { x.end <- x.run(ctx) }()
	x.AddAddresses(knows)
	return x
}

// kill ends a node and its links.
func (n *network) kill(address string) {
	x := n.nodes[address]
	x.cancel()
	<-x.end
	n.mutex.Lock()
	delete(n.nodes, address)
	n.mutex.Unlock()
	n.unlink(address)
}

func (n *network) unlink(address string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, o := range n.nodes {
		if o.linked[address] {
			delete(o.linked, address)
			o.Inject(event.NewUnlinked(address))
		}
		if x := n.nodes[address]; x != nil && x.linked[o.address] {
			delete(x.linked, o.address)
			x.Inject(event.NewUnlinked(o.address))
		}
	}
}

// sever cuts the nodes off from all others, and heals other cuts.
func (n *network) sever(addresses ...string) {
	n.mutex.Lock()
	n.cut = map[string]bool{}
	for _, a := range addresses {
		n.cut[a] = true
	}
	n.mutex.Unlock()
	for _, a := range addresses {
		n.unlink(a)
	}
}

// state is what each node has in force and which endpoints it would call.
func (n *network) state(label string) string {
	var out strings.Builder
	fmt.Fprintf(&out, "%s\n", label)
	var names []string
	for a := range n.nodes {
		names = append(names, a)
	}
	slices.Sort(names)
	for _, a := range names {
		v := n.nodes[a].View()
		version := uint64(0)
		if v.Plan() != nil {
			version = v.Plan().Version()
		}
		var targets []string
		for _, t := range v.Pool("s").Stable {
			targets = append(targets, t.Endpoint().Address())
		}
		slices.Sort(targets)
		fmt.Fprintf(&out, "  %s: version %d, calls %s\n", a, version, strings.Join(targets, " "))
	}
	return out.String()
}

func configuration(version, revision uint64) []record.Record {
	return []record.Record{{Kind: record.Configuration, Name: "main", Revision: revision, Spec: []byte(strconv.FormatUint(version, 10))}}
}

// enrol gives a node an upstream in the state.
func enrol(t *testing.T, n *node, sequence int64, leaving bool) {
	t.Helper()
	e := enroller.New(slog.New(slog.DiscardHandler), n)
	if !e.Announce(enroller.Announcement{Instance: "i-" + n.address, Service: "s", Version: "v1", Slots: 4, StartMillis: 1, Sequence: sequence, Leaving: leaving}) {
		t.Fatal("the announcement is not taken")
	}
}

// TestSpread guards against nodes that miss a configuration or an endpoint's leaving, go back to an older version, or
// take what one of them learned from every other one.
func TestSpread(t *testing.T) {
	addresses := []string{"a1-x", "a1-y", "a2-x", "b1-x", "b1-y", "c1-x"}
	synctest.Test(t, func(t *testing.T) {
		n := &network{nodes: map[string]*node{}, cut: map[string]bool{}, sent: map[string]int{}}
		for _, a := range addresses {
			n.start(a, addresses...)
		}
		var out strings.Builder
		wait := func(d time.Duration, label string) {
			time.Sleep(d)
			synctest.Wait()
			out.WriteString(n.state(label))
		}
		for _, a := range addresses {
			enrol(t, n.nodes[a], 1, false)
		}
		wait(time.Second, "started, no configuration")
		n.nodes["a1-x"].AddRecords(configuration(4, 10))
		wait(100*time.Millisecond, "one node has learned version 4, 100 ms later")
		n.sever("b1-x", "b1-y")
		n.nodes["a1-x"].AddRecords(configuration(7, 11))
		wait(500*time.Millisecond, "region b is cut off and version 7 comes, 500 ms later")
		n.nodes["b1-x"].AddRecords(configuration(4, 10))
		n.nodes["c1-x"].AddRecords(configuration(4, 10))
		wait(200*time.Millisecond, "the store shows some an old version")
		n.sever()
		wait(2*time.Second, "the cut has healed")
		enrol(t, n.nodes["a1-y"], 2, true)
		wait(100*time.Millisecond, "the upstream of a1-y leaves, 100 ms later")
		n.kill("a2-x")
		wait(500*time.Millisecond, "a2-x is killed, 500 ms later")
		n.start("a2-x", "a1-x")
		wait(time.Second, "a2-x starts again with nothing and knows one node")
		// A region gets each record once, and each of its nodes may ask once after a cut: whether the second one of
		// region b asks too, or hears it from the first, depends on which of them is first in the same instant.
		for region, most := range map[string]int{"a": 0, "b": 3, "c": 2} {
			if got := n.sent[region]; got > most {
				t.Errorf("%d records came to region %s from others, want at most %d", got, region, most)
			}
		}
		goldie.New(t).Assert(t, "spread", []byte(out.String()))
		for a := range n.nodes {
			n.kill(a)
		}
	})
}

// TestRecords guards against records that take the place of newer ones.
func TestRecords(t *testing.T) {
	a := newArchive()
	for i, c := range []struct {
		revision uint64
		want     bool
	}{{5, true}, {5, false}, {4, false}, {6, true}} {
		if got := a.take(record.Record{Kind: record.Orders, Name: "s", Revision: c.revision}); got != c.want {
			t.Errorf("step %d: take = %v, want %v", i, got, c.want)
		}
	}
	if rs := a.after(record.Orders, 5); len(rs) != 1 || rs[0].Revision != 6 {
		t.Errorf("after 5 = %v", rs)
	}
}

// TestHeartbeats guards against endpoints of other regions that are taken for gone between two whole pulses, against dead
// ones that stay in use, and against traffic between regions that grows with the square of the fleet.
func TestHeartbeats(t *testing.T) {
	var out strings.Builder
	for _, size := range []int{3, 6, 12} {
		synctest.Test(t, func(t *testing.T) {
			n := &network{nodes: map[string]*node{}, cut: map[string]bool{}, sent: map[string]int{}}
			var addresses []string
			for i := range size {
				addresses = append(addresses, fmt.Sprintf("a1-%02d", i), fmt.Sprintf("b1-%02d", i))
			}
			for _, a := range addresses {
				n.start(a, addresses...)
			}
			n.nodes["a1-00"].AddRecords(configuration(4, 10))
			for _, a := range addresses {
				enrol(t, n.nodes[a], 1, false)
			}
			known := func(a string) int { return len(n.nodes[a].View().Pool("s").Stable) }
			wait := func(d time.Duration, label string) {
				time.Sleep(d)
				synctest.Wait()
				fmt.Fprintf(&out, "%2d nodes, %-34s b1-01 calls %d endpoints\n", 2*size, label+":", known("b1-01"))
			}
			wait(2*time.Second, "started")
			crossed := func() int {
				n.mutex.Lock()
				defer n.mutex.Unlock()
				return n.cross
			}
			before := crossed()
			for range 30 {
				time.Sleep(time.Second)
				synctest.Wait()
				if got := known("b1-01"); got != 2*size {
					t.Fatalf("b1-01 calls %d of %d endpoints", got, 2*size)
				}
			}
			fmt.Fprintf(&out, "%2d nodes, messages between regions in 30 s: %d\n", 2*size, crossed()-before)
			n.mutex.Lock()
			n.cut["a1-02"] = true
			n.mutex.Unlock()
			wait(11*time.Second, "a1-02 silent for 11 s")
			n.kill("a1-00")
			wait(12*time.Second, "the delegate a1-00 killed, 12 s later")
			n.sever()
			wait(12*time.Second, "a1-02 is back, 12 s later")
			for a := range n.nodes {
				n.kill(a)
			}
		})
	}
	goldie.New(t).Assert(t, "heartbeats", []byte(out.String()))
}
