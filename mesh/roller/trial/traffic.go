package trial

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"wisteriaspoke.example/mesh/config"
	"wisteriaspoke.example/mesh/event"
	"wisteriaspoke.example/mesh/judge"
	"wisteriaspoke.example/mesh/outcome"
	"wisteriaspoke.example/mesh/share"
	"wisteriaspoke.example/mesh/verdict"
)

const (
	batch        = 100 * time.Millisecond
	reportPeriod = time.Second
	// spread is the standard deviation of the logarithm of latencies; the p95 is then 2.7 times the median.
	spread = 0.6
	// p95 is the ratio of the 95th percentile to the median.
	p95 = 2.683
)

// Call is what a model may depend on.
type Call struct {
	Route          string
	SinceRequest   time.Duration // since the request for the rollout
	SinceFirstCall time.Duration // since the new version's first call
	Permille       int           // share of the new version at the caller
}

// Model is how one version behaves.
type Model struct {
	FailureProbability func(Call) float64 // chance of a failure
	MedianLatency      func(Call) float64 // latency in milliseconds
}

// ConstantModel returns a model with constant values.
func ConstantModel(failure, median float64) Model {
	return Model{
		FailureProbability: func(Call) float64 { return failure },
		MedianLatency:      func(Call) float64 { return median },
	}
}

// tally counts calls and failures.
type tally struct{ calls, failures int }

// traffic makes calls from every node.
type traffic struct {
	trial   *Trial
	rand    *rand.Rand
	routes  []string
	weights []float64
	shares  map[string]share.Share
	blocked map[string]string // rollout by node
	pending sums              // by node
	phase   map[string]time.Time
	first   time.Time // first call of the new version
	latest  time.Time // latest call of the new version
	calls   uint64
	harmed  uint64
	fresh   tally // calls of the new version, for the baseline
	// shadow judges all calls as they are made, to tell when the evidence existed.
	shadow  *judge.Judge
	shadows sums // by region
	evident time.Time
	judged  int // share of the shadow judge's step
}

func newTraffic(t *Trial) *traffic {
	f := &traffic{
		trial: t, rand: t.rand(2), shares: map[string]share.Share{}, blocked: map[string]string{},
		pending: sums{}, phase: map[string]time.Time{}, shadow: judge.New(From, To), shadows: sums{},
	}
	for r := range t.Routes {
		f.routes = append(f.routes, r)
	}
	slices.Sort(f.routes)
	total := 0.0
	for _, r := range f.routes {
		total += t.Routes[r]
		f.weights = append(f.weights, total)
	}
	return f
}

func (t *Trial) published(now time.Time, node string, value any) {
	switch v := value.(type) {
	case config.Config:
		t.traffic.shares[node] = v.Shares()[Service]
		t.oracle.inForce(node, v.Shares()[Service])
	case verdict.Verdict:
		if !t.IgnoreVerdicts {
			t.traffic.blocked[node] = v.Rollout()
		}
		t.oracle.judged(now)
	}
}

func (f *traffic) make() {
	now := f.trial.sim.Now()
	nodes := f.trial.sim.Nodes()
	each := f.trial.Rate * batch.Seconds() / float64(len(nodes))
	for _, n := range nodes {
		if !f.trial.fleet.runs(n) {
			continue
		}
		for range poisson(f.rand, each) {
			f.call(now, n)
		}
		f.flush(now, n)
	}
	f.observe(now)
}

func poisson(r *rand.Rand, mean float64) int {
	limit, n := math.Exp(-mean), 0
	for p := r.Float64(); p > limit; p *= r.Float64() {
		n++
	}
	return n
}

func (f *traffic) call(now time.Time, node string) {
	s := f.shares[node]
	fresh := s.Candidate() != "" && f.blocked[node] != s.Rollout() && f.rand.IntN(share.FullPermille) < s.Permille()
	version := From
	if fresh || s.Stable() == To {
		version = To
	}
	c := Call{Route: f.route(), SinceRequest: now.Sub(f.trial.asked), Permille: s.Permille()}
	if version == To {
		if f.first.IsZero() {
			f.first = now
		}
		c.SinceFirstCall = now.Sub(f.first)
		f.latest = now
		f.trial.oracle.called(now, node)
	}
	f.finish(node, version, c)
}

