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

	"wisteriaspoke.example/mesh/call"
	"wisteriaspoke.example/mesh/composer"
	"wisteriaspoke.example/mesh/encoder"
	"wisteriaspoke.example/mesh/enroller"
	"wisteriaspoke.example/mesh/event"
	"wisteriaspoke.example/mesh/machine"
	"wisteriaspoke.example/mesh/message"
	"wisteriaspoke.example/mesh/order"
	"wisteriaspoke.example/mesh/plan"
	"wisteriaspoke.example/mesh/quarantiner"
	"wisteriaspoke.example/mesh/record"
	"wisteriaspoke.example/mesh/view"
)

// network is a fake that delivers messages between nodes in virtual time, encoded as on a real link.
type network struct {
	mutex          sync.Mutex // guards the fields below and the nodes' linked
	nodes          map[string]*node
	isolated       map[string]bool            // nodes whose messages are dropped in both directions
	severed        func(from, to string) bool // pairs of nodes whose messages are dropped, or nil
	remoteRecords  map[string]int             // number of records received from other regions, by the receiver's region
	remoteMessages int                        // number of messages between regions
	nodeLists      int                        // number of lists of nodes that were sent
}

// node is a gossiper that is also the fake of the other parts it uses.
type node struct {
	*Gossiper
	network *network
	address string
	region  string
	linked  map[string]bool
	own     *enroller.Enroller // of the node's upstream
	crashes *quarantiner.Quarantiner
	handles func(peer string, m message.Message) bool // messages of another part, or nil
	cancel  context.CancelFunc
	end     chan error
}

func newNetwork() *network {
	return &network{nodes: map[string]*node{}, isolated: map[string]bool{}, remoteRecords: map[string]int{}}
}

func (n *network) connected(from, to string) bool {
	return !n.isolated[from] && !n.isolated[to] && n.nodes[to] != nil
}

// Send links the nodes if needed, as the real linker does, and delivers the message.
func (n *node) Send(peer string, m message.Message) {
	n.network.mutex.Lock()
	defer n.network.mutex.Unlock()
	if !n.network.connected(n.address, peer) {
		return
	}
	other := n.network.nodes[peer]
	if n.network.severed != nil && n.network.severed(n.address, peer) {
		return
	}
	if !n.linked[peer] {
		n.linked[peer], other.linked[n.address] = true, true
		n.Inject(event.NewLinked(peer))
		other.Inject(event.NewLinked(n.address))
	}
	data, err := encoder.Encode(m)
	if err != nil {
		panic(err)
	}
	decoded, err := encoder.Decode(data)
	if err != nil {
		panic(err)
	}
	if n.region != other.region {
		n.network.remoteMessages++
	}
	if _, ok := decoded.Body().(*nodes); ok {
		n.network.nodeLists++
	}
	if rs, ok := decoded.Body().(*records); ok {
		if n.region != other.region {
			n.network.remoteRecords[other.region] += len(rs.Records)
		}
	}
	if other.handles != nil && other.handles(n.address, decoded) {
		return
	}
	other.Inject(event.NewReceived(n.address, decoded))
}

// Plan decodes a specification that holds only the version number.
func (n *node) Plan(spec []byte) (*plan.Plan, error) {
	v, err := strconv.ParseUint(string(spec), 10, 64)
	return plan.New(v, plan.Limits{}, nil, nil), err
}

func (n *node) Order(r record.Record) (order.Order, error) {
	return order.New(order.Fields{Service: r.Name, Revision: r.Revision}), nil
}

func (n *node) Split(string) composer.Split { return composer.Split{} }
func (n *node) Load() (int, int64)          { return 3, 1500 }

func (n *node) Withdraw(instance string, startMillis int64) { n.own.Withdraw(instance, startMillis) }
func (n *node) Vouch(instance string, startMillis int64)    { n.own.Vouch(instance, startMillis) }

// start adds a node that has the seeds; the first letter of its address names its region.
func (n *network) start(address string, seeds ...string) *node {
	return n.startWith(address, func(*node) {}, seeds...)
}

