package dispatcher

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"wisteriaspoke.example/mesh/answer"
	"wisteriaspoke.example/mesh/call"
	"wisteriaspoke.example/mesh/endpoint"
	"wisteriaspoke.example/mesh/event"
	"wisteriaspoke.example/mesh/machine"
	"wisteriaspoke.example/mesh/route"
)

// recorder records the injected states and sends each to signal.
type recorder struct {
	mutex  sync.Mutex
	states []endpoint.State
	signal chan endpoint.State
}

func (r *recorder) Inject(e event.Event) {
	s := e.Value().(endpoint.State)
	r.mutex.Lock()
	r.states = append(r.states, s)
	r.mutex.Unlock()
	r.signal <- s
}

func (r *recorder) recorded() []endpoint.State {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return slices.Clone(r.states)
}

// newDispatcher returns a dispatcher that does not check the upstream yet.
func newDispatcher(t *testing.T, upstream string, slots int) (*Dispatcher, *recorder) {
	t.Helper()
	r := &recorder{signal: make(chan endpoint.State, 16)}
	d := &Dispatcher{Upstream: upstream, log: slog.New(slog.DiscardHandler), injector: r}
	if err := d.prepare(machine.Config{Service: "meldung", Version: "v1", Slots: slots}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.client.close)
	return d, r
}

func request(method, path, body string) call.Call {
	return call.New(call.Fields{
		Method: method, Host: "swim.example", Path: path, Body: []byte(body), Service: "meldung", Version: "v1", Class: route.Normal,
		TimeLeft: 5000, Depth: 2, Headers: []call.Header{{Name: "Idempotency-Key", Value: "k1"}},
	})
}

// startRawUpstream starts an upstream that answers the first request of each connection with the text and closes the
// connection.
func startRawUpstream(t *testing.T, text string) (url string, requests *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	requests = &atomic.Int64{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			var b [4096]byte
			if n, _ := c.Read(b[:]); n > 0 {
				requests.Add(1)
				io.WriteString(c, text)
			}
			c.Close()
		}
	}()
	return "http://" + l.Addr().String(), requests
}

// TestServe guards against parts of a call or a response that are lost or changed.
func TestServe(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("Wisteriaspoke-Retried", "1")
		w.Header().Set("Connection", "X-Hop")
		w.Header().Set("X-Hop", "1")
		w.WriteHeader(201)
		fmt.Fprintf(w, "%s %s %s %s depth=%s", r.Method, r.Host, r.URL.RequestURI(), body, r.Header.Get("Wisteriaspoke-Depth"))
	}))
	defer s.Close()
	d, _ := newDispatcher(t, s.URL, 4)
	a := d.Serve(t.Context(), request("POST", "/a?b=1", "hello"))
	if a.Status() != 201 || a.Ran() != answer.Yes || string(a.Body()) != "POST swim.example /a?b=1 hello depth=3" {
		t.Errorf("answer is %d %s %q", a.Status(), a.Ran(), a.Body())
	}
	if !a.Retried() || a.Slots() != 4 {
		t.Errorf("retried is %v, slots are %d", a.Retried(), a.Slots())
	}
	for _, h := range a.Headers() {
		if strings.HasPrefix(h.Name, headerPrefix) || h.Name == "X-Hop" || h.Name == "Connection" {
			t.Errorf("header %s is forwarded", h.Name)
		}
	}
}

