package chooser

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"wisteriaspoke.example/mesh/endpoint"
	"wisteriaspoke.example/mesh/gauge"
	"wisteriaspoke.example/mesh/target"
)

var now = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

// fixture describes one endpoint of a test case.
type fixture struct {
	name             string // node; its first word is the data centre, whose first letter is the region
	serviceTimeRatio float64
	otherCalls       int // calls of other nodes, just reported
	ownCalls         int // calls of this node that began ownAge ago
	ownAge           time.Duration
	failures         int
	backoff          bool
	warmingUp        bool
	limit            float64 // calls a second that the upstream takes
	leaving          bool    // the upstream has said that it leaves
}

func (f fixture) target() *target.Target {
	centre, _, _ := strings.Cut(f.name, "-")
	fields := endpoint.Fields{Limit: f.limit, Address: f.name, Service: "s", Version: "v1", DataCentre: centre, Region: centre[:1], Slots: 10, State: endpoint.Ready}
	if f.warmingUp {
		fields.WarmupEnd = now.Add(time.Second)
	}
	g := gauge.New(now.Add(-time.Minute))
	for range f.ownCalls {
		g.Begin(now.Add(-f.ownAge))
	}
	for range f.failures {
		g.RecordFailure(now)
	}
	if f.otherCalls > 0 {
		g.RecordLoad(f.otherCalls+f.ownCalls, now)
	}
	if f.serviceTimeRatio > 0 {
		g.SetServiceTimeRatio(f.serviceTimeRatio)
	}
	if f.leaving {
		g.MarkLeaving()
	}
	if f.backoff {
		g.BackOff(false, now.Add(time.Second))
	}
	return target.New(endpoint.New(fields), g, "a1-own", "a1", "a")
}

