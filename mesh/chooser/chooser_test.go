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

// place is one endpoint of a case.
type place struct {
	name     string // node; the data centre is its first word, the region that one's first letter
	pace     float64
	load     int // calls of other nodes, just reported
	own      int // calls of this node that began age ago
	age      time.Duration
	failures int
	held     bool
	cold     bool
}

func (p place) target() *target.Target {
	centre, _, _ := strings.Cut(p.name, "-")
	f := endpoint.Fields{Address: p.name, Service: "s", Version: "v1", DataCentre: centre, Region: centre[:1], Slots: 10, State: endpoint.Ready}
	if p.cold {
		f.WarmupEnd = now.Add(time.Second)
	}
	g := gauge.New(now.Add(-time.Minute))
	for range p.own {
		g.Begin(now.Add(-p.age))
	}
	for range p.failures {
		g.RecordFailure(now)
	}
	if p.load > 0 {
		g.RecordLoad(p.load+p.own, now)
	}
	if p.pace > 0 {
		g.SetServiceTimeRatio(p.pace)
	}
	if p.held {
		g.BackOff(now.Add(time.Second))
	}
	return target.New(endpoint.New(f), g, "a1-own", "a1", "a")
}

// TestChoices guards against calls that leave their data centre without need, and against calls that stay where they
// would be late. The node is a1-own, in region a; calls usually take 100 ms and aim at 400 ms.
func TestChoices(t *testing.T) {
	cases := []struct {
		name   string
		bulky  bool
		places []place
	}{
		{"quiet-day", false, []place{{name: "b1-x"}, {name: "a2-x"}, {name: "a1-x"}}},
		{"own-host-first", false, []place{{name: "a1-own"}, {name: "a1-x"}}},
		{"slow-near-endpoint", false, []place{{name: "a1-x", pace: 3}, {name: "a2-x"}, {name: "b1-x"}}},
		{"slightly-slow-stays", false, []place{{name: "a1-x", pace: 1.05}, {name: "a2-x", pace: 0.95}}},
		{"full-data-centre", false, []place{{name: "a1-x", load: 12}, {name: "a2-x", load: 3}, {name: "b1-x"}}},
		{"full-region", false, []place{{name: "a1-x", load: 30}, {name: "a2-x", load: 30}, {name: "b1-x", load: 2}}},
		{"crowd-everywhere-stays", false, []place{{name: "a1-x", load: 20}, {name: "a2-x", load: 20}, {name: "b1-x"}}},
		{"upload-waits-near", true, []place{{name: "a1-x", load: 12}, {name: "a2-x", load: 3}, {name: "b1-x"}}},
		{"upload-leaves-full-data-centre", true, []place{{name: "a1-x", load: 40}, {name: "a2-x", load: 3}, {name: "b1-x"}}},
		{"upload-stays-in-region", true, []place{{name: "a1-x", load: 30}, {name: "a2-x", load: 30}, {name: "b1-x", load: 1}}},
		{"stuck-calls", false, []place{{name: "a1-x", own: 2, age: 900 * time.Millisecond}, {name: "a2-x"}}},
		{"one-long-call-among-many", false, []place{{name: "a1-x", own: 4, age: 90 * time.Millisecond}, {name: "a2-x", pace: 1.2}}},
		{"failing-endpoint", false, []place{{name: "a1-x", failures: 3}, {name: "a2-x"}}},
		{"ejected-endpoint", false, []place{{name: "a1-x", failures: 6}, {name: "b1-x", load: 20}}},
		{"refused-just-now", false, []place{{name: "a1-x", held: true}, {name: "a2-x"}}},
		{"cold-endpoint", false, []place{{name: "a1-x", cold: true}, {name: "a2-x"}}},
		{"only-one", false, []place{{name: "b1-x", load: 50}}},
		{"none", false, nil},
	}
	var out strings.Builder
	for _, c := range cases {
		q := Input{ExpectedServiceTime: 100 * time.Millisecond, Objective: 400 * time.Millisecond, Bulk: c.bulky, Now: now, Random: func(int) int { return 0 }}
		for _, p := range c.places {
			q.Targets = append(q.Targets, p.target())
		}
		choice := Choose(q)
		name := "nobody"
		if choice.Target() != nil {
			name = choice.Target().Endpoint().Address()
		}
		fmt.Fprintf(&out, "%-31s %-7s wait %4d ms, patience %4d ms, only %v\n", c.name, name, choice.ExpectedWait().Milliseconds(), choice.MaxWait().Milliseconds(), choice.NoAlternative())
	}
	goldie.New(t).Assert(t, "choices", []byte(out.String()))
}

