package forwarder

import (
	"context"
	"fmt"
	"log/slog"
	"runtime"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sebdah/goldie/v2"

	"wisteriaspoke.example/mesh/answer"
	"wisteriaspoke.example/mesh/call"
	"wisteriaspoke.example/mesh/endpoint"
	"wisteriaspoke.example/mesh/estimator"
	"wisteriaspoke.example/mesh/exchanger"
	"wisteriaspoke.example/mesh/gauge"
	"wisteriaspoke.example/mesh/holder"
	"wisteriaspoke.example/mesh/quarantiner"
	"wisteriaspoke.example/mesh/rule"
	"wisteriaspoke.example/mesh/target"
	"wisteriaspoke.example/mesh/view"
)

// fakeMesh implements the parts that the forwarder depends on and returns its answers in order.
type fakeMesh struct {
	answers []answer.Fields
	delays  []time.Duration // before each answer; none if empty

	mutex sync.Mutex // guards sends
	sends int
}

func (m *fakeMesh) PeakNodeCount() int                                   { return 4 }
func (m *fakeMesh) Observe(_, _, _, _ string, _, _, _ bool)              {}
func (m *fakeMesh) IsMoveTarget(string, string) bool                     { return false }
func (m *fakeMesh) Serve(ctx context.Context, _ call.Call) answer.Answer { return m.next(ctx) }
func (m *fakeMesh) Call(ctx context.Context, _ string, _ call.Call) (answer.Answer, error) {
	return m.next(ctx), nil
}

func (m *fakeMesh) next(ctx context.Context) answer.Answer {
	m.mutex.Lock()
	n := m.sends
	m.sends++
	m.mutex.Unlock()
	if len(m.delays) > 0 {
		select {
		case <-time.After(m.delays[min(n, len(m.delays)-1)]):
		case <-ctx.Done():
			return answer.New(answer.Fields{Status: 504, Ran: answer.Maybe, Reason: exchanger.EndReason(ctx)})
		}
	}
	return answer.New(m.answers[min(n, len(m.answers)-1)])
}

// otherParts are the parts that a forwarder uses, but for the counter of crashes.
type otherParts interface {
	nodeCounter
	peerCaller
	runner
	observer
}

// newForwarder returns a forwarder that uses m, and a view with six endpoints of service s.
func newForwarder(m otherParts) (*Forwarder, *view.View) { return newForwarderTo(m, 0, 1, 2, 3, 4, 5) }

// newForwarderTo is like newForwarder, with endpoints at the nodes of these numbers.
func newForwarderTo(m otherParts, nodes ...int) (*Forwarder, *view.View) {
	f := &Forwarder{
		RepeatRatio: 1, RepeatReserve: 100, RepeatWindow: time.Second,
		log: slog.New(slog.DiscardHandler), nodes: m, peers: m, runner: m, observer: m,
		random: func(int) int { return 0 }, estimator: estimator.New(), crashes: quarantiner.New(slog.New(slog.DiscardHandler)),
	}
	var ts []*target.Target
	for _, i := range nodes {
		e := endpoint.New(endpoint.Fields{Address: fmt.Sprint("node-", i), Service: "s", Version: "v1", Slots: 4, State: endpoint.Ready, Instance: fmt.Sprint("i-", i)})
		ts = append(ts, target.New(e, gauge.New(time.Now()), "own", "", ""))
	}
	return f, view.New(nil, time.Time{}, map[string]view.Pool{"s": {Stable: ts}})
}

// TestFinalAnswers guards against a final answer of "not run" for a request that ran or may have run, and against one
// that hides the response of an upstream. Each case lists the answers of the sends in order.
func TestFinalAnswers(t *testing.T) {
	full := answer.Fields{Status: 503, Ran: answer.No, Reason: "full", RetryAfter: 40}
	lost := answer.Fields{Status: 502, Ran: answer.Maybe, Reason: exchanger.ReasonConnectionLost}
	broken := answer.Fields{Status: 500, Ran: answer.Yes, Body: []byte("own words")}
	fine := answer.Fields{Status: 200, Ran: answer.Yes, Body: []byte("fine")}
	cases := []struct {
		name       string
		idempotent bool
		answers    []answer.Fields
	}{
		{"refused everywhere", true, []answer.Fields{full}},
		{"lost, then answered", true, []answer.Fields{lost, fine}},
		{"lost, then refused everywhere", true, []answer.Fields{lost, full}},
		{"failed, then refused everywhere", true, []answer.Fields{broken, full}},
		{"failed, then lost", true, []answer.Fields{broken, lost}},
		{"refused, then lost, once only", false, []answer.Fields{full, lost}},
		{"refused, then answered, once only", false, []answer.Fields{full, fine}},
	}
	var out strings.Builder
	for _, c := range cases {
		m := &fakeMesh{answers: c.answers}
		f, v := newForwarder(m)
		r := rule.New(rule.Fields{Name: "r", Idempotent: c.idempotent, Objective: time.Second, Attempts: 3, Services: []rule.WeightedService{{Service: "s", Weight: 1}}})
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		a := f.Forward(ctx, v, r, call.Fields{RequestID: "q", TimeLeft: 2000})
		cancel()
		fmt.Fprintf(&out, "%-36s %d sends: status %d, ran %s, wait %d ms, body %q\n", c.name, m.sends, a.Status(), a.Ran(), a.RetryAfter(), a.Body())
	}
	goldie.New(t).Assert(t, "ends", []byte(out.String()))
}