// TestChoices guards against calls that are sent to another data centre without need, and against calls that stay in an
// overloaded one and miss their objective. The node is a1-own, in region a; the expected service time is 100 ms and the
// latency objective 400 ms.
func TestChoices(t *testing.T) {
	cases := []struct {
		name      string
		bulk      bool
		endpoints []fixture
	}{
		{"idle-prefers-own-data-centre", false, []fixture{{name: "b1-x"}, {name: "a2-x"}, {name: "a1-x"}}},
		{"local-upstream-first", false, []fixture{{name: "a1-own"}, {name: "a1-x"}}},
		{"slow-in-own-data-centre", false, []fixture{{name: "a1-x", serviceTimeRatio: 3}, {name: "a2-x"}, {name: "b1-x"}}},
		{"slightly-slow-is-kept", false, []fixture{{name: "a1-x", serviceTimeRatio: 1.05}, {name: "a2-x", serviceTimeRatio: 0.95}}},
		{"full-data-centre", false, []fixture{{name: "a1-x", otherCalls: 12}, {name: "a2-x", otherCalls: 3}, {name: "b1-x"}}},
		{"full-region", false, []fixture{{name: "a1-x", otherCalls: 30}, {name: "a2-x", otherCalls: 30}, {name: "b1-x", otherCalls: 2}}},
		{"overload-in-whole-region", false, []fixture{{name: "a1-x", otherCalls: 20}, {name: "a2-x", otherCalls: 20}, {name: "b1-x"}}},
		{"bulk-waits-in-data-centre", true, []fixture{{name: "a1-x", otherCalls: 12}, {name: "a2-x", otherCalls: 3}, {name: "b1-x"}}},
		{"bulk-leaves-full-data-centre", true, []fixture{{name: "a1-x", otherCalls: 40}, {name: "a2-x", otherCalls: 3}, {name: "b1-x"}}},
		{"bulk-stays-in-region", true, []fixture{{name: "a1-x", otherCalls: 30}, {name: "a2-x", otherCalls: 30}, {name: "b1-x", otherCalls: 1}}},
		{"stuck-calls", false, []fixture{{name: "a1-x", ownCalls: 2, ownAge: 900 * time.Millisecond}, {name: "a2-x"}}},
		{"one-long-call-among-many", false, []fixture{{name: "a1-x", ownCalls: 4, ownAge: 90 * time.Millisecond}, {name: "a2-x", serviceTimeRatio: 1.2}}},
		{"failing-endpoint", false, []fixture{{name: "a1-x", failures: 3}, {name: "a2-x"}}},
		{"ejected-endpoint", false, []fixture{{name: "a1-x", failures: 6}, {name: "b1-x", otherCalls: 20}}},
		{"in-backoff", false, []fixture{{name: "a1-x", backoff: true}, {name: "a2-x"}}},
		{"warming-up", false, []fixture{{name: "a1-x", warmingUp: true}, {name: "a2-x"}}},
		{"limit-with-room", false, []fixture{{name: "a1-x", limit: 50, otherCalls: 2}, {name: "a2-x"}}},
		{"limit-reached", false, []fixture{{name: "a1-x", limit: 20, otherCalls: 2}, {name: "a2-x", otherCalls: 2}}},
		{"low-limit", false, []fixture{{name: "a1-own", limit: 2}, {name: "a1-x"}, {name: "b1-x"}}},
		{"all-limited", false, []fixture{{name: "a1-x", limit: 20, otherCalls: 4}, {name: "a2-x", limit: 20, otherCalls: 1}, {name: "b1-x", limit: 20}}},
		{"leaving", false, []fixture{{name: "a1-own", leaving: true}, {name: "b1-x", otherCalls: 50}}},
		{"single-endpoint", false, []fixture{{name: "b1-x", otherCalls: 50}}},
		{"no-endpoints", false, nil},
	}
	var out strings.Builder
	for _, c := range cases {
		in := Input{ExpectedServiceTime: 100 * time.Millisecond, Objective: 400 * time.Millisecond, Bulk: c.bulk, Now: now, Random: func(int) int { return 0 }}
		for _, f := range c.endpoints {
			in.Targets = append(in.Targets, f.target())
		}
		choice := Choose(in)
		name := "none"
		if choice.Target() != nil {
			name = choice.Target().Endpoint().Address()
		}
		fmt.Fprintf(&out, "%-31s %-7s wait %4d ms, max wait %5d ms, no alternative %v\n", c.name, name, choice.ExpectedWait().Milliseconds(), choice.MaxWait().Milliseconds(), choice.NoAlternative())
	}
	goldie.New(t).Assert(t, "choices", []byte(out.String()))
}

// TestExcluded guards against a second attempt at the endpoint that the first attempt used.
func TestExcluded(t *testing.T) {
	a, b := fixture{name: "a1-x"}.target(), fixture{name: "b1-x"}.target()
	in := Input{Targets: []*target.Target{a, b}, Exclude: []*target.Target{a}, ExpectedServiceTime: time.Second, Objective: time.Second, Now: now, Random: func(int) int { return 0 }}
	if c := Choose(in); c.Target() != b || !c.NoAlternative() {
		t.Errorf("Choose = %v, no alternative %v; want the endpoint that is not excluded, without an alternative", c.Target().Endpoint().Address(), c.NoAlternative())
	}
}

// leastOutstanding is the balancer to compare with: fewest outstanding calls, whatever the tier.
func leastOutstanding(ts []*target.Target) *target.Target {
	best := ts[0]
	for _, t := range ts {
		if t.Gauge().Outstanding() < best.Gauge().Outstanding() {
			best = t
		}
	}
	return best
}