// startWith is start with a function that is called before the node runs.
func (n *network) startWith(address string, prepare func(x *node), seeds ...string) *node {
	x := &node{network: n, address: address, region: address[:1], linked: map[string]bool{}, end: make(chan error, 1)}
	x.crashes = quarantiner.New(slog.New(slog.DiscardHandler))
	x.Gossiper = &Gossiper{
		now: time.Now, log: slog.New(slog.DiscardHandler), inputs: make(chan any, inputQueueSize), peers: map[string]*peer{},
		records: newRecordSet(), orders: map[string]order.Order{}, deliveries: map[string]*delivery{}, planKnown: make(chan struct{}), sender: x, decoder: x, splitProvider: x, loadProvider: x, registry: x,
		crashHistory: x.crashes,
		config: machine.Config{
			Node: address, DataCentre: address[:2], Region: address[:1], Incarnation: uint64(time.Now().UnixMilli()),
		},
		own: peer{address: address, linked: true}, startedAt: time.Now(),
	}
	x.own = enroller.New(slog.New(slog.DiscardHandler), x)
	x.view.Store(view.New(nil, time.Time{}, nil))
	x.publishNodes()
	prepare(x)
	n.mutex.Lock()
	n.nodes[address] = x
	n.mutex.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	x.cancel = cancel
	go func() { x.end <- x.run(ctx) }()
	x.AddAddresses(seeds)
	return x
}

// kill stops a node and breaks its links.
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

// isolate breaks the links of the nodes and drops their messages; nodes that were isolated before can link again.
func (n *network) isolate(addresses ...string) {
	n.silence(addresses...)
	for _, a := range addresses {
		n.unlink(a)
	}
}

// silence drops the messages of the given nodes from now on and no others, and keeps their links open, as a host that loses
// power ends no connection.
func (n *network) silence(addresses ...string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.isolated = map[string]bool{}
	for _, a := range addresses {
		n.isolated[a] = true
	}
}

// describe returns each node's configuration version and the endpoints that it would call, as text.
func (n *network) describe(label string) string {
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
	return []record.Record{{
		Kind: record.Configuration, Name: "main", Revision: revision, Spec: []byte(strconv.FormatUint(version, 10)),
	}}
}

// enrol announces an upstream at the node.
func enrol(t *testing.T, n *node, sequence int64, leaving bool) {
	t.Helper()
	if !n.own.Announce(enroller.Announcement{
		Instance: "i-" + n.address, Service: "s", Version: "v1", Slots: 4,
		StartMillis: 1, Sequence: sequence, Leaving: leaving,
	}) {
		t.Fatal("the announcement was not accepted")
	}
}

// TestRecordsReachAllNodes guards against nodes that miss a configuration or the leaving of an endpoint, for example
// after a partition or a restart, or that return to an older version when the store serves one, and against records
// that every node fetches from another region.
func TestRecordsReachAllNodes(t *testing.T) {
	addresses := []string{"a1-x", "a1-y", "a2-x", "b1-x", "b1-y", "c1-x"}
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		for _, a := range addresses {
			n.start(a, addresses...)
		}
		var out strings.Builder
		wait := func(d time.Duration, label string) {
			time.Sleep(d)
			synctest.Wait()
			out.WriteString(n.describe(label))
		}
		for _, a := range addresses {
			enrol(t, n.nodes[a], 1, false)
		}
		wait(time.Second, "started, no configuration")
		n.nodes["a1-x"].AddRecords(configuration(4, 10))
		wait(100*time.Millisecond, "one node reads version 4 from the store, 100 ms later")
		n.isolate("b1-x", "b1-y")
		n.nodes["a1-x"].AddRecords(configuration(7, 11))
		wait(500*time.Millisecond, "region b is partitioned and version 7 is published, 500 ms later")
		n.nodes["b1-x"].AddRecords(configuration(4, 10))
		n.nodes["c1-x"].AddRecords(configuration(4, 10))
		wait(200*time.Millisecond, "the store returns an old version to two nodes, 200 ms later")
		n.isolate()
		wait(2*time.Second, "the partition has ended, 2 s later")
		enrol(t, n.nodes["a1-y"], 2, true)
		wait(100*time.Millisecond, "the upstream of a1-y leaves, 100 ms later")
		n.kill("a2-x")
		wait(500*time.Millisecond, "a2-x is killed, 500 ms later")
		n.start("a2-x", "a1-x")
		wait(time.Second, "a2-x restarts without state and with one seed, 1 s later")
		// A region receives each record once, and each of its nodes may pull once after a partition: whether the second
		// node of region b pulls too, or receives the record from the first, depends on the order within one instant.
		for region, limit := range map[string]int{"a": 0, "b": 3, "c": 2} {
			if got := n.remoteRecords[region]; got > limit {
				t.Errorf("region %s received %d records from other regions, want at most %d", region, got, limit)
			}
		}
		goldie.New(t).Assert(t, "spread", []byte(out.String()))
		for a := range n.nodes {
			n.kill(a)
		}
	})
}

