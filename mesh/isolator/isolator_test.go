package isolator_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"wisteriaspoke.example/mesh/answer"
	"wisteriaspoke.example/mesh/call"
	"wisteriaspoke.example/mesh/dispatcher"
	"wisteriaspoke.example/mesh/encoder"
	"wisteriaspoke.example/mesh/endpoint"
	"wisteriaspoke.example/mesh/event"
	"wisteriaspoke.example/mesh/isolator"
	"wisteriaspoke.example/mesh/kernel"
	"wisteriaspoke.example/mesh/machine"
	"wisteriaspoke.example/mesh/message"
	"wisteriaspoke.example/mesh/roster"
	"wisteriaspoke.example/mesh/route"
)

// TestMain guards against goroutines that outlive their part. The HTTP client's own cleaner ends 30 s after its last use.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"))
}

func init() {
	kernel.Register("wire", 40, func() kernel.Part { return &wire{ready: make(chan struct{}, 8)} })
}

// wire stands for the identity, the control plane and the links of a node.
type wire struct {
	name  string
	net   *network
	ready chan struct{} // gets a value when the upstream becomes ready
}

// network connects the wires of a test.
type network struct {
	mutex sync.Mutex
	parts map[string]*isolator.Isolator
	delay time.Duration
	sends sync.WaitGroup
}

func (w *wire) Start(context.Context, *kernel.Kernel) (<-chan error, error) { return nil, nil }

func (w *wire) Config() machine.Config {
	return machine.Config{Node: w.name, Incarnation: 1, DataCentre: "obb-a", Region: "obb", Service: "meldung", Version: "v1", Slots: 8}
}

func (w *wire) Inject(e event.Event) {
	if s, ok := e.Value().(endpoint.State); ok && s == endpoint.Ready {
		w.ready <- struct{}{}
	}
}

func (w *wire) Send(peer string, m message.Message) {
	w.net.mutex.Lock()
	to := w.net.parts[peer]
	w.net.mutex.Unlock()
	if to == nil {
		return
	}
	data, err := encoder.Encode(m)
	if err != nil {
		panic(err)
	}
	w.net.sends.Go(func() {
		time.Sleep(w.net.delay)
		m, err := encoder.Decode(data)
		if err != nil {
			panic(err)
		}
		to.Handle(w.name, m)
	})
}

// upstream is an HTTP server that dies when it gets /die; /slow waits until the upstream dies.
type upstream struct {
	t       *testing.T
	address string
	mutex   sync.Mutex
	server  *http.Server
	entered chan struct{} // gets a value for each slow call
	deaths  int
}

func newUpstream(t *testing.T) *upstream {
	u := &upstream{t: t, address: "127.0.0.1:0", entered: make(chan struct{}, 8)}
	u.start()
	t.Cleanup(func() { u.server.Close() })
	return u
}

func (u *upstream) start() {
	l, err := net.Listen("tcp", u.address)
	if err != nil {
		u.t.Fatal(err)
	}
	u.address = l.Addr().String()
	s := &http.Server{Handler: http.HandlerFunc(u.handle)}
	u.mutex.Lock()
	u.server = s
	u.mutex.Unlock()
	go s.Serve(l)
}

func (u *upstream) handle(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/die":
		u.mutex.Lock()
		u.deaths++
		u.server.Close()
		u.mutex.Unlock()
	case "/slow":
		u.entered <- struct{}{}
		<-r.Context().Done()
	default:
		io.WriteString(w, "ok")
	}
}

func (u *upstream) died() int {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return u.deaths
}

// node is a running kernel with the real dispatcher and guard.
type node struct {
	upstream   *upstream
	wire       *wire
	dispatcher *dispatcher.Dispatcher
	isolator   *isolator.Isolator
}

