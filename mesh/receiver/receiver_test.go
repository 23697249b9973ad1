package receiver

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"wisteriaspoke.example/mesh/answer"
	"wisteriaspoke.example/mesh/call"
	"wisteriaspoke.example/mesh/clock"
	"wisteriaspoke.example/mesh/plan"
	"wisteriaspoke.example/mesh/rule"
	"wisteriaspoke.example/mesh/view"
)

// fakeParts implements the parts that the receiver depends on.
type fakeParts struct {
	plan      *plan.Plan
	planKnown chan struct{} // nil if no plan becomes known
	forward   func(ctx context.Context, c call.Fields) answer.Answer
	revoke    bool // keys depend on how old the configuration may be
	stale     bool // it may be too old
}

// closed is the channel of a node that has started.
var closed = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

func (f *fakeParts) Proven() <-chan struct{} { return closed }
func (f *fakeParts) Enabled() bool           { return f.revoke }
func (f *fakeParts) Fresh(uint64) bool       { return !f.stale }

func (f *fakeParts) View() *view.View                                { return view.New(f.plan, time.Time{}, nil) }
func (f *fakeParts) PlanKnown() <-chan struct{}                      { return f.planKnown }
func (f *fakeParts) Service(func(string) bool) string                { return "own" }
func (f *fakeParts) Elapsed(*rule.Rule, time.Duration) time.Duration { return 0 }
func (f *fakeParts) Forward(ctx context.Context, _ *view.View, _ *rule.Rule, c call.Fields) answer.Answer {
	return f.forward(ctx, c)
}
func (f *fakeParts) ParseRequest(h http.Header) (string, time.Duration) { return h.Get("Id"), 0 }
func (f *fakeParts) TakeKey(h http.Header) string {
	key := h.Get("Key")
	h.Del("Key")
	h.Del("Tenant")
	return key
}
func (f *fakeParts) SetRefusalHeaders(h http.Header, id string, wait time.Duration) {
	h.Set("Id", id)
	if wait > 0 {
		h.Set("Wait", wait.String())
	}
}

// startServer serves on a free port and returns the receiver and its address.
func startServer(t *testing.T, f *fakeParts, settings ...func(*Receiver)) (*Receiver, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return startOn(t, f, l, settings...), l.Addr().String()
}

// startOn serves on a listener until the test ends.
func startOn(t *testing.T, f *fakeParts, l net.Listener, settings ...func(*Receiver)) *Receiver {
	t.Helper()
	r := &Receiver{now: clock.Clock{}.Now, log: slog.New(slog.DiscardHandler), forwarder: f, views: f, identity: f, proofs: f, dialect: f,
		Ahead: 8, Held: 1 << 20, bodyBuffer: 1 << 20, Stall: 10 * time.Second}
	for _, set := range settings {
		set(r)
	}
	ctx, cancel := context.WithCancel(context.Background())
	end := r.serve(ctx, l.(*net.TCPListener))
	t.Cleanup(func() {
		cancel()
		if err := <-end; err != nil {
			t.Errorf("the receiver ends with %v", err)
		}
	})
	return r
}

func testPlan() *plan.Plan {
	return plan.New(3, plan.Limits{MaxBodyBytes: 10}, nil, []*rule.Rule{rule.New(rule.Fields{Name: "r", Host: "h", Prefix: "/a/", Timeout: 5 * time.Second})})
}

// TestCallerLeftUnread guards against GONE: requests that are forwarded although their callers had hung up before a busy
// node read them.
func TestCallerLeftUnread(t *testing.T) {
	const callers = 100
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	for range callers {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(c, "GET /a/x HTTP/1.1\r\nHost: h\r\nId: left\r\n\r\n")
		c.Close()
	}
	var forwarded atomic.Int64
	f := &fakeParts{plan: testPlan(), forward: func(context.Context, call.Fields) answer.Answer {
		forwarded.Add(1)
		return answer.New(answer.Fields{Status: 200, Ran: answer.Yes})
	}}
	before := abandoned.Count()
	r := startOn(t, f, l)
	// The connection after them is accepted last, and answered.
	if got := get(l.Addr().String(), "last"); got != "200 close false" {
		t.Errorf("a request of a caller that waits ends with %s", got)
	}
	// A receiver that stops does not read connections that it has only accepted.
	for end := time.Now().Add(5 * time.Second); abandoned.Count()-before < callers && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	close(r.stop)
	<-r.idle
	if left := abandoned.Count() - before; left != callers || forwarded.Load() != 1 {
		t.Errorf("%d of %d requests were read and abandoned, and %d forwarded beside the last", left, callers, forwarded.Load()-1)
	}
}