// TestSlowEndpoint guards against a balancer that sends too many calls to a slow endpoint. It runs a steady load on
// three endpoints, one of which takes four times as long, with Choose and with leastOutstanding: with Choose the slow
// endpoint must get fewer calls, and the mean time must be lower.
func TestSlowEndpoint(t *testing.T) {
	run := func(choose func([]*target.Target, time.Time, func(int) int) *target.Target) (mean time.Duration, slow int) {
		ratios := []float64{4, 1, 1}
		var ts []*target.Target
		for i := range ratios {
			f := fixture{name: fmt.Sprintf("a1-%d", i), serviceTimeRatio: ratios[i]}
			ts = append(ts, f.target())
		}
		random := newRandom()
		type running struct {
			t     *target.Target
			start int64
			end   time.Time
		}
		var open []running
		var sum time.Duration
		const calls = 2000
		at := now
		for range calls {
			at = at.Add(8 * time.Millisecond)
			var remaining []running
			for _, r := range open {
				if r.end.After(at) {
					remaining = append(remaining, r)
				} else {
					r.t.Gauge().End(r.start)
				}
			}
			open = remaining
			x := choose(ts, at, random)
			i := 0
			for ts[i] != x {
				i++
			}
			if i == 0 {
				slow++
			}
			over := max(0, x.Gauge().Outstanding()+1-x.Endpoint().Slots())
			took := time.Duration(ratios[i] * float64(100*time.Millisecond) * (1 + float64(over)/10))
			sum += took
			open = append(open, running{x, x.Gauge().Begin(at), at.Add(took)})
		}
		return sum / calls, slow
	}
	chooseMean, chooseSlowCalls := run(func(ts []*target.Target, at time.Time, random func(int) int) *target.Target {
		return Choose(Input{Targets: ts, ExpectedServiceTime: 100 * time.Millisecond, Objective: 400 * time.Millisecond, Now: at, Random: random}).Target()
	})
	leastMean, leastSlowCalls := run(func(ts []*target.Target, _ time.Time, _ func(int) int) *target.Target { return leastOutstanding(ts) })
	t.Logf("mean time %v with %d calls at the slow endpoint; least outstanding: %v with %d", chooseMean, chooseSlowCalls, leastMean, leastSlowCalls)
	if chooseMean >= leastMean || chooseSlowCalls >= leastSlowCalls {
		t.Errorf("mean time %v with %d calls at the slow endpoint, least outstanding has %v with %d", chooseMean, chooseSlowCalls, leastMean, leastSlowCalls)
	}
}

// newRandom returns a fixed sequence of numbers.
func newRandom() func(int) int {
	state := uint32(1)
	return func(n int) int {
		state = state*1664525 + 1013904223
		return int(state>>8) % n
	}
}

// TestExplain guards against an explanation whose choice or scores are not those of Choose.
func TestExplain(t *testing.T) {
	fixtures := []fixture{
		{name: "a1-x", otherCalls: 12, failures: 1}, {name: "a1-y", otherCalls: 5, serviceTimeRatio: 1.5}, {name: "a2-x", backoff: true},
		{name: "b1-x", otherCalls: 1}, {name: "a1-own", leaving: true},
	}
	for _, even := range []bool{false, true} {
		in := Input{ExpectedServiceTime: 100 * time.Millisecond, Objective: 400 * time.Millisecond, Now: now, Even: even}
		in.Random = func(int) int { return 0 }
		for _, f := range fixtures {
			in.Targets = append(in.Targets, f.target())
		}
		e := Explain(in)
		if e.Choice() != Choose(in) {
			t.Errorf("even %v: the explained choice is %v, want %v", even, e.Choice(), Choose(in))
		}
		best := -1
		for i := range in.Targets {
			s, ok := e.Score(i)
			if ok && (best < 0 || s.Total() < e.scores[best].Total()) {
				best = i
			}
			if ok == in.Targets[i].Gauge().Leaving() {
				t.Errorf("even %v: %s has a score: %v", even, fixtures[i].name, ok)
			}
		}
		if in.Targets[best] != e.Choice().Target() || e.scores[best].Wait != e.Choice().ExpectedWait() {
			t.Errorf("even %v: the lowest score is that of %s, the choice is %s", even, fixtures[best].name, e.Choice().Target().Endpoint().Address())
		}
	}
}