// TestOlderRecordIsIgnored guards against records that replace newer ones.
func TestOlderRecordIsIgnored(t *testing.T) {
	a := newRecordSet()
	for i, c := range []struct {
		revision uint64
		want     bool
	}{{5, true}, {5, false}, {4, false}, {6, true}} {
		if got := a.put(record.Record{Kind: record.Orders, Name: "s", Revision: c.revision}); got != c.want {
			t.Errorf("step %d: put = %v, want %v", i, got, c.want)
		}
	}
	if rs := a.newerThan(record.Orders, 5); len(rs) != 1 || rs[0].Revision != 6 {
		t.Errorf("records newer than 5 = %v, want one with revision 6", rs)
	}
}

// TestHeartbeatsBetweenRegions guards against endpoints of other regions that count as unreachable between two status
// messages, against stopped ones that stay in use, and against additional messages between regions, whose number grows
// with the square of the number of nodes if every node sends to every other.
func TestHeartbeatsBetweenRegions(t *testing.T) {
	var out strings.Builder
	for _, size := range []int{3, 6, 12} {
		synctest.Test(t, func(t *testing.T) {
			n := newNetwork()
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
			endpointCount := func(a string) int { return len(n.nodes[a].View().Pool("s").Stable) }
			wait := func(d time.Duration, label string) {
				time.Sleep(d)
				synctest.Wait()
				fmt.Fprintf(&out, "%2d nodes, %-34s b1-01 calls %d endpoints\n", 2*size, label+":", endpointCount("b1-01"))
			}
			wait(2*time.Second, "started")
			remoteMessages := func() int {
				n.mutex.Lock()
				defer n.mutex.Unlock()
				return n.remoteMessages
			}
			before := remoteMessages()
			for range 30 {
				time.Sleep(time.Second)
				synctest.Wait()
				if got := endpointCount("b1-01"); got != 2*size {
					t.Fatalf("b1-01 calls %d of %d endpoints", got, 2*size)
				}
			}
			fmt.Fprintf(&out, "%2d nodes, messages between regions in 30 s: %d\n", 2*size, remoteMessages()-before)
			n.mutex.Lock()
			n.isolated["a1-02"] = true
			n.mutex.Unlock()
			wait(11*time.Second, "a1-02 silent for 11 s")
			n.kill("a1-00")
			wait(12*time.Second, "the delegate a1-00 killed, 12 s later")
			n.isolate()
			wait(12*time.Second, "a1-02 is back, 12 s later")
			for a := range n.nodes {
				n.kill(a)
			}
		})
	}
	goldie.New(t).Assert(t, "heartbeats", []byte(out.String()))
}

// TestRecordsPassSilentNodes guards against CONFIG: nodes that are frozen, cut off, slow or killed while a configuration
// is passed on, and that keep it from their region. Any two nodes may be silent, those that pass records on among them.
func TestRecordsPassSilentNodes(t *testing.T) {
	// bound is two fifths of the shortest time in which a configuration has to be in force.
	const bound = time.Second
	var addresses []string
	for i := range 6 {
		addresses = append(addresses, fmt.Sprintf("a1-%02d", i), fmt.Sprintf("b1-%02d", i), fmt.Sprintf("c1-%02d", i))
	}
	watchers := []string{"a1-00", "a1-01", "a1-02"}
	late := map[string]bool{}
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		for _, a := range addresses {
			n.start(a, addresses...)
		}
		time.Sleep(2 * time.Second)
		version := uint64(1)
		for i, first := range addresses {
			for _, second := range addresses[i+1:] {
				version++
				n.mutex.Lock()
				n.isolated = map[string]bool{first: true, second: true}
				n.mutex.Unlock()
				for _, a := range watchers {
					n.nodes[a].AddRecords(configuration(version, version))
					// The watch of each node ends a little after that of the one before.
					time.Sleep(3 * time.Millisecond)
				}
				time.Sleep(bound)
				synctest.Wait()
				for _, a := range addresses {
					if p := n.nodes[a].View().Plan(); !n.isolated[a] && (p == nil || p.Version() != version) {
						late[first+" and "+second] = true
					}
				}
				n.mutex.Lock()
				n.isolated = map[string]bool{}
				n.mutex.Unlock()
				time.Sleep(3 * time.Second)
			}
		}
		for a := range n.nodes {
			n.kill(a)
		}
	})
	for pair := range late {
		t.Errorf("while %s are silent, a configuration is not in force after %v", pair, bound)
	}
}

