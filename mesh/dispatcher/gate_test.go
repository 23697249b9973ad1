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

// turnstile is a gate that records what it is asked and told.
type turnstile struct {
	trace         []string
	enter, send   string // reasons of refusals
	ready         error
	number, epoch uint64
}

func (s *turnstile) Admit(context.Context, call.Call) (guard.Pass, string) {
	s.trace = append(s.trace, "enter")
	return guard.NewPass(s.number, ""), s.enter
}

func (s *turnstile) BeforeSend(p guard.Pass, _ call.Call) (guard.Pass, string) {
	s.trace = append(s.trace, fmt.Sprintf("send %d", p.ID()))
	return p.WithEpoch(s.epoch), s.send
}

func (s *turnstile) AfterCall(_ context.Context, p guard.Pass, _ call.Call, e guard.Ending) {
	s.trace = append(s.trace, fmt.Sprintf("end %d %d %s", p.ID(), p.Epoch(), e))
}

func (s *turnstile) Ready() error { return s.ready }

// TestGate guards against a call that is sent against the gate's ruling, whose end the gate does not learn, or that is
// told to have ended otherwise than it did.
func TestGate(t *testing.T) {
	whole := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer whole.Close()
	broken, _ := raw(t, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhello")
	cases := []struct {
		name, upstream string
		gate           turnstile
		reason         string
		ran            answer.Ran
		trace          []string
	}{
		{"whole", whole.URL, turnstile{number: 7, epoch: 3}, "", answer.Yes, []string{"enter", "send 7", "end 7 3 whole"}},
		{"refused", whole.URL, turnstile{enter: "poison"}, "poison", answer.No, []string{"enter"}},
		{"refused late", whole.URL, turnstile{send: "suspect"}, "suspect", answer.No, []string{"enter", "send 0", "end 0 0 unsent"}},
		{"broken", broken, turnstile{epoch: 3}, reasonLost, answer.Maybe, []string{"enter", "send 0", "end 0 3 broken"}},
		{"crashed, listener last", dying(t, 5*time.Millisecond), turnstile{epoch: 3}, reasonCrashed, answer.Maybe, []string{"enter", "send 0", "end 0 3 crashed"}},
		{"crashed", dying(t, 0), turnstile{epoch: 3}, reasonCrashed, answer.Maybe, []string{"enter", "send 0", "end 0 3 crashed"}},
		{"down", closed(t), turnstile{number: 7, epoch: 3}, reasonDown, answer.No, []string{"enter", "send 7", "end 7 3 unsent"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d, _ := start(t, c.upstream, 4)
			d.gate = &c.gate
			a := d.Serve(t.Context(), request("POST", "/", "x"))
			if a.Ran() != c.ran || a.Reason() != c.reason || a.Outstanding() != 0 {
				t.Errorf("answer is %d %s %q with %d calls outstanding", a.Status(), a.Ran(), a.Reason(), a.Outstanding())
			}
			if !slices.Equal(c.gate.trace, c.trace) {
				t.Errorf("the gate was told %q", c.gate.trace)
			}
		})
	}
}

// TestGateLeaving guards against a gate that waits for the end of a call that the limiter refused.
func TestGateLeaving(t *testing.T) {
	d, _ := start(t, closed(t), 4)
	g := &turnstile{number: 7}
	d.gate = g
	d.limiter.Leave()
	if a := d.Serve(t.Context(), request("POST", "/", "x")); a.Ran() != answer.No || !slices.Equal(g.trace, []string{"enter", "end 7 0 unsent"}) {
		t.Errorf("answer is %s %q, and the gate was told %q", a.Ran(), a.Reason(), g.trace)
	}
}

// TestGateReady guards against an upstream that is announced as ready before the gate is.
func TestGateReady(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer s.Close()
	d, r := start(t, s.URL, 4)
	g := &turnstile{ready: errors.New("not yet")}
	d.gate = g
	d.check(0)
	if len(r.seen()) != 0 {
		t.Errorf("states are %v", r.seen())
	}
	g.ready = nil
	d.check(0)
	if len(r.seen()) != 1 {
		t.Errorf("states are %v", r.seen())
	}
}

// closed returns the URL of a port that nothing listens on.
func closed(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	return "http://" + l.Addr().String()
}

// dying returns the URL of an upstream that dies when it gets a request. Its listener closes before its connection, or
// after it by the time.
func dying(t *testing.T, after time.Duration) string {
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
		if after > 0 {
			c.Close()
			time.Sleep(after)
		}
		l.Close()
		c.Close()
	}()
	return "http://" + l.Addr().String()
}