func (f *traffic) route() string {
	u := f.rand.Float64() * f.weights[len(f.weights)-1]
	i, _ := slices.BinarySearch(f.weights, u)
	return f.routes[min(i, len(f.routes)-1)]
}

// finish draws the outcome. Both versions use the same draws, so a call is harmed if the old version would have served it.
func (f *traffic) finish(node, version string, c Call) {
	u, z := f.rand.Float64(), math.Exp(spread*f.rand.NormFloat64())
	old := f.trial.Old
	m := old
	if version == To {
		m = f.trial.New
	}
	failed, took := u < m.FailureProbability(c), m.MedianLatency(c)*z
	if !f.trial.asked.IsZero() && !f.trial.oracle.finished {
		f.calls++
	}
	if version == To {
		f.fresh.calls++
		if failed {
			f.fresh.failures++
		}
		limit := p95 * old.MedianLatency(c)
		bad := failed && u >= old.FailureProbability(c)
		late := took > limit && old.MedianLatency(c)*z <= limit
		if bad || late {
			f.harmed++
		}
	}
	f.record(node, version, c.Route, failed, took)
}

// sum counts the calls of one version on one route.
type sum struct {
	calls, failures uint64
	latency         [outcome.Buckets]uint64
}

func (s *sum) add(failed bool, bucket int) {
	s.calls++
	if failed {
		s.failures++
	}
	s.latency[bucket]++
}

func (s *sum) outcome(k outcome.Key) outcome.Outcome {
	return outcome.New(k, s.calls, s.failures, 0, 0, s.latency)
}

// sumKey is a place where calls are counted: a node, or a region for the shadow judge.
type sumKey struct{ place, version, route string }

type sums map[sumKey]*sum

func (s sums) at(k sumKey) *sum {
	found := s[k]
	if found == nil {
		found = &sum{}
		s[k] = found
	}
	return found
}

func (f *traffic) record(node, version, route string, failed bool, took float64) {
	b := bucket(took)
	f.pending.at(sumKey{node, version, route}).add(failed, b)
	f.shadows.at(sumKey{f.trial.sim.Config(node).Region, version, route}).add(failed, b)
}

func bucket(ms float64) int {
	for i := range outcome.Buckets - 1 {
		if ms < float64(int(1)<<i) {
			return i
		}
	}
	return outcome.Buckets - 1
}

// flush raises the outcomes of a node once a second.
func (f *traffic) flush(now time.Time, node string) {
	if f.phase[node].IsZero() {
		f.phase[node] = now.Add(time.Duration(f.rand.Int64N(int64(reportPeriod))))
	}
	if now.Before(f.phase[node]) {
		return
	}
	f.phase[node] = now.Add(reportPeriod)
	region := f.trial.sim.Config(node).Region
	var os []outcome.Outcome
	for _, version := range []string{From, To} {
		for _, route := range f.routes {
			k := sumKey{node, version, route}
			if s := f.pending[k]; s != nil {
				os = append(os, s.outcome(outcome.Key{Service: Service, Version: version, Route: route, Region: region}))
				delete(f.pending, k)
			}
		}
	}
	f.trial.sim.Inject(node, event.NewLocal(event.Outcomes, os))
}

// observe gives the calls of all nodes to the shadow judge without delay.
func (f *traffic) observe(now time.Time) {
	if s := reach(f.trial.oracle.share); s != f.judged {
		f.judged = s
		f.shadow.StartStep(s)
	}
	if f.first.IsZero() || !f.evident.IsZero() {
		clear(f.shadows)
		return
	}
	var cells []judge.StratumOutcomes
	for _, route := range f.routes {
		for _, region := range regions {
			k := outcome.Key{Service: Service, Route: route, Region: region}
			c := judge.StratumOutcomes{Route: route, EndpointRegion: region, CallerRegion: region}
			c.New = f.shadows.at(sumKey{region, To, route}).outcome(k)
			c.Old = f.shadows.at(sumKey{region, From, route}).outcome(k)
			cells = append(cells, c)
		}
	}
	clear(f.shadows)
	f.shadow.Add(now, cells)
	if f.shadow.Result().Finding() == judge.Bad {
		f.evident = now
	}
}
