package admitter

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"wisteriaspoke.example/mesh/answer"
	"wisteriaspoke.example/mesh/call"
	"wisteriaspoke.example/mesh/config"
	"wisteriaspoke.example/mesh/dispatcher"
	"wisteriaspoke.example/mesh/endpoint"
	"wisteriaspoke.example/mesh/event"
	"wisteriaspoke.example/mesh/group"
	"wisteriaspoke.example/mesh/identity"
	"wisteriaspoke.example/mesh/kernel"
	"wisteriaspoke.example/mesh/outcome"
	"wisteriaspoke.example/mesh/publisher"
	"wisteriaspoke.example/mesh/service"
	"wisteriaspoke.example/mesh/share"
)

func init() {
	kernel.Register("wire", 40, func() kernel.Part { return &wire{ready: make(chan struct{})} })
}

// wire is a fake of the control plane and of the links between nodes.
type wire struct {
	mutex         sync.Mutex
	outcomes      []outcome.Outcome
	subscriptions []string
	states        []endpoint.State
	ready         chan struct{} // closed when the upstream is ready
	// peer answers calls to other nodes.
	peer func(ctx context.Context, peer string, c call.Call) (answer.Answer, error)
}

func (w *wire) Start(context.Context, *kernel.Kernel) (<-chan error, error) { return nil, nil }

func (w *wire) Inject(e event.Event) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	switch v := e.Value().(type) {
	case []outcome.Outcome:
		w.outcomes = append(w.outcomes, v...)
	case string:
		w.subscriptions = append(w.subscriptions, v)
	case endpoint.State:
		w.states = append(w.states, v)
		if v == endpoint.Ready {
			close(w.ready)
		}
	}
}

func (w *wire) Call(ctx context.Context, peer string, c call.Call) (answer.Answer, error) {
	return w.peer(ctx, peer, c)
}

// node is a running node under test.
type node struct {
	kernel     *kernel.Kernel
	admitter   *Admitter
	publisher  *publisher.Publisher
	dispatcher *dispatcher.Dispatcher
	wire       *wire
	url        string
	stop       context.CancelFunc
	ended      chan error
}

// addresses is a log handler that sends the address in "taking calls" to a channel.
type addresses struct {
	slog.Handler
	found chan string
}

func (h addresses) Enabled(context.Context, slog.Level) bool { return true }
func (h addresses) Handle(_ context.Context, r slog.Record) error {
	r.Attrs(func(a slog.Attr) bool {
		if a.Key == "calls" && r.Message == "taking calls" {
			h.found <- a.Value.String()
		}
		return true
	})
	return nil
}

func need[T any](t testing.TB, k *kernel.Kernel) T {
	t.Helper()
	v, err := kernel.Need[T](k)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// run starts a node with the address and the local upstream.
func run(t testing.TB, address, upstream string) *node {
	t.Helper()
	k := kernel.New()
	found := make(chan string, 1)
	k.Log = slog.New(addresses{Handler: slog.DiscardHandler, found: found})
	i := need[*identity.Identity](t, k)
	i.Node, i.DataCentre, i.Region, i.Service, i.Release, i.Slots = address, "obb-a", "obb", "meldung", "v1", 12
	n := &node{
		kernel: k, admitter: need[*Admitter](t, k), publisher: need[*publisher.Publisher](t, k),
		dispatcher: need[*dispatcher.Dispatcher](t, k), wire: need[*wire](t, k), ended: make(chan error, 1),
	}
	n.admitter.Calls = "127.0.0.1:0"
	n.dispatcher.Upstream = upstream
	if upstream == "" {
		i.Service, i.Release = "", ""
	}
	if err := k.Check(); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	go func() { n.ended <- k.Run(ctx) }()
	select {
	case a := <-found:
		n.url = "http://" + a
	case err := <-n.ended:
		t.Fatal(err)
	}
	t.Cleanup(func() { n.halt(t) })
	return n
}

// halt stops the node once.
func (n *node) halt(t testing.TB) {
	t.Helper()
	if n.stop == nil {
		return
	}
	n.stop()
	n.stop = nil
	if err := <-n.ended; err != nil {
		t.Error(err)
	}
}

const definition = `{"name":"meldung","version":"v1","timeout":5000,"routes":[
	{"name":"all","host":"swim.example","path":"/","tenant":"club"},
	{"name":"confirm","host":"swim.example","path":"/confirm","methods":["POST"],"class":"high","tenant":"club"}]}`

func configuration(t testing.TB, version uint64, split share.Share) config.Config {
	t.Helper()
	var s service.Service
	if err := json.Unmarshal([]byte(definition), &s); err != nil {
		t.Fatal(err)
	}
	return config.New(version, "day", map[string]service.Service{"meldung": s}, map[string]share.Share{"meldung": split})
}

func endpoints(sequence uint64, addresses ...string) group.Group {
	var es []endpoint.Endpoint
	for _, a := range addresses {
		address, version, _ := strings.Cut(a, "/")
		if version == "" {
			version = "v1"
		}
		es = append(es, endpoint.New(endpoint.Fields{
			Address: address, Service: "meldung", Version: version, DataCentre: "obb-a", Region: "obb", Slots: 12,
			State: endpoint.Ready, Joined: time.Now().Add(-time.Hour),
		}))
	}
	return group.New("obb-a", "meldung", 1, sequence, es)
}

type response struct {
	status                     int
	ran, reason, retried, body string
}

func send(t *testing.T, n *node, method, path, body string, headers ...string) response {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, n.url+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "swim.example"
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	if h := r.Header.Get("Host"); h != "" {
		r.Host = h
	}
	p, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer p.Body.Close()
	b, err := io.ReadAll(p.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response{p.StatusCode, p.Header.Get(headerRan), p.Header.Get(headerReason), p.Header.Get(headerRetried), string(b)}
}

// startUpstream starts an upstream that counts its runs and answers with the method, path and body.
func startUpstream(t testing.TB) (string, *atomic.Int64) {
	t.Helper()
	runs := &atomic.Int64{}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		b, _ := io.ReadAll(r.Body)
		fmt.Fprintf(w, "%s %s %s %s", r.Method, r.URL.RequestURI(), b, r.Header.Get("Wisteriaspoke-Secret"))
	}))
	t.Cleanup(s.Close)
	return s.URL, runs
}
