package admitter

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/rcrowley/go-metrics"

	"wisteriaspoke.example/mesh/endpoint"
	"wisteriaspoke.example/mesh/outcome"
	"wisteriaspoke.example/mesh/share"
)

// TestPath guards against a call that does not get through all parts from its caller to the local upstream.
func TestPath(t *testing.T) {
	url, runs := startUpstream(t)
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
	if len(w.subscriptions) != 1 || w.subscriptions[0] != "other.example" {
		t.Errorf("subscriptions are %v", w.subscriptions)
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

// TestBounds guards against a limit that is not enforced, or a refusal that does not say that nothing has run.
func TestBounds(t *testing.T) {
	url, runs := startUpstream(t)
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
		{"body", strings.Repeat("x", maxBodyBytes+1), nil, 413, reasonLarge},
		{"headers", "", []string{"X-Large", strings.Repeat("x", maxHeaderBytes)}, 431, reasonHeaders},
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
	n.admitter.inFlight.calls.Store(maxInFlightCalls)
	if got := send(t, n, "GET", "/", ""); got.status != 503 || got.ran != "no" || got.reason != reasonWaiting {
		t.Errorf("waiting: %+v", got)
	}
	n.admitter.inFlight.calls.Store(0)
	n.admitter.inFlight.bytes.Store(maxInFlightBytes)
	if got := send(t, n, "POST", "/", "x"); got.status != 503 || got.ran != "no" || got.reason != reasonMemory {
		t.Errorf("memory: %+v", got)
	}
	n.admitter.inFlight.bytes.Store(0)
	if runs.Load() != 0 {
		t.Error("a refused call has run")
	}
}

// TestConnections guards against a connection over the limit that hangs or is closed without a reason.
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

// TestCutRequest guards against a call that runs although its connection was closed within the request.
func TestCutRequest(t *testing.T) {
	url, runs := startUpstream(t)
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

// TestSample guards against statistics over values that were not added or are no longer held.
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