// TestFailures guards against an incomplete response that is treated as complete, and against a wrong "not run".
func TestFailures(t *testing.T) {
	cases := []struct {
		name, response string
		ran            answer.Ran
		status         int
		reason         string
	}{
		{"length not reached", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhello", answer.Maybe, 502, reasonLost},
		{"chunks without an end", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", answer.Maybe, 502, reasonLost},
		{"neither length nor chunks", "HTTP/1.1 200 OK\r\n\r\nhello", answer.Maybe, 502, reasonUnframed},
		{"headers cut", "HTTP/1.1 200 OK\r\nContent-Le", answer.Maybe, 502, reasonLost},
		{"nothing", "", answer.Maybe, 502, reasonLost},
		{"whole", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", answer.Yes, 200, ""},
		{"no body", "HTTP/1.1 204 No Content\r\n\r\n", answer.Yes, 204, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			url, requests := startRawUpstream(t, c.response)
			d, _ := newDispatcher(t, url, 4)
			a := d.Serve(t.Context(), request("POST", "/", "x"))
			if a.Ran() != c.ran || a.Status() != c.status || a.Reason() != c.reason {
				t.Errorf("answer is %d %s %q", a.Status(), a.Ran(), a.Reason())
			}
			if n := requests.Load(); n != 1 {
				t.Errorf("the upstream got %d requests", n)
			}
		})
	}
}

// TestUnsentIsTrue guards against "not run" for a call that reached the upstream, and against calls that are lost on a
// connection that the upstream closed while it was idle.
func TestUnsentIsTrue(t *testing.T) {
	var runs atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1) }))
	d, _ := newDispatcher(t, s.URL, 4)
	for i := range 50 {
		if a := d.Serve(t.Context(), request("POST", "/", "x")); a.Ran() != answer.Yes && a.Ran() != answer.Maybe {
			t.Fatalf("call %d: %s %s", i, a.Ran(), a.Reason())
		}
		s.CloseClientConnections()
	}
	before := runs.Load()
	s.Close()
	d, _ = newDispatcher(t, s.URL, 4) // no idle connections, on which a call may be sent before their end is detected
	a := d.Serve(t.Context(), request("POST", "/", "x"))
	if a.Ran() != answer.No || a.Reason() != reasonDown || a.Status() != 503 {
		t.Errorf("without an upstream: %d %s %s", a.Status(), a.Ran(), a.Reason())
	}
	if runs.Load() != before {
		t.Error("a call that was not run has run")
	}
}

// TestMisrouted guards against a call that runs on an upstream of another service or version after an address was
// reused.
func TestMisrouted(t *testing.T) {
	var runs atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1) }))
	defer s.Close()
	d, _ := newDispatcher(t, s.URL, 4)
	for _, change := range []func(*call.Fields){
		func(f *call.Fields) { f.Service = "ergebnis" },
		func(f *call.Fields) { f.Version = "v0" },
	} {
		f := request("POST", "/", "x").Fields()
		change(&f)
		if a := d.Serve(t.Context(), call.New(f)); a.Ran() != answer.No || a.Reason() != reasonMisrouted {
			t.Errorf("%s %s: %s %s", f.Service, f.Version, a.Ran(), a.Reason())
		}
	}
	if runs.Load() != 0 {
		t.Error("a refused call has run")
	}
}

// TestDrain guards against calls that are lost or started during a graceful stop.
func TestDrain(t *testing.T) {
	entered := make(chan struct{})
	finish := make(chan struct{})
	var runs atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		entered <- struct{}{}
		<-finish
		io.WriteString(w, "done")
	}))
	defer s.Close()
	d, r := newDispatcher(t, s.URL, 1)
	answers := make(chan answer.Answer, 2)
	serve := func() { answers <- d.Serve(t.Context(), request("POST", "/", "x")) }
	go serve()
	<-entered
	go serve() // waits in the queue
	for d.limiter.Outstanding() < 2 {
		time.Sleep(time.Millisecond)
	}
	drained := make(chan error, 1)
	go func() { drained <- d.Drain(t.Context()) }()
	if s := <-r.signal; s != endpoint.Leaving {
		t.Errorf("first state is %s", s)
	}
	if a := <-answers; a.Ran() != answer.No || a.Reason() != "leaving" {
		t.Errorf("queued call: %s %s", a.Ran(), a.Reason())
	}
	if a := d.Serve(t.Context(), request("POST", "/", "x")); a.Ran() != answer.No || a.Reason() != "leaving" {
		t.Errorf("new call: %s %s", a.Ran(), a.Reason())
	}
	close(finish)
	if a := <-answers; a.Ran() != answer.Yes || string(a.Body()) != "done" {
		t.Errorf("call in flight: %s %s %q", a.Ran(), a.Reason(), a.Body())
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
	if n := runs.Load(); n != 1 {
		t.Errorf("%d runs", n)
	}
}

