package admitter

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"testing"
	"testing/synctest"

	"wisteriaspoke.example/mesh/answer"
	"wisteriaspoke.example/mesh/call"
	"wisteriaspoke.example/mesh/publisher"
	"wisteriaspoke.example/mesh/share"
	"wisteriaspoke.example/mesh/snapshot"
)

// upstreamFunc is a fake executor that runs calls by the function.
type upstreamFunc func(c call.Call) answer.Answer

func (f upstreamFunc) Serve(_ context.Context, c call.Call) answer.Answer { return f(c) }
func (upstreamFunc) IsLocalCaller(netip.Addr) bool                        { return true }
func (upstreamFunc) Leave()                                               {}

// Call makes upstreamFunc a fake linker too: peers run calls by the same function.
func (f upstreamFunc) Call(_ context.Context, _ string, c call.Call) (answer.Answer, error) {
	return f(c), nil
}

// chain returns the first of depth nodes; each node's upstream calls the next node, and the last one runs the calls.
func chain(t *testing.T, depth int, last upstreamFunc) *Admitter {
	t.Helper()
	var next *Admitter
	for i := range depth {
		p := publisher.New(snapshot.Location{DataCentre: "obb-a", Region: "obb"})
		p.Publish(configuration(t, 1, share.Share{}))
		p.Publish(endpoints(1, "127.0.0.1:7001", "127.0.0.1:7002", "127.0.0.1:7003"))
		f := last
		if i > 0 {
			below := next
			f = func(c call.Call) answer.Answer {
				g := below.Do(context.Background(), call.Fields{Method: c.Method(), Host: c.Host(), Path: c.Path(), TimeLeft: c.TimeLeft()}, nil).Fields()
				g.Ran = answer.Yes
				return answer.New(g)
			}
		}
		next = &Admitter{log: slog.New(slog.DiscardHandler), node: "127.0.0.1:7001", source: p, executor: f, linker: f}
		next.prepare()
	}
	return next
}

// TestDepth guards against retries that multiply with the depth of a call while a service fails.
func TestDepth(t *testing.T) {
	const calls = 2000
	for _, depth := range []int{1, 11} {
		for _, ran := range []answer.Ran{answer.Yes, answer.Maybe} {
			t.Run(fmt.Sprintf("depth=%d,ran=%s", depth, ran), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					runs := 0
					first := chain(t, depth, func(call.Call) answer.Answer {
						runs++
						return answer.New(answer.Fields{Status: 502, Ran: ran})
					})
					for range calls {
						first.Do(context.Background(), call.Fields{Method: "GET", Host: "swim.example", Path: "/a"}, nil)
					}
					t.Logf("%.3f runs for each call", float64(runs)/calls)
					if runs > calls*12/10 || runs < calls*11/10 {
						t.Errorf("%d runs of %d calls", runs, calls)
					}
				})
			})
		}
	}
}
