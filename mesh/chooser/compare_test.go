package chooser

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"wisteriaspoke.example/mesh/sampler"
)

// alternatives are the choices that the test compares.
var alternatives = []struct {
	name   string
	choose func(Input) Choice
}{
	{"present", Choose},
	{"even", func(in Input) Choice {
		in.Even = true
		return Choose(in)
	}},
	{"lowest projected load", evenWith([sampler.Groups]int{0, 8, 8, 8}, 1)},
	{"best of two at random", evenWith([sampler.Groups]int{0, 2, 1, 1}, 1)},
	{"two best of three at random", evenWith([sampler.Groups]int{0, 3, 1, 1}, 2)},
	{"weights by free capacity", chooseByFreeCapacity},
}

func evenWith(sizes [sampler.Groups]int, best int) func(Input) Choice {
	e := defaultEvenSettings
	e.sizes, e.best = sizes, best
	return e.choose
}

// chooseByFreeCapacity draws an endpoint with a weight that is its free slots, less for a costly tier or a failing endpoint.
func chooseByFreeCapacity(in Input) Choice {
	loads := projectLoads(in)
	weights, sum := make([]float64, len(in.Targets)), 0.0
	for i, t := range in.Targets {
		if excluded(t, in) {
			continue
		}
		s := defaultEvenSettings.score(t, in, &loads)
		cost := float64(s.Tier+s.Failures+s.Backoff+s.Ejected) / (0.1 * float64(in.ExpectedServiceTime))
		weights[i] = max(0.02, 1-s.Utilisation) * math.Exp(-cost)
		sum += weights[i]
	}
	x := sum * float64(in.Random(1<<30)) / (1 << 30)
	for i, w := range weights {
		if x -= w; w > 0 && x < 0 {
			s := defaultEvenSettings.score(in.Targets[i], in, &loads)
			return Choice{target: in.Targets[i], expectedWait: s.Wait, maxWait: max(s.Wait, in.ExpectedServiceTime/10)}
		}
	}
	return Choice{noAlternative: true}
}

// run returns the outcome of several seeds.
func run(load float64, demand [dataCentres]float64, seeds int, choose func(Input) Choice) (o outcome) {
	for seed := range seeds {
		r := simulate(load, demand, uint64(seed+1), choose)
		n := float64(seeds)
		o.ratio, o.capacityRatio, o.windowRatio = o.ratio+r.ratio/n, o.capacityRatio+r.capacityRatio/n, o.windowRatio+r.windowRatio/n
		o.centreRatio += r.centreRatio / n
		o.waits, o.times = append(o.waits, r.waits...), append(o.times, r.times...)
		o.requests, o.refused, o.sends = o.requests+r.requests, o.refused+r.refused, o.sends+r.sends
		o.otherCentre, o.remote = o.otherCentre+r.otherCentre, o.remote+r.remote
	}
	slices.Sort(o.waits)
	slices.Sort(o.times)
	return o
}

func (o outcome) share(n, of int) float64 { return 100 * float64(n) / float64(of) }

func (o outcome) String() string {
	return fmt.Sprintf("%5.2f %6.2f %8.2f %6.2f | %4.0f %4.0f %8.0f | %6.2f%% | %5.1f%% %5.2f%%",
		o.ratio, o.windowRatio, o.capacityRatio, o.centreRatio, quantile(o.waits, 0.5), quantile(o.waits, 0.99),
		quantile(o.times, 0.99), o.share(o.refused, o.requests), o.share(o.otherCentre, o.sends), o.share(o.remote, o.sends))
}

// A scenario is a load of the simulated fleet. All tests share the outcomes of its runs.
type scenario struct {
	name         string
	load         float64
	demand       [dataCentres]float64
	overloads    bool // a region's load exceeds its capacity
	alternatives int  // number of the alternatives that are compared
	done         []outcome
}

var scenarios = []*scenario{
	{"uneven demand, load 0.50", 0.5, unevenDemand, false, 2, nil},
	{"uneven demand, load 0.80", 0.8, unevenDemand, true, len(alternatives), nil},
	{"uneven demand, load 0.95", 0.95, unevenDemand, true, 2, nil},
	{"even demand, load 0.80", 0.8, evenDemand, false, 2, nil},
}

// outcomes runs the first n alternatives that have not run yet.
func (c *scenario) outcomes(n int) []outcome {
	const seeds = 1
	for len(c.done) < n {
		c.done = append(c.done, run(c.load, c.demand, seeds, alternatives[len(c.done)].choose))
	}
	return c.done[:n]
}