func need[T any](t *testing.T, k *kernel.Kernel) T {
	t.Helper()
	v, err := kernel.Need[T](k)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// run starts nodes n0, n1 and so on in one data centre; n0 is its only relay.
func run(t *testing.T, count int, delay time.Duration) []*node {
	t.Helper()
	shared := &network{parts: map[string]*isolator.Isolator{}, delay: delay}
	ctx, stop := context.WithCancel(context.Background())
	var ends []chan error
	t.Cleanup(func() {
		stop()
		for _, e := range ends {
			if err := <-e; err != nil {
				t.Error(err)
			}
		}
		shared.sends.Wait()
	})
	var nodes []*node
	for i := range count {
		k := kernel.New()
		k.Log = slog.New(slog.DiscardHandler)
		n := &node{upstream: newUpstream(t), wire: need[*wire](t, k), dispatcher: need[*dispatcher.Dispatcher](t, k), isolator: need[*isolator.Isolator](t, k)}
		n.wire.name, n.wire.net = fmt.Sprintf("n%d", i), shared
		n.dispatcher.Upstream = "http://" + n.upstream.address
		f := roster.Fields{LeaseIndex: -1, Relays: []string{"n0"}}
		if i == 0 {
			f.LeaseIndex, f.Gateway = 0, true
		}
		// The roster may come before the part has started.
		n.isolator.Publish(roster.New(f))
		shared.mutex.Lock()
		shared.parts[n.wire.name] = n.isolator
		shared.mutex.Unlock()
		end := make(chan error, 1)
		ends = append(ends, end)
		go func() { end <- k.Run(ctx) }()
		<-n.wire.ready
		nodes = append(nodes, n)
	}
	return nodes
}

func (n *node) send(path string) answer.Answer { return n.sendFor(path, 5*time.Second) }

func (n *node) sendFor(path string, limit time.Duration) answer.Answer {
	return n.dispatcher.Serve(context.Background(), call.New(call.Fields{
		Method: "GET", Host: "swim.example", Path: path, Service: "meldung", Version: "v1", Class: route.Normal, TimeLeft: limit.Milliseconds(),
	}))
}

// restart starts the upstream again and waits until its node has seen it.
func (n *node) restart() {
	n.upstream.start()
	<-n.wire.ready
}

// TestCulprit guards against a third crash through other nodes, and against innocent calls of the same crash that do not
// run afterwards.
func TestCulprit(t *testing.T) {
	nodes := run(t, 3, 20*time.Millisecond)
	n1, n2 := nodes[1], nodes[2]
	var innocent answer.Answer
	var group sync.WaitGroup
	group.Go(func() { innocent = n1.send("/slow") })
	<-n1.upstream.entered
	if a := n1.send("/die"); a.Ran() != answer.Maybe || a.Reason() != "crashed" {
		t.Errorf("first: %d %s %s", a.Status(), a.Ran(), a.Reason())
	}
	group.Wait()
	if innocent.Ran() != answer.Maybe {
		t.Errorf("innocent in the crash: %d %s %s", innocent.Status(), innocent.Ran(), innocent.Reason())
	}
	if a := n2.send("/die"); a.Ran() != answer.Maybe || a.Reason() != "crashed" {
		t.Errorf("second: %d %s %s", a.Status(), a.Ran(), a.Reason())
	}
	n1.restart()
	n2.restart()
	for i := range 30 {
		if a := nodes[i%3].send("/die"); a.Ran() != answer.No || a.Reason() != "poison" || a.Status() != 503 {
			t.Errorf("resent: %d %s %s", a.Status(), a.Ran(), a.Reason())
		}
		if a := nodes[i%3].send("/other"); a.Ran() != answer.Yes {
			t.Errorf("other call: %d %s %s", a.Status(), a.Ran(), a.Reason())
		}
	}
	if d := n1.upstream.died() + n2.upstream.died() + nodes[0].upstream.died(); d != 2 {
		t.Errorf("%d upstreams died", d)
	}
}

// TestInnocent guards against an innocent call that stays marked after it has run, and against one that is named again
// although another marked call runs.
func TestInnocent(t *testing.T) {
	nodes := run(t, 2, time.Millisecond)
	n0, n1 := nodes[0], nodes[1]
	var group sync.WaitGroup
	group.Go(func() { n1.send("/slow") })
	<-n1.upstream.entered
	n1.send("/die")
	group.Wait()
	// The slow call is a suspect now, and while it runs the other one must wait or be refused.
	group.Go(func() { n0.sendFor("/slow", 2*time.Second) })
	<-n0.upstream.entered
	if a := n0.send("/die"); a.Ran() != answer.No || a.Reason() != "suspect" || a.Status() != 503 {
		t.Errorf("beside a suspect: %d %s %s", a.Status(), a.Ran(), a.Reason())
	}
	if a := n0.send("/other"); a.Ran() != answer.Yes {
		t.Errorf("a call without marks: %d %s %s", a.Status(), a.Ran(), a.Reason())
	}
	if d := n0.upstream.died(); d != 0 {
		t.Errorf("%d upstreams died", d)
	}
	group.Wait()
}