// TestStartCost guards against a start that costs each node a list of all others from each other one: with 300 nodes these
// were some hundred megabytes between regions. All nodes start at once, as after a loss of power, and know the others
// from the store.
func TestStartCost(t *testing.T) {
	// maxLists is the number of lists that a node may get on average, whatever the number of nodes.
	const maxLists = 12
	for _, size := range []int{24, 48, 96} {
		synctest.Test(t, func(t *testing.T) {
			n := newNetwork()
			var addresses []string
			for i := range size / 3 {
				addresses = append(addresses, fmt.Sprintf("a1-%02d", i), fmt.Sprintf("b1-%02d", i), fmt.Sprintf("c1-%02d", i))
			}
			for _, a := range addresses {
				n.start(a, addresses...)
			}
			time.Sleep(2 * time.Second)
			// One that starts later with a single seed must learn of all others.
			n.start("a1-new", "b1-00")
			time.Sleep(3 * time.Second)
			synctest.Wait()
			if got := len(n.nodes["a1-new"].Nodes()); got != size {
				t.Errorf("%d nodes: a node that starts with one seed knows %d", size, got)
			}
			n.mutex.Lock()
			lists := float64(n.nodeLists) / float64(size)
			n.mutex.Unlock()
			if lists > maxLists {
				t.Errorf("%d nodes: each gets %.0f lists of the others, want at most %d", size, lists, maxLists)
			}
			for a := range n.nodes {
				n.kill(a)
			}
		})
	}
}

// TestCrashCountsReachAllNodes guards against BUDGET: nodes that were restarted or cut off and retry a request that has
// crashed upstreams elsewhere.
func TestCrashCountsReachAllNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		addresses := []string{"a1-x", "a1-y", "b1-x", "b1-y"}
		for _, a := range addresses {
			n.start(a, addresses...)
		}
		time.Sleep(time.Second)
		crashing := call.New(call.Fields{Method: "GET", Host: "h", Path: "/crash"})
		crash := func(address string) {
			count, _ := n.nodes[address].crashes.Assess(crashing)
			n.nodes[address].crashes.RecordCrash(crashing, count)
		}
		expect := func(when string, want int) {
			t.Helper()
			time.Sleep(tickInterval + 50*time.Millisecond)
			synctest.Wait()
			for _, a := range addresses {
				if count, _ := n.nodes[a].crashes.Assess(crashing); count.Crashes() != want {
					t.Errorf("%s: %s knows of %d crashes, want %d", when, a, count.Crashes(), want)
				}
			}
		}
		crash("a1-x")
		expect("after a crash", 1)
		n.isolate("b1-x")
		crash("a1-y")
		time.Sleep(time.Second)
		n.isolate()
		time.Sleep(time.Second)
		expect("after a crash while a node was cut off", 2)
		n.restart("a1-x", "b1-y")
		expect("after a restart", 2)
		count, _ := n.nodes["b1-y"].crashes.Assess(crashing)
		n.nodes["b1-y"].crashes.RecordCompletion(crashing, count)
		expect("after a completed run", 0)
		for a := range n.nodes {
			n.kill(a)
		}
	})
}

// startEnrolled starts three nodes with a configuration, each with an upstream.
func startEnrolled(t *testing.T) (n *network, addresses []string) {
	n, addresses = newNetwork(), []string{"a1-x", "a1-y", "b1-x"}
	for _, a := range addresses {
		n.start(a, addresses...)
	}
	n.nodes["a1-x"].AddRecords(configuration(4, 10))
	for _, a := range addresses {
		enrol(t, n.nodes[a], 1, false)
	}
	time.Sleep(time.Second)
	return n, addresses
}

// restart kills the node, starts it again and waits until it is linked.
func (n *network) restart(address string, seeds ...string) *node {
	n.kill(address)
	time.Sleep(500 * time.Millisecond)
	x := n.start(address, seeds...)
	time.Sleep(500 * time.Millisecond)
	return x
}

