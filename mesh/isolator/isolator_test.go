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

// TestMain guards against goroutines that outlive their part. The HTTP client's cleaner goroutine ends 30 s after its
// last use.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"))
}

func init() {
	kernel.Register("wire", 40, func() kernel.Part { return &fakePart{ready: make(chan struct{}, 8)} })
}

// fakePart replaces the identity, the control plane and the links of a node.
type fakePart struct {
	name    string
	network *network
	ready   chan struct{} // receives a value each time the upstream becomes ready
}

// network delivers messages between the nodes of a test.
type network struct {
	mutex sync.Mutex
	parts map[string]*isolator.Isolator
	delay time.Duration
	sends sync.WaitGroup
}

func (p *fakePart) Start(context.Context, *kernel.Kernel) (<-chan error, error) { return nil, nil }

func (p *fakePart) Config() machine.Config {
	return machine.Config{Node: p.name, Incarnation: 1, DataCentre: "obb-a", Region: "obb", Service: "meldung", Version: "v1", Slots: 8}
}

func (p *fakePart) Inject(e event.Event) {
	if s, ok := e.Value().(endpoint.State); ok && s == endpoint.Ready {
		p.ready <- struct{}{}
	}
}

func (p *fakePart) Send(peer string, m message.Message) {
	p.network.mutex.Lock()
	to := p.network.parts[peer]
	p.network.mutex.Unlock()
	if to == nil {
		return
	}
	data, err := encoder.Encode(m)
	if err != nil {
		panic(err)
	}
	p.network.sends.Go(func() {
		time.Sleep(p.network.delay)
		m, err := encoder.Decode(data)
		if err != nil {
			panic(err)
		}
		to.Handle(p.name, m)
	})
}

// upstream is an HTTP server that closes on a request for /die; a request for /slow blocks until its client is gone.
type upstream struct {
	t       *testing.T
	address string
	mutex   sync.Mutex
	server  *http.Server
	entered chan struct{} // receives a value when a slow call starts
	crashes int
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
		u.crashes++
		u.server.Close()
		u.mutex.Unlock()
	case "/slow":
		u.entered <- struct{}{}
		<-r.Context().Done()
	default:
		io.WriteString(w, "ok")
	}
}

func (u *upstream) crashCount() int {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return u.crashes
}

// node is a running kernel with the real dispatcher and guard.
type node struct {
	upstream   *upstream
	fake       *fakePart
	dispatcher *dispatcher.Dispatcher
	isolator   *isolator.Isolator
}

// needPart returns the kernel's part of type T.
func needPart[T any](t *testing.T, k *kernel.Kernel) T {
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
	var results []chan error
	t.Cleanup(func() {
		stop()
		for _, result := range results {
			if err := <-result; err != nil {
				t.Error(err)
			}
		}
		shared.sends.Wait()
	})
	var nodes []*node
	for i := range count {
		k := kernel.New()
		k.Log = slog.New(slog.DiscardHandler)
		n := &node{
			upstream: newUpstream(t), fake: needPart[*fakePart](t, k),
			dispatcher: needPart[*dispatcher.Dispatcher](t, k), isolator: needPart[*isolator.Isolator](t, k),
		}
		n.fake.name, n.fake.network = fmt.Sprintf("n%d", i), shared
		n.dispatcher.Upstream = "http://" + n.upstream.address
		f := roster.Fields{LeaseIndex: -1, Relays: []string{"n0"}}
		if i == 0 {
			f.LeaseIndex, f.Gateway = 0, true
		}
		// The roster may arrive before the part has started.
		n.isolator.Publish(roster.New(f))
		shared.mutex.Lock()
		shared.parts[n.fake.name] = n.isolator
		shared.mutex.Unlock()
		result := make(chan error, 1)
		results = append(results, result)
		go func() { result <- k.Run(ctx) }()
		<-n.fake.ready
		nodes = append(nodes, n)
	}
	return nodes
}

func (n *node) send(path string) answer.Answer { return n.sendWithin(path, 5*time.Second) }

func (n *node) sendWithin(path string, limit time.Duration) answer.Answer {
	return n.dispatcher.Serve(context.Background(), call.New(call.Fields{
		Method: "GET", Host: "swim.example", Path: path, Service: "meldung", Version: "v1", Class: route.Normal, TimeLeft: limit.Milliseconds(),
	}))
}

// restart starts the upstream again and waits until the node reports it as ready.
func (n *node) restart() {
	n.upstream.start()
	<-n.fake.ready
}

// TestCulprit guards against a third crash by a call that is resent through other nodes, and against calls without
// marks that are refused.
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
	if d := n1.upstream.crashCount() + n2.upstream.crashCount() + nodes[0].upstream.crashCount(); d != 2 {
		t.Errorf("%d upstreams crashed", d)
	}
}

// TestInnocent guards against two suspects of the same crash that run at the same time, where a second crash would
// count against the innocent one too, and against refused calls without marks.
func TestInnocent(t *testing.T) {
	nodes := run(t, 2, time.Millisecond)
	n0, n1 := nodes[0], nodes[1]
	var group sync.WaitGroup
	group.Go(func() { n1.send("/slow") })
	<-n1.upstream.entered
	n1.send("/die")
	group.Wait()
	// The slow call is a suspect now; while it runs, the other suspect must wait or be refused.
	group.Go(func() { n0.sendWithin("/slow", 2*time.Second) })
	<-n0.upstream.entered
	if a := n0.send("/die"); a.Ran() != answer.No || a.Reason() != "suspect" || a.Status() != 503 {
		t.Errorf("beside a suspect: %d %s %s", a.Status(), a.Ran(), a.Reason())
	}
	if a := n0.send("/other"); a.Ran() != answer.Yes {
		t.Errorf("a call without marks: %d %s %s", a.Status(), a.Ran(), a.Reason())
	}
	if d := n0.upstream.crashCount(); d != 0 {
		t.Errorf("%d upstreams crashed", d)
	}
	group.Wait()
}