// TestDrainLimit guards against a stop that waits for a call without limit.
func TestDrainLimit(t *testing.T) {
	finish := make(chan struct{})
	entered := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		entered <- struct{}{}
		<-finish
	}))
	defer s.Close()
	defer close(finish)
	d, _ := newDispatcher(t, s.URL, 1)
	go d.Serve(t.Context(), request("GET", "/", ""))
	<-entered
	ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	if err := d.Drain(ctx); err == nil {
		t.Error("no error for a call that did not end")
	}
}

// TestWatch guards against a state that does not follow the upstream, and against a change of state after Leaving.
func TestWatch(t *testing.T) {
	s := httptest.NewServer(http.NotFoundHandler())
	d, r := newDispatcher(t, s.URL, 1)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- d.watch(ctx) }()
	for _, want := range []endpoint.State{endpoint.Starting, endpoint.Ready} {
		if got := <-r.signal; got != want {
			t.Fatalf("state is %s, want %s", got, want)
		}
	}
	s.Close()
	d.Serve(t.Context(), request("GET", "/", "")) // its failure triggers a check
	if got := <-r.signal; got != endpoint.Starting {
		t.Errorf("state is %s after the upstream stopped", got)
	}
	d.Leave()
	d.setState(endpoint.Ready)
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if states := r.recorded(); states[len(states)-1] != endpoint.Leaving {
		t.Errorf("states are %v", states)
	}
}

// TestCheck guards against an invalid setting that is only detected when the first call fails.
func TestCheck(t *testing.T) {
	for _, bad := range []string{"127.0.0.1:80", "https://127.0.0.1:80", "http://localhost:80", "http://127.0.0.1:80/path"} {
		if (&Dispatcher{Upstream: bad}).Check() == nil {
			t.Errorf("%q is accepted", bad)
		}
	}
}

// TestRefusals guards against "full" or "late" for a call of which the upstream received a byte.
func TestRefusals(t *testing.T) {
	var runs atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		io.Copy(io.Discard, r.Body)
		time.Sleep(2 * time.Millisecond)
	}))
	defer s.Close()
	d, _ := newDispatcher(t, s.URL, 2)
	var group sync.WaitGroup
	var mutex sync.Mutex
	counts := map[string]int64{}
	for i := range 16 {
		group.Go(func() {
			for k := range 50 {
				f := request("POST", "/", "x").Fields()
				f.Tenant = fmt.Sprint(i % 3)
				if k%2 == 0 {
					f.Class = route.High
				}
				if k%5 == 0 {
					f.TimeLeft = 0
				}
				a := d.Serve(t.Context(), call.New(f))
				mutex.Lock()
				counts[string(a.Ran())+" "+a.Reason()]++
				mutex.Unlock()
			}
		})
	}
	group.Wait()
	for k := range counts {
		switch k {
		case "yes ", "no full", "no late":
		default:
			t.Errorf("unexpected answer %q", k)
		}
	}
	if counts["yes "] != runs.Load() || counts["no full"] == 0 || counts["no late"] == 0 {
		t.Errorf("%d runs, answers are %v", runs.Load(), counts)
	}
}

// TestIdleClose guards against a call that fails because the upstream has closed the idle connection.
func TestIdleClose(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	closed := make(chan struct{})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				io.Copy(io.Discard, r.Body)
				io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			}
			c.Close()
			closed <- struct{}{}
		}
	}()
	d, _ := newDispatcher(t, "http://"+l.Addr().String(), 1)
	for i := range 20 {
		if a := d.Serve(t.Context(), request("POST", "/", "x")); a.Ran() != answer.Yes || string(a.Body()) != "ok" {
			t.Errorf("call %d: %s %s", i, a.Ran(), a.Reason())
		}
		<-closed
	}
}