// callersOf returns the nodes that call the upstream beside the node at the address, once messages have arrived.
func (n *network) callersOf(address string) (callers []string) {
	time.Sleep(100 * time.Millisecond)
	synctest.Wait()
	for a, x := range n.nodes {
		for _, target := range x.View().Pool("s").Stable {
			if target.Endpoint().Address() == address {
				callers = append(callers, a)
			}
		}
	}
	return callers
}

// TestWithdrawalAfterRestart guards against DRAIN: an upstream that a node withdraws right after its restart, when it does
// not know its start yet, and that a delayed announcement brings back, at once or after a further restart.
func TestWithdrawalAfterRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, addresses := startEnrolled(t)
		upstream := enroller.Announcement{Instance: "i-a1-y", Service: "s", Version: "v1", Slots: 4, StartMillis: 1, Sequence: 4}
		n.restart("a1-y", addresses...)
		n.nodes["a1-y"].own.Withdraw(upstream.Instance, 0)
		time.Sleep(3 * time.Second)
		n.nodes["a1-y"].own.Announce(upstream)
		if got := n.callersOf("a1-y"); len(got) > 0 {
			t.Errorf("after a delayed announcement %v call an upstream that has left", got)
		}
		n.restart("a1-y", addresses...)
		n.nodes["a1-y"].own.Announce(upstream)
		if got := n.callersOf("a1-y"); len(got) > 0 {
			t.Errorf("after a further restart %v call an upstream that has left", got)
		}
		upstream.StartMillis, upstream.Sequence = time.Now().UnixMilli(), 1
		n.nodes["a1-y"].own.Announce(upstream)
		if got := n.callersOf("a1-y"); len(got) != len(addresses) {
			t.Errorf("only %v call the next process of the upstream", got)
		}
		for a := range n.nodes {
			n.kill(a)
		}
	})
}

// TestWithdrawalOutlivesRestart guards against DRAIN and ROUTE: an upstream that has left, or said so, and is in use again
// after a restart of its node, when an announcement arrives that was delayed. The node itself has lost what it knew.
func TestWithdrawalOutlivesRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, addresses := startEnrolled(t)
		enrol(t, n.nodes["a1-y"], 5, true)
		time.Sleep(100 * time.Millisecond)
		restarted := n.restart("a1-y", addresses...)
		// The delayed announcement may come before or after the others have told the node.
		restarted.own.Announce(enroller.Announcement{Instance: "i-a1-y", Service: "s", Version: "v1", Slots: 4, StartMillis: 1, Sequence: 4})
		if got := n.callersOf("a1-y"); len(got) > 0 {
			t.Errorf("%v call an upstream that has left", got)
		}
		// A new start under the same identifier is another matter.
		restarted.own.Announce(enroller.Announcement{Instance: "i-a1-y", Service: "s", Version: "v1", Slots: 4, StartMillis: 2, Sequence: 1})
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		if got := len(n.nodes["b1-x"].View().Pool("s").Stable); got != len(addresses) {
			t.Errorf("after a new start of the upstream b1-x calls %d, want %d", got, len(addresses))
		}
		for a := range n.nodes {
			n.kill(a)
		}
	})
}

// TestRestartedNodeConfirmsUpstream guards against a restarted node that holds its upstream back although other nodes know it, and
// against UNASKED and DRAIN: one that takes another upstream, or one that has left, without a further announcement.
func TestRestartedNodeConfirmsUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, addresses := startEnrolled(t)
		x := n.restart("a1-y", addresses...)
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		for _, c := range []struct {
			instance    string
			startMillis int64
			want        bool
		}{{"i-a1-y", 1, true}, {"i-a1-y", 0, false}, {"i-other", 1, false}} {
			a := enroller.Announcement{Instance: c.instance, Service: "s", Version: "v1", Slots: 4, StartMillis: c.startMillis, Sequence: 7}
			if got := x.own.Confirm(a); got != c.want {
				t.Errorf("the first announcement of %s of %d is confirmed: %t", c.instance, c.startMillis, got)
			}
		}
		enrol(t, n.nodes["a1-x"], 5, true)
		time.Sleep(100 * time.Millisecond)
		x = n.restart("a1-x", addresses...)
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		a := enroller.Announcement{Instance: "i-a1-x", Service: "s", Version: "v1", Slots: 4, StartMillis: 1, Sequence: 4}
		if x.own.Announce(a) {
			t.Error("the late announcement of an upstream that has left is applied")
		}
		for a := range n.nodes {
			n.kill(a)
		}
	})
}
