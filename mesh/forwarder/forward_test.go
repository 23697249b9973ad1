package forwarder

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"testing"
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
	sends   int
}

func (m *mesh) Size() int                                                      { return 4 }
func (m *mesh) Observe(_, _, _, _ string, _, _ bool)                           {}
func (m *mesh) Moving(string, string) bool                                     { return false }
func (m *mesh) Serve(ctx context.Context, c call.Call) answer.Answer           { return m.next() }
func (m *mesh) Call(context.Context, string, call.Call) (answer.Answer, error) { return m.next(), nil }

func (m *mesh) next() answer.Answer {
	a := m.answers[min(m.sends, len(m.answers)-1)]
	m.sends++
	return answer.New(a)
}

// TestEnds guards against a final answer that says "not run" of a request that has run, or that hides the answer of an
// upstream. Each case is the answers of the sends in order.
func TestEnds(t *testing.T) {
	full := answer.Fields{Status: 503, Ran: answer.No, Reason: "full", Wait: 40}
	lost := answer.Fields{Status: 502, Ran: answer.Maybe, Reason: exchanger.ReasonLost}
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
		v := view.New(nil, time.Time{}, map[string]view.Pool{"s": {Stable: ts}})
		r := rule.New(rule.Fields{Name: "r", Idempotent: c.idempotent, Aim: time.Second, Attempts: 3, Portions: []rule.Portion{{Service: "s", Weight: 1}}})
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		a := f.Forward(ctx, v, r, call.Fields{Request: "q", Left: 2000})
		cancel()
		fmt.Fprintf(&out, "%-36s %d sends: status %d, ran %s, wait %d ms, body %q\n", c.name, m.sends, a.Status(), a.Ran(), a.Wait(), a.Body())
	}
	goldie.New(t).Assert(t, "ends", []byte(out.String()))
}
