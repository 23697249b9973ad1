package admitter

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"wisteriaspoke.example/mesh/answer"
	"wisteriaspoke.example/mesh/call"
	"wisteriaspoke.example/mesh/config"
	"wisteriaspoke.example/mesh/dispatcher"
	"wisteriaspoke.example/mesh/endpoint"
	"wisteriaspoke.example/mesh/event"
	"wisteriaspoke.example/mesh/fault"
	"wisteriaspoke.example/mesh/group"
	"wisteriaspoke.example/mesh/identity"
	"wisteriaspoke.example/mesh/kernel"
	"wisteriaspoke.example/mesh/outcome"
	"wisteriaspoke.example/mesh/publisher"
	"wisteriaspoke.example/mesh/service"
	"wisteriaspoke.example/mesh/share"
	"wisteriaspoke.example/mesh/verdict"
)

func init() {
	kernel.Register("wire", 40, func() kernel.Part { return &wire{ready: make(chan struct{})} })
}

// wire stands for the control plane and the links between nodes.
type wire struct {
	mutex    sync.Mutex
	outcomes []outcome.Outcome
	demands  []string
	states   []endpoint.State
	ready    chan struct{} // closed when the upstream is ready
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
		w.demands = append(w.demands, v)
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

// node is one running node.
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

// addresses is a log handler that passes on the address of "taking calls".
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

// run starts a node with the address beside the upstream.
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

// upstream counts its runs and answers with the method, path and body.
func upstream(t testing.TB) (string, *atomic.Int64) {
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

// TestPath guards against a break anywhere between a caller and the local upstream.
func TestPath(t *testing.T) {
	url, runs := upstream(t)
	n := run(t, "127.0.0.1:7001", url)
	if got := send(t, n, "GET", "/a", ""); got.status != 503 || got.ran != "no" || got.reason != reasonStarting {
		t.Errorf("before a configuration: %+v", got)
	}
	n.publisher.Publish(configuration(t, 1, share.Share{}))
	if got := send(t, n, "GET", "/a", ""); got.status != 503 || got.ran != "no" || got.reason != reasonNone {
		t.Errorf("without endpoints: %+v", got)
	}
	n.publisher.Publish(endpoints(1, "127.0.0.1:7001"))
	if got := send(t, n, "GET", "/a", "", "Host", "other.example"); got.status != 404 || got.ran != "no" || got.reason != reasonUnrouted {
		t.Errorf("without a route: %+v", got)
	}
	if runs.Load() != 0 {
		t.Error("a refused call has run")
	}
	got := send(t, n, "POST", "/confirm?x=1", "entry", "Wisteriaspoke-Secret", "leak")
	if got.status != 200 || got.ran != "yes" || got.body != "POST /confirm?x=1 entry " || got.reason != "" {
		t.Errorf("call: %+v", got)
	}
	r, err := http.NewRequest("HEAD", n.url+"/a", nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "swim.example"
	p, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	p.Body.Close()
	if p.StatusCode != 200 || p.ContentLength != int64(len("HEAD /a  ")) || p.Header.Get("Date") == "" {
		t.Errorf("HEAD: %d, length %d, %v", p.StatusCode, p.ContentLength, p.Header)
	}
	n.halt(t)
	w := n.wire
	if len(w.demands) != 1 || w.demands[0] != "other.example" {
		t.Errorf("demands are %v", w.demands)
	}
	confirm := outcome.Key{Service: "meldung", Version: "v1", Route: "confirm", Region: "obb"}
	var confirmed, calls uint64
	for _, o := range w.outcomes {
		calls += o.Calls()
		if o.Key() == confirm {
			confirmed += o.Calls()
		}
	}
	if confirmed != 1 || calls != 2 {
		t.Errorf("outcomes are %v", w.outcomes)
	}
	if s := w.states[len(w.states)-1]; s != endpoint.Leaving {
		t.Errorf("last state is %s", s)
	}
	h, ok := metrics.Get("calls.club.high").(metrics.Histogram)
	if !ok || h.Count() == 0 || h.Max() <= 0 {
		t.Errorf("the histogram of the call is %v", h)
	}
	if c, ok := metrics.Get("refusals.unrouted").(metrics.Counter); !ok || c.Count() == 0 {
		t.Errorf("the counter of the refusal is %v", c)
	}
}

// TestBounds guards against a bound that is not kept, or whose refusal does not say that nothing has run.
func TestBounds(t *testing.T) {
	url, runs := upstream(t)
	n := run(t, "127.0.0.1:7001", url)
	n.publisher.Publish(configuration(t, 1, share.Share{}))
	n.publisher.Publish(endpoints(1, "127.0.0.1:7001"))
	cases := []struct {
		name    string
		body    string
		headers []string
		status  int
		reason  string
	}{
		{"body", strings.Repeat("x", maxBody+1), nil, 413, reasonLarge},
		{"headers", "", []string{"X-Large", strings.Repeat("x", maxHeaders)}, 431, reasonHeaders},
		{"depth", "", []string{headerDepth, "33"}, 508, reasonDepth},
		{"deadline", "", []string{headerDeadline, "soon"}, 400, reasonBad},
	}
	for _, c := range cases {
		if got := send(t, n, "POST", "/", c.body, c.headers...); got.status != c.status || got.ran != "no" || got.reason != c.reason {
			t.Errorf("%s: %+v", c.name, got)
		}
	}
	for _, path := range []string{"/public/../confirm", "/public/%2E./confirm", "/./confirm", "/public/.."} {
		if got := send(t, n, "POST", path, ""); got.status != 400 || got.ran != "no" || got.reason != reasonBad {
			t.Errorf("path %s: %+v", path, got)
		}
	}
	n.admitter.bounds.calls.Store(maxCalls)
	if got := send(t, n, "GET", "/", ""); got.status != 503 || got.ran != "no" || got.reason != reasonWaiting {
		t.Errorf("waiting: %+v", got)
	}
	n.admitter.bounds.calls.Store(0)
	n.admitter.bounds.bytes.Store(maxBytes)
	if got := send(t, n, "POST", "/", "x"); got.status != 503 || got.ran != "no" || got.reason != reasonMemory {
		t.Errorf("memory: %+v", got)
	}
	n.admitter.bounds.bytes.Store(0)
	if runs.Load() != 0 {
		t.Error("a refused call has run")
	}
}

// TestConnections guards against a connection over the limit that hangs or closes without a reason.
func TestConnections(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: http.NotFoundHandler()}
	served := make(chan error, 1)
	go func() { served <- s.Serve(&listener{Listener: inner, limit: 1}) }()
	first, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer first.Close()
	fmt.Fprint(first, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	if _, err := first.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	p, err := (&http.Transport{}).RoundTrip(httptest.NewRequest("GET", "http://"+inner.Addr().String(), nil))
	if err != nil {
		t.Fatal(err)
	}
	p.Body.Close()
	if p.StatusCode != 503 || p.Header.Get(headerRan) != "no" || p.Header.Get(headerReason) != "connections" {
		t.Errorf("refusal is %d %v", p.StatusCode, p.Header)
	}
	s.Close()
	<-served
}

// TestLostAnswer guards against a non-idempotent call that runs twice after its answer was lost, and against a final
// "not run" for a call of which an attempt has run.
func TestLostAnswer(t *testing.T) {
	url, _ := upstream(t)
	n := run(t, "127.0.0.1:7001", url)
	n.publisher.Publish(configuration(t, 1, share.Share{}))
	n.publisher.Publish(endpoints(1, "127.0.0.1:7002", "127.0.0.1:7003", "127.0.0.1:7004"))
	lost := fault.New(fault.MayHaveRun, "link lost", "")
	var runs, refusals atomic.Int64
	n.wire.peer = func(context.Context, string, call.Call) (answer.Answer, error) {
		runs.Add(1)
		return answer.Answer{}, lost
	}
	if got := send(t, n, "POST", "/confirm", "entry"); got.status != 502 || got.ran != "maybe" || runs.Load() != 1 {
		t.Errorf("lost: %+v after %d runs", got, runs.Load())
	}
	if got := send(t, n, "POST", "/confirm", "entry", "Idempotency-Key", "k"); got.ran != "maybe" || runs.Load() != 2 {
		t.Errorf("lost with a key: %+v after %d runs", got, runs.Load())
	}
	n.publisher.Publish(endpoints(2, "127.0.0.1:7102", "127.0.0.1:7103", "127.0.0.1:7104"))
	runs.Store(0)
	n.wire.peer = func(context.Context, string, call.Call) (answer.Answer, error) {
		if runs.Add(1) == 1 {
			return answer.Answer{}, lost
		}
		refusals.Add(1)
		return answer.Answer{}, fault.New(fault.NotRun, "not reached", "")
	}
	if got := send(t, n, "GET", "/a", ""); got.ran != "maybe" || got.retried != "1" || refusals.Load() == 0 {
		t.Errorf("lost, then refused: %+v after %d refusals", got, refusals.Load())
	}
}

// TestNotRun guards against a refused call that is not attempted elsewhere, whatever its method.
func TestNotRun(t *testing.T) {
	url, runs := upstream(t)
	n := run(t, "127.0.0.1:7001", url)
	<-n.wire.ready
	n.publisher.Publish(configuration(t, 1, share.Share{}))
	n.publisher.Publish(endpoints(1, "127.0.0.1:7001", "127.0.0.1:7002"))
	var refusals atomic.Int64
	n.wire.peer = func(context.Context, string, call.Call) (answer.Answer, error) {
		refusals.Add(1)
		return answer.New(answer.Fields{Status: 503, Ran: answer.No, Reason: "leaving"}), nil
	}
	const calls = 100
	for range calls {
		if got := send(t, n, "POST", "/confirm", "entry"); got.ran != "yes" || got.status != 200 {
			t.Fatalf("call: %+v", got)
		}
	}
	// Each call ran exactly once, and the leaving endpoint was left alone after its first refusal.
	if runs.Load() != calls || refusals.Load() > 1 {
		t.Errorf("%d runs and %d refusals of %d calls", runs.Load(), refusals.Load(), calls)
	}
}

// TestVerdict guards against a call to a version that was found bad on this node.
func TestVerdict(t *testing.T) {
	url, _ := upstream(t)
	n := run(t, "127.0.0.1:7001", url)
	n.publisher.Publish(configuration(t, 1, share.New("v1", "v2", 1000, "r1", 1)))
	n.publisher.Publish(endpoints(1, "127.0.0.1:7002", "127.0.0.1:7003/v2"))
	n.wire.peer = func(_ context.Context, peer string, c call.Call) (answer.Answer, error) {
		return answer.New(answer.Fields{Status: 200, Ran: answer.Yes, Body: []byte(c.Version())}), nil
	}
	if got := send(t, n, "GET", "/", ""); got.body != "v2" {
		t.Errorf("before the verdict: %+v", got)
	}
	n.publisher.Publish(verdict.New("meldung", "v2", "r1", "fails"))
	for range 50 {
		if got := send(t, n, "GET", "/", ""); got.body != "v1" {
			t.Fatalf("after the verdict: %+v", got)
		}
	}
	x := n.admitter.Explain("GET", "swim.example", "/", func(string) string { return "" })
	if len(x.Shares) != 2 || x.Shares[1].Permille != 0 || x.Shares[1].Why != "taken out: fails" || x.Candidates[0].Address != "127.0.0.1:7002" {
		t.Errorf("explanation is %+v", x)
	}
}

// TestDrain guards against a call lost when its endpoint is stopped under load.
func TestDrain(t *testing.T) {
	slow := func() string {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(time.Duration(rand.IntN(3)) * time.Millisecond)
			io.WriteString(w, "ok")
		}))
		t.Cleanup(s.Close)
		return s.URL
	}
	entry := run(t, "127.0.0.1:7001", slow())
	leaving := run(t, "127.0.0.1:7002", slow())
	<-leaving.wire.ready
	entry.publisher.Publish(configuration(t, 1, share.Share{}))
	entry.publisher.Publish(endpoints(1, "127.0.0.1:7001", "127.0.0.1:7002"))
	entry.wire.peer = func(ctx context.Context, _ string, c call.Call) (answer.Answer, error) {
		return leaving.dispatcher.Serve(ctx, c), nil
	}
	var group sync.WaitGroup
	var lost atomic.Int64
	started := make(chan struct{}, 8*100)
	for range 8 {
		group.Go(func() {
			for range 100 {
				started <- struct{}{}
				if got := send(t, entry, "POST", "/confirm", "entry"); got.ran != "yes" || got.status != 200 {
					t.Errorf("call: %+v", got)
					lost.Add(1)
				}
			}
		})
	}
	for range 200 {
		<-started
	}
	leaving.halt(t)
	group.Wait()
	if lost.Load() > 0 {
		t.Errorf("%d calls are lost", lost.Load())
	}
}

