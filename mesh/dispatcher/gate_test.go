package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"wisteriaspoke.example/mesh/answer"
	"wisteriaspoke.example/mesh/call"
	"wisteriaspoke.example/mesh/guard"
)

// fakeGate is a gate that records its calls.
type fakeGate struct {
	trace       []string
	admit, send string // reasons of refusals by Admit and BeforeSend
	ready       error
	id, epoch   uint64
}

func (g *fakeGate) Admit(context.Context, call.Call) (guard.Pass, string) {
	g.trace = append(g.trace, "admit")
	return guard.NewPass(g.id, ""), g.admit
}

func (g *fakeGate) BeforeSend(p guard.Pass, _ call.Call) (guard.Pass, string) {
	g.trace = append(g.trace, fmt.Sprintf("send %d", p.ID()))
	return p.WithEpoch(g.epoch), g.send
}

func (g *fakeGate) AfterCall(_ context.Context, p guard.Pass, _ call.Call, e guard.Ending) {
	g.trace = append(g.trace, fmt.Sprintf("end %d %d %s", p.ID(), p.Epoch(), e))
}

func (g *fakeGate) Ready() error { return g.ready }

// TestGate guards against a call that is sent although the gate refused it, and against an ending that is not reported
// to the gate or reported wrongly.
func TestGate(t *testing.T) {
	whole := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer whole.Close()
	broken, _ := startRawUpstream(t, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhello")
	cases := []struct {
		name, upstream string
		gate           fakeGate
		reason         string
		ran            answer.Ran
		trace          []string
	}{
		{"whole", whole.URL, fakeGate{id: 7, epoch: 3}, "", answer.Yes, []string{"admit", "send 7", "end 7 3 whole"}},
		{"refused", whole.URL, fakeGate{admit: "poison"}, "poison", answer.No, []string{"admit"}},
		{"refused late", whole.URL, fakeGate{send: "suspect"}, "suspect", answer.No, []string{"admit", "send 0", "end 0 0 unsent"}},
		{"broken", broken, fakeGate{epoch: 3}, reasonLost, answer.Maybe, []string{"admit", "send 0", "end 0 3 broken"}},
		{
			"crashed, listener last", startCrashingUpstream(t, 5*time.Millisecond), fakeGate{epoch: 3}, reasonCrashed, answer.Maybe,
			[]string{"admit", "send 0", "end 0 3 crashed"},
		},
		{
			"crashed", startCrashingUpstream(t, 0), fakeGate{epoch: 3}, reasonCrashed, answer.Maybe,
			[]string{"admit", "send 0", "end 0 3 crashed"},
		},
		{"down", closedURL(t), fakeGate{id: 7, epoch: 3}, reasonDown, answer.No, []string{"admit", "send 7", "end 7 3 unsent"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d, _ := newDispatcher(t, c.upstream, 4)
			d.gate = &c.gate
			a := d.Serve(t.Context(), request("POST", "/", "x"))
			if a.Ran() != c.ran || a.Reason() != c.reason || a.Outstanding() != 0 {
				t.Errorf("answer is %d %s %q with %d calls outstanding", a.Status(), a.Ran(), a.Reason(), a.Outstanding())
			}
			if !slices.Equal(c.gate.trace, c.trace) {
				t.Errorf("the calls of the gate are %q", c.gate.trace)
			}
		})
	}
}

// TestGateLeaving guards against a call that the limiter refused and whose end is not reported to the gate.
func TestGateLeaving(t *testing.T) {
	d, _ := newDispatcher(t, closedURL(t), 4)
	g := &fakeGate{id: 7}
	d.gate = g
	d.limiter.Leave()
	if a := d.Serve(t.Context(), request("POST", "/", "x")); a.Ran() != answer.No || !slices.Equal(g.trace, []string{"admit", "end 7 0 unsent"}) {
		t.Errorf("answer is %s %q, and the calls of the gate are %q", a.Ran(), a.Reason(), g.trace)
	}
}

// TestGateReady guards against an upstream that is announced as ready before the gate is ready.
func TestGateReady(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer s.Close()
	d, r := newDispatcher(t, s.URL, 4)
	g := &fakeGate{ready: errors.New("not yet")}
	d.gate = g
	d.check(0)
	if len(r.recorded()) != 0 {
		t.Errorf("states are %v", r.recorded())
	}
	g.ready = nil
	d.check(0)
	if len(r.recorded()) != 1 {
		t.Errorf("states are %v", r.recorded())
	}
}

// closedURL returns the URL of a port that nothing listens on.
func closedURL(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	return "http://" + l.Addr().String()
}

// startCrashingUpstream starts an upstream that crashes at its first request and returns its URL. It closes its
// listener first or, if delay is positive, by this time after its connection.
func startCrashingUpstream(t *testing.T, delay time.Duration) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		var b [4096]byte
		c.Read(b[:])
		if delay > 0 {
			c.Close()
			time.Sleep(delay)
		}
		l.Close()
		c.Close()
	}()
	return "http://" + l.Addr().String()
}