// TestFailureGivesMemoryBack guards against the memory of an upstream's failure that is still held when the answer of a later
// send goes to the caller.
func TestFailureGivesMemoryBack(t *testing.T) {
	h := holder.New(1 << 20)
	broken := func() answer.Fields { return answer.Fields{Status: 500, Ran: answer.Yes, Hold: h.Force(100_000)} }
	cases := [][]answer.Fields{
		{broken(), {Status: 200, Ran: answer.Yes, Hold: h.Force(3)}},
		{broken(), broken(), {Status: 200, Ran: answer.Yes, Hold: h.Force(3)}},
		{broken(), broken(), {Status: 500, Ran: answer.Yes, Hold: h.Force(3)}},
	}
	for i, answers := range cases {
		f, v := newForwarder(&fakeMesh{answers: answers})
		r := rule.New(rule.Fields{
			Name: "r", Idempotent: true, Objective: time.Second, Attempts: 3, Services: []rule.WeightedService{{Service: "s", Weight: 1}},
		})
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		before := h.Used()
		a := f.Forward(ctx, v, r, call.Fields{RequestID: "q", TimeLeft: 2000})
		cancel()
		want := before - int64(len(answers)-1)*100_000
		if got := h.Used(); got != want {
			t.Errorf("case %d: %d bytes are held with the answer, not %d", i, got, want)
		}
		a.Hold().Release()
		if got := h.Used(); got != want-3 {
			t.Errorf("case %d: the answer holds %d bytes, not 3", i, want-got)
		}
		runtime.KeepAlive(answers)
	}
	runtime.KeepAlive(cases)
}

// TestStuckEndpoints guards against idempotent requests that wait until the deadline for an endpoint that is stuck, slow
// or loses answers while others have free slots, and against second sends that are not allowed or do not help. The
// expected service time is 300 ms, so an answer is overdue after 1,050 ms.
func TestStuckEndpoints(t *testing.T) {
	fine := answer.Fields{Status: 200, Ran: answer.Yes, Body: []byte("fine")}
	broken := answer.Fields{Status: 500, Ran: answer.Yes}
	full := answer.Fields{Status: 503, Ran: answer.No, Reason: "full"}
	ms := time.Millisecond
	cases := []struct {
		name     string
		once     bool // the request may run only once
		attempts int
		ratio    float64 // RepeatRatio
		answers  []answer.Fields
		delays   []time.Duration
	}{
		{"in time", false, 3, 1, []answer.Fields{fine}, []time.Duration{900 * ms}},
		{"first is stuck", false, 3, 1, []answer.Fields{fine}, []time.Duration{time.Minute, 200 * ms}},
		{"first is slow and still first", false, 3, 1, []answer.Fields{fine}, []time.Duration{1200 * ms, 500 * ms}},
		{"both are stuck", false, 3, 1, []answer.Fields{fine}, []time.Duration{time.Minute}},
		{"second fails, first is slow", false, 3, 1, []answer.Fields{fine, broken}, []time.Duration{1500 * ms, 100 * ms}},
		{"second refuses, first is slow", false, 3, 1, []answer.Fields{fine, full}, []time.Duration{1500 * ms, ms}},
		{"must run once only", true, 3, 1, []answer.Fields{fine}, []time.Duration{time.Minute, 200 * ms}},
		{"one attempt allowed", false, 1, 1, []answer.Fields{fine}, []time.Duration{time.Minute, 200 * ms}},
		{"no retry budget left", false, 3, 0, []answer.Fields{fine}, []time.Duration{time.Minute, 200 * ms}},
	}
	var out strings.Builder
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			m := &fakeMesh{answers: c.answers, delays: c.delays}
			f, v := newForwarder(m)
			f.RepeatRatio, f.RepeatReserve = c.ratio, c.ratio*100
			if c.ratio == 0 {
				for f.budget("s").TryWithdraw(time.Now()) {
				}
			}
			r := rule.New(rule.Fields{Name: "r", Idempotent: !c.once, Objective: time.Second, Attempts: c.attempts, Services: []rule.WeightedService{{Service: "s", Weight: 1}}})
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			started := time.Now()
			a := f.Forward(ctx, v, r, call.Fields{RequestID: "q", TimeLeft: 2000})
			fmt.Fprintf(&out, "%-30s %d sends: status %d, ran %s after %d ms\n", c.name, m.sends, a.Status(), a.Ran(), time.Since(started).Milliseconds())
		})
	}
	goldie.New(t).Assert(t, "stuck", []byte(out.String()))
}

// TestPanicEndsOneSend guards against an unexpected error in one send that ends the whole process, and against "not run"
// after it.
func TestPanicEndsOneSend(t *testing.T) {
	// Without answers, each send panics.
	f, v := newForwarder(&fakeMesh{})
	r := rule.New(rule.Fields{Name: "r", Idempotent: true, Objective: time.Second, Attempts: 3, Services: []rule.WeightedService{{Service: "s", Weight: 1}}})
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	if a := f.Forward(ctx, v, r, call.Fields{RequestID: "q", TimeLeft: 1000}); a.Ran() != answer.Maybe || a.Status() != 502 {
		t.Errorf("status %d, ran %s", a.Status(), a.Ran())
	}
}