// BenchmarkPath measures a call over loopback HTTP, to the upstream alone and through the node beside it.
func BenchmarkPath(b *testing.B) {
	url, _ := upstream(b)
	n := run(b, "127.0.0.1:7001", url)
	n.publisher.Publish(configuration(b, 1, share.Share{}))
	n.publisher.Publish(endpoints(1, "127.0.0.1:7001"))
	for _, c := range []struct{ name, url string }{{"direct", url}, {"node", n.url}} {
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				r, err := http.NewRequest("GET", c.url+"/a", nil)
				if err != nil {
					b.Fatal(err)
				}
				r.Host = "swim.example"
				p, err := http.DefaultClient.Do(r)
				if err != nil {
					b.Fatal(err)
				}
				io.Copy(io.Discard, p.Body)
				p.Body.Close()
				if p.StatusCode != 200 {
					b.Fatal(p.Status)
				}
			}
		})
	}
}

// BenchmarkDo measures the decisions on a call's way, without HTTP.
func BenchmarkDo(b *testing.B) {
	url, _ := upstream(b)
	n := run(b, "127.0.0.1:7001", url)
	n.publisher.Publish(configuration(b, 1, share.Share{}))
	n.publisher.Publish(endpoints(1, "127.0.0.1:7002", "127.0.0.1:7003"))
	whole := answer.New(answer.Fields{Status: 200, Ran: answer.Yes})
	n.wire.peer = func(context.Context, string, call.Call) (answer.Answer, error) { return whole, nil }
	header := func(string) string { return "" }
	f := call.Fields{Method: "GET", Host: "swim.example", Path: "/a"}
	b.ReportAllocs()
	for b.Loop() {
		if a := n.admitter.Do(context.Background(), f, header); a.Status() != 200 {
			b.Fatal(a.Reason())
		}
	}
}