// TestRequests guards against requests that are changed when forwarded, malformed requests that are forwarded, and a
// 404 while no configuration is known. Each case has the bytes of one request.
func TestRequests(t *testing.T) {
	cases := []struct {
		name   string
		plan   *plan.Plan
		bytes  string
		answer answer.Fields
	}{
		{"answered", testPlan(), "GET /a/x?y=%20z HTTP/1.1\r\nHost: h\r\nId: 1\r\nConnection: X\r\nX: hop\r\nKept: yes\r\n\r\n", answer.Fields{Status: 201, Ran: answer.Yes, Headers: []call.Header{{Name: "Signed", Value: "s"}}, Body: []byte("ok")}},
		{"body in chunks", testPlan(), "POST /a/x HTTP/1.1\r\nHost: h:80\r\nId: 2\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n", answer.Fields{Status: 200, Ran: answer.Yes}},
		{"refused", testPlan(), "GET /a/x HTTP/1.1\r\nHost: h\r\nId: 3\r\n\r\n", answer.Fields{Status: 503, Ran: answer.No, RetryAfter: 250}},
		{"may have run", testPlan(), "GET /a/x HTTP/1.1\r\nHost: h\r\nId: 4\r\n\r\n", answer.Fields{Status: 502, Ran: answer.Maybe}},
		{"no route", testPlan(), "GET /b HTTP/1.1\r\nHost: h\r\nId: 5\r\n\r\n", answer.Fields{}},
		{"no configuration", nil, "GET /a/x HTTP/1.1\r\nHost: h\r\nId: 6\r\n\r\n", answer.Fields{}},
		{"body too large", testPlan(), "POST /a/x HTTP/1.1\r\nHost: h\r\nId: 7\r\nContent-Length: 11\r\n\r\n12345678901", answer.Fields{}},
		{"two lengths", testPlan(), "POST /a/x HTTP/1.1\r\nHost: h\r\nId: 8\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", answer.Fields{}},
		{"length and chunks", testPlan(), "POST /a/x HTTP/1.1\r\nHost: h\r\nId: 9\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", answer.Fields{Status: 200, Ran: answer.Yes}},
		{"bad chunk", testPlan(), "POST /a/x HTTP/1.1\r\nHost: h\r\nId: 10\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc", answer.Fields{}},
		{"not a request", testPlan(), "hello\r\n\r\n", answer.Fields{}},
	}
	var out strings.Builder
	for _, c := range cases {
		forwarded := "nothing"
		f := &fakeParts{plan: c.plan, forward: func(_ context.Context, q call.Fields) answer.Answer {
			var hs []string
			for _, h := range q.Headers {
				if h.Name != "Id" {
					hs = append(hs, h.Name)
				}
			}
			forwarded = fmt.Sprintf("%s %s %s body %q from %s with %v", q.Method, q.Host, q.Path, q.Body, q.Caller, hs)
			return answer.New(c.answer)
		}}
		_, address := startServer(t, f)
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		conn.SetDeadline(time.Now().Add(5 * time.Second))
		io.WriteString(conn, c.bytes)
		r, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatalf("%s: %v", c.name, err)
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			t.Fatalf("%s: %v", c.name, err)
		}
		conn.Close()
		fmt.Fprintf(&out, "%-18s forwarded %s\n%-18s %d, id %q, signed %q, wait %q, close %v, body %q\n", c.name, forwarded, "", r.StatusCode, r.Header.Get("Id"), r.Header.Get("Signed"), r.Header.Get("Wait"), r.Close, body)
	}
	goldie.New(t).Assert(t, "requests", []byte(out.String()))
}

// TestCallerDisconnects guards against calls that continue after the caller has disconnected.
func TestCallerDisconnects(t *testing.T) {
	started, ended := make(chan struct{}), make(chan error, 1)
	f := &fakeParts{plan: testPlan(), forward: func(ctx context.Context, _ call.Fields) answer.Answer {
		close(started)
		<-ctx.Done()
		ended <- ctx.Err()
		return answer.New(answer.Fields{Status: 504, Ran: answer.Maybe})
	}}
	_, address := startServer(t, f)
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	io.WriteString(conn, "GET /a/x HTTP/1.1\r\nHost: h\r\n\r\n")
	<-started
	conn.Close()
	if err := <-ended; err != context.Canceled {
		t.Errorf("the request ends with %v, want canceled: it must not run until its timeout", err)
	}
}

// TestDrain guards against a drain that cuts off a request or leaves the node ready, and against one that never ends
// while callers send requests on open connections.
func TestDrain(t *testing.T) {
	release := make(chan struct{})
	var busy atomic.Int32
	f := &fakeParts{plan: testPlan(), forward: func(_ context.Context, c call.Fields) answer.Answer {
		if c.RequestID == "slow" {
			busy.Add(1)
			<-release
		}
		return answer.New(answer.Fields{Status: 200, Ran: answer.Yes})
	}}
	r, address := startServer(t, f)
	slow := make(chan string, 1)
	go func() { slow <- get(address, "slow") }()
	for busy.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	if err := r.Ready(); err != nil {
		t.Errorf("not ready before the stop: %v", err)
	}
	drained := make(chan error, 1)
	go func() { drained <- r.Drain(context.Background()) }()
	for !r.draining.Load() {
		time.Sleep(time.Millisecond)
	}
	if r.Ready() == nil {
		t.Error("still ready while stopping")
	}
	if got := get(address, "quick"); got != "200 close true" {
		t.Errorf("a request of a caller that has not noticed the stop ends with %s", got)
	}
	close(release)
	if got := <-slow; got != "200 close false" && got != "200 close true" {
		t.Errorf("the request in progress ends with %s", got)
	}
	if err := <-drained; err != nil {
		t.Errorf("the stop ends with %v", err)
	}
}

func get(address, id string) string {
	q, err := http.NewRequest(http.MethodGet, "http://"+address+"/a/x", nil)
	if err != nil {
		return err.Error()
	}
	q.Host = "h"
	q.Header.Set("Id", id)
	r, err := (&http.Transport{}).RoundTrip(q)
	if err != nil {
		return err.Error()
	}
	r.Body.Close()
	return fmt.Sprintf("%d close %v", r.StatusCode, r.Close)
}
