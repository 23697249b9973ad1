package forwarder

import (
	"context"
	"fmt"
	"log/slog"
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
	"wisteriaspoke.example/mesh/rule"
	"wisteriaspoke.example/mesh/target"
	"wisteriaspoke.example/mesh/view"
)

// mesh stands for the parts around the forwarder; its answers are given in order.
type mesh struct {
	answers []answer.Fields
	takes   []time.Duration // until the answers; at once if empty

	mutex sync.Mutex // guards sends
	sends int
}

func (m *mesh) PeakNodeCount() int                                   { return 4 }
func (m *mesh) Observe(_, _, _, _ string, _, _ bool)                 {}
func (m *mesh) IsMoveTarget(string, string) bool                     { return false }
func (m *mesh) Serve(ctx context.Context, _ call.Call) answer.Answer { return m.next(ctx) }
func (m *mesh) Call(ctx context.Context, _ string, _ call.Call) (answer.Answer, error) {
	return m.next(ctx), nil
}

func (m *mesh) next(ctx context.Context) answer.Answer {
	m.mutex.Lock()
	n := m.sends
	m.sends++
	m.mutex.Unlock()
	if len(m.takes) > 0 {
		select {
		case <-time.After(m.takes[min(n, len(m.takes)-1)]):
		case <-ctx.Done():
			return answer.New(answer.Fields{Status: 504, Ran: answer.Maybe, Reason: exchanger.EndReason(ctx)})
		}
	}
	return answer.New(m.answers[min(n, len(m.answers)-1)])
}

// newForwarder returns a forwarder among the parts of m, and a view with six endpoints of service s.
func newForwarder(m *mesh) (*Forwarder, *view.View) {
	f := &Forwarder{
		RepeatRatio: 1, RepeatReserve: 100, RepeatWindow: time.Second,
		log: slog.New(slog.DiscardHandler), viewer: m, carrier: m, runner: m, observer: m,
		random: func(int) int { return 0 }, estimator: estimator.New(),
	}
	var ts []*target.Target
	for i := range 6 {
		e := endpoint.New(endpoint.Fields{Address: fmt.Sprint("node-", i), Service: "s", Version: "v1", Slots: 4, State: endpoint.Ready, Instance: fmt.Sprint("i-", i)})
		ts = append(ts, target.New(e, gauge.New(time.Now()), "own", "", ""))
	}
	return f, view.New(nil, time.Time{}, map[string]view.Pool{"s": {Stable: ts}})
}

// TestEnds guards against a final answer that says "not run" of a request that has run, or that hides the answer of an
// upstream. Each case is the answers of the sends in order.
func TestEnds(t *testing.T) {
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
		m := &mesh{answers: c.answers}
		f, v := newForwarder(m)
		r := rule.New(rule.Fields{Name: "r", Idempotent: c.idempotent, Objective: time.Second, Attempts: 3, Services: []rule.WeightedService{{Service: "s", Weight: 1}}})
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		a := f.Forward(ctx, v, r, call.Fields{RequestID: "q", TimeLeft: 2000})
		cancel()
		fmt.Fprintf(&out, "%-36s %d sends: status %d, ran %s, wait %d ms, body %q\n", c.name, m.sends, a.Status(), a.Ran(), a.RetryAfter(), a.Body())
	}
	goldie.New(t).Assert(t, "ends", []byte(out.String()))
}

// TestStuckEndpoints plays endpoints that are stuck, lose answers or are slow. It guards against safe requests that wait for
// them until the deadline though others have room, and against second sends that are not allowed or do not help. Calls
// usually take 300 ms, so an answer is overdue after 1,050 ms.
func TestStuckEndpoints(t *testing.T) {
	fine := answer.Fields{Status: 200, Ran: answer.Yes, Body: []byte("fine")}
	broken := answer.Fields{Status: 500, Ran: answer.Yes}
	full := answer.Fields{Status: 503, Ran: answer.No, Reason: "full"}
	ms := time.Millisecond
	cases := []struct {
		name     string
		once     bool // the request may run only once
		attempts int
		ratio    float64 // of repeats
		answers  []answer.Fields
		takes    []time.Duration
	}{
		{"in time", false, 3, 1, []answer.Fields{fine}, []time.Duration{900 * ms}},
		{"first is stuck", false, 3, 1, []answer.Fields{fine}, []time.Duration{time.Minute, 200 * ms}},
		{"first is slow and still first", false, 3, 1, []answer.Fields{fine}, []time.Duration{1200 * ms, 500 * ms}},
		{"both are stuck", false, 3, 1, []answer.Fields{fine}, []time.Duration{time.Minute}},
		{"second fails, first is slow", false, 3, 1, []answer.Fields{fine, broken}, []time.Duration{1500 * ms, 100 * ms}},
		{"second refuses, first is slow", false, 3, 1, []answer.Fields{fine, full}, []time.Duration{1500 * ms, ms}},
		{"must run once only", true, 3, 1, []answer.Fields{fine}, []time.Duration{time.Minute, 200 * ms}},
		{"one attempt allowed", false, 1, 1, []answer.Fields{fine}, []time.Duration{time.Minute, 200 * ms}},
		{"no repeat left", false, 3, 0, []answer.Fields{fine}, []time.Duration{time.Minute, 200 * ms}},
	}
	var out strings.Builder
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			m := &mesh{answers: c.answers, takes: c.takes}
			f, v := newForwarder(m)
			f.RepeatRatio, f.RepeatReserve = c.ratio, c.ratio*100
			if c.ratio == 0 {
				for f.allowance("s").TryWithdraw(time.Now()) {
				}
			}
			r := rule.New(rule.Fields{Name: "r", Idempotent: !c.once, Objective: time.Second, Attempts: c.attempts, Services: []rule.WeightedService{{Service: "s", Weight: 1}}})
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			begun := time.Now()
			a := f.Forward(ctx, v, r, call.Fields{RequestID: "q", TimeLeft: 2000})
			fmt.Fprintf(&out, "%-30s %d sends: status %d, ran %s after %d ms\n", c.name, m.sends, a.Status(), a.Ran(), time.Since(begun).Milliseconds())
		})
	}
	goldie.New(t).Assert(t, "stuck", []byte(out.String()))
}