// TestExcluded guards against a second attempt at the endpoint of the first.
func TestExcluded(t *testing.T) {
	a, b := place{name: "a1-x"}.target(), place{name: "b1-x"}.target()
	q := Input{Targets: []*target.Target{a, b}, Exclude: []*target.Target{a}, ExpectedServiceTime: time.Second, Objective: time.Second, Now: now, Random: func(int) int { return 0 }}
	if c := Choose(q); c.Target() != b || !c.NoAlternative() {
		t.Errorf("Choose = %v, only %v; want the other endpoint as the only one", c.Target().Endpoint().Address(), c.NoAlternative())
	}
}

// naive is the balancer that is compared with: least outstanding calls, wherever they are.
func naive(ts []*target.Target) *target.Target {
	best := ts[0]
	for _, t := range ts {
		if t.Gauge().Outstanding() < best.Gauge().Outstanding() {
			best = t
		}
	}
	return best
}

// TestSlowEndpoint replays a steady load on three endpoints, one of which takes four times as long, against the least
// outstanding calls in the same run: the slow one must get a smaller part, and the mean time must be lower.
func TestSlowEndpoint(t *testing.T) {
	run := func(choose func([]*target.Target, time.Time, func(int) int) *target.Target) (mean time.Duration, slow int) {
		paces := []float64{4, 1, 1}
		var ts []*target.Target
		for i := range paces {
			p := place{name: fmt.Sprintf("a1-%d", i), pace: paces[i]}
			ts = append(ts, p.target())
		}
		random := newRandom()
		type running struct {
			t    *target.Target
			mark int64
			end  time.Time
		}
		var open []running
		var sum time.Duration
		const calls = 2000
		at := now
		for range calls {
			at = at.Add(8 * time.Millisecond)
			var still []running
			for _, r := range open {
				if r.end.After(at) {
					still = append(still, r)
				} else {
					r.t.Gauge().End(r.mark)
				}
			}
			open = still
			x := choose(ts, at, random)
			i := 0
			for ts[i] != x {
				i++
			}
			if i == 0 {
				slow++
			}
			over := max(0, x.Gauge().Outstanding()+1-x.Endpoint().Slots())
			took := time.Duration(paces[i] * float64(100*time.Millisecond) * (1 + float64(over)/10))
			sum += took
			open = append(open, running{x, x.Gauge().Begin(at), at.Add(took)})
		}
		return sum / calls, slow
	}
	ours, oursSlow := run(func(ts []*target.Target, at time.Time, random func(int) int) *target.Target {
		return Choose(Input{Targets: ts, ExpectedServiceTime: 100 * time.Millisecond, Objective: 400 * time.Millisecond, Now: at, Random: random}).Target()
	})
	theirs, theirsSlow := run(func(ts []*target.Target, _ time.Time, _ func(int) int) *target.Target { return naive(ts) })
	t.Logf("mean time %v with %d calls at the slow endpoint; least outstanding: %v with %d", ours, oursSlow, theirs, theirsSlow)
	if ours >= theirs || oursSlow >= theirsSlow {
		t.Errorf("mean time %v with %d calls at the slow endpoint, least outstanding has %v with %d", ours, oursSlow, theirs, theirsSlow)
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