// TestLoad guards against LOAD: 80 nodes that all send to the endpoint that looked idle by reports up to three seconds old.
// Compared with the present choice, the even one must have a lower ratio of the maximum to the mean, no more refusals and
// no more calls to other data centres and regions, and half the 99th percentile of the wait where the load of no region
// exceeds its capacity. The columns are: the ratio by slots of calls in progress, sampled; the same of means over a second;
// by slots over speed; within the data centres; the wait for a slot (median, 99th percentile) and the 99th percentile of the
// time until the answer in milliseconds; refused requests; sends to other data centres and to other regions.
func TestLoad(t *testing.T) {
	var out strings.Builder
	for _, c := range scenarios {
		fmt.Fprintf(&out, "%-27s | ratio second capacity centre | wait  p99 time p99 | refused | centre region\n", c.name)
		outcomes := c.outcomes(c.alternatives)
		for i, o := range outcomes {
			fmt.Fprintf(&out, "%-27s | %v\n", alternatives[i].name, o)
		}
		before, after := outcomes[0], outcomes[1]
		switch {
		case after.ratio >= before.ratio, after.centreRatio >= before.centreRatio:
			t.Errorf("%s: the ratio does not fall", c.name)
		case after.share(after.refused, after.requests) > before.share(before.refused, before.requests):
			t.Errorf("%s: more requests are refused", c.name)
		case after.share(after.otherCentre, after.sends) > before.share(before.otherCentre, before.sends),
			after.share(after.remote, after.sends) > before.share(before.remote, before.sends):
			t.Errorf("%s: more calls leave the data centre or the region", c.name)
		case !c.overloads && 2*quantile(after.waits, 0.99) > quantile(before.waits, 0.99):
			t.Errorf("%s: the 99th percentile of the wait is not halved", c.name)
		}
	}
	goldie.New(t).Assert(t, "load", []byte(out.String()))
}

// TestLoadTargets checks the targets of docs/design/README.md, section E, in all scenarios: a ratio of the maximum to the mean
// of 1.3 or less, and half the 99th percentile of the wait. It is listed in KNOWN-RED.txt.
func TestLoadTargets(t *testing.T) {
	const targetRatio = 1.3
	for _, c := range scenarios {
		outcomes := c.outcomes(2)
		before, after := outcomes[0], outcomes[1]
		if after.ratio > targetRatio {
			t.Errorf("%s: the ratio is %.2f, the target is %.1f", c.name, after.ratio, targetRatio)
		}
		was, is := quantile(before.waits, 0.99), quantile(after.waits, 0.99)
		if 2*is > was {
			t.Errorf("%s: the 99th percentile of the wait falls from %.0f to %.0f ms only", c.name, was, is)
		}
	}
}

// TestEvenChoices guards against an even choice that draws an endpoint that is ejected, in backoff, failing, warming up or far
// away while a good one is near, in services with few endpoints.
func TestEvenChoices(t *testing.T) {
	cases := []struct {
		name      string
		endpoints []fixture
	}{
		{"equal", []fixture{{name: "a1-x"}, {name: "a1-y"}}},
		{"other-data-centre", []fixture{{name: "a1-x"}, {name: "a2-x"}, {name: "b1-x"}}},
		{"full-data-centre", []fixture{{name: "a1-x", otherCalls: 12}, {name: "a2-x", otherCalls: 3}}},
		{"ejected", []fixture{{name: "a1-x", failures: 6}, {name: "a1-y"}}},
		{"ejected-alone-in-data-centre", []fixture{{name: "a1-x", failures: 6}, {name: "a2-x"}}},
		{"in-backoff", []fixture{{name: "a1-x", backoff: true}, {name: "a1-y"}}},
		{"in-backoff-and-full", []fixture{{name: "a1-x", backoff: true}, {name: "a1-y", otherCalls: 12}}},
		{"failing", []fixture{{name: "a1-x", failures: 3}, {name: "a1-y"}}},
		{"warming-up", []fixture{{name: "a1-x", warmingUp: true}, {name: "a1-y"}}},
		{"leaving", []fixture{{name: "a1-own", leaving: true}, {name: "b1-x", otherCalls: 50}}},
		{"none", nil},
	}
	var out strings.Builder
	for _, c := range cases {
		counts := map[string]int{}
		in := Input{ExpectedServiceTime: 100 * time.Millisecond, Objective: 400 * time.Millisecond, Now: now, Even: true}
		in.Random = rand.New(rand.NewPCG(1, 1)).IntN
		for _, f := range c.endpoints {
			in.Targets = append(in.Targets, f.target())
		}
		for range 1000 {
			if t := Choose(in).Target(); t != nil {
				counts[t.Endpoint().Address()]++
			}
		}
		fmt.Fprintf(&out, "%-29s %v\n", c.name, counts)
	}
	goldie.New(t).Assert(t, "even", []byte(out.String()))
}