// TestCutRequest guards against a call that runs although its caller broke off within the body.
func TestCutRequest(t *testing.T) {
	url, runs := upstream(t)
	n := run(t, "127.0.0.1:7001", url)
	n.publisher.Publish(configuration(t, 1, share.Share{}))
	n.publisher.Publish(endpoints(1, "127.0.0.1:7001"))
	for _, text := range []string{
		"POST /confirm HTTP/1.1\r\nHost: swim.example\r\nContent-Length: 10\r\n\r\nhello",
		"POST /confirm HTTP/1.1\r\nHost: swim.example\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
		"POST /confirm HTTP/1.1\r\nHost: swim.example\r\nContent-",
	} {
		c, err := net.Dial("tcp", strings.TrimPrefix(n.url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(c, text)
		c.(*net.TCPConn).CloseWrite()
		got, err := io.ReadAll(c)
		if err != nil || !strings.HasPrefix(string(got), "HTTP/1.1 400 ") || !strings.Contains(string(got), "Wisteriaspoke-Ran: no\r\n") {
			t.Errorf("%q: %v %q", text, err, got)
		}
		c.Close()
	}
	if runs.Load() != 0 {
		t.Errorf("%d cut calls have run", runs.Load())
	}
}

// TestSample guards against figures of values that were not added or are no longer held.
func TestSample(t *testing.T) {
	s := &sample{}
	if s.Max() != 0 || s.Size() != 0 || s.Percentile(0.5) != 0 {
		t.Error("an empty sample has values")
	}
	var adders sync.WaitGroup
	for range 4 {
		adders.Go(func() {
			for range 1000 {
				s.Update(7)
			}
		})
	}
	adders.Wait()
	if s.Count() != 4000 || s.Size() != 1024 || s.Sum() != 7*1024 || s.Snapshot().Percentile(0.99) != 7 || s.Variance() != 0 {
		t.Errorf("count %d, size %d, sum %d", s.Count(), s.Size(), s.Sum())
	}
}
