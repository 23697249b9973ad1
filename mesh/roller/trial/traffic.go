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
	batchPeriod  = 100 * time.Millisecond
	reportPeriod = time.Second
	// latencySpread is the standard deviation of the logarithm of latencies; the p95 is then 2.7 times the median.
	latencySpread = 0.6
	// p95ToMedian is the ratio of the 95th percentile to the median.
	p95ToMedian = 2.683
)

// Call holds the properties of a call that a model may depend on.
type Call struct {
	Route          string
	SinceRequest   time.Duration // since the request for the rollout
	SinceFirstCall time.Duration // since the new version's first call
	Permille       int           // share of the new version at the caller
}

// Model describes the behaviour of one version.
type Model struct {
	FailureProbability func(Call) float64
	MedianLatency      func(Call) float64 // in milliseconds
}

// ConstantModel returns a model with constant values.
func ConstantModel(failure, median float64) Model {
	return Model{
		FailureProbability: func(Call) float64 { return failure },
		MedianLatency:      func(Call) float64 { return median },
	}
}

// callTotals counts calls and failures.
type callTotals struct{ calls, failures int }

// traffic makes calls from every node.
type traffic struct {
	trial            *Trial
	rand             *rand.Rand
	routes           []string
	weights          []float64
	shares           map[string]share.Share
	rejectedRollouts map[string]string // identifier of the rollout with a verdict, by node
	unreported       callCountsByKey   // by node
	nextReport       map[string]time.Time
	firstNewCall     time.Time
	latestNewCall    time.Time
	calls            uint64
	harmed           uint64
	newTotals        callTotals // of the new version, for the baseline
	// shadowJudge receives all calls without delay, to measure when the evidence existed.
	shadowJudge    *judge.Judge
	shadowSums     callCountsByKey // by region
	evidentAt      time.Time
	shadowPermille int // share of the shadow judge's step
}

func newTraffic(t *Trial) *traffic {
	f := &traffic{
		trial: t, rand: t.newRand(2), shares: map[string]share.Share{}, rejectedRollouts: map[string]string{},
		unreported: callCountsByKey{}, nextReport: map[string]time.Time{}, shadowJudge: judge.New(From, To),
		shadowSums: callCountsByKey{},
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

func (t *Trial) handlePublish(now time.Time, node string, value any) {
	switch v := value.(type) {
	case config.Config:
		t.traffic.shares[node] = v.Shares()[Service]
		t.oracle.checkPublished(node, v.Shares()[Service])
	case verdict.Verdict:
		if !t.IgnoreVerdicts {
			t.traffic.rejectedRollouts[node] = v.Rollout()
		}
		t.oracle.verdictReached(now)
	}
}

func (f *traffic) makeCalls() {
	now := f.trial.sim.Now()
	nodes := f.trial.sim.Nodes()
	each := f.trial.Rate * batchPeriod.Seconds() / float64(len(nodes))
	for _, n := range nodes {
		if !f.trial.fleet.isRunning(n) {
			continue
		}
		for range poisson(f.rand, each) {
			f.makeCall(now, n)
		}
		f.reportOutcomes(now, n)
	}
	f.runShadowJudge(now)
}

func poisson(r *rand.Rand, mean float64) int {
	limit, n := math.Exp(-mean), 0
	for p := r.Float64(); p > limit; p *= r.Float64() {
		n++
	}
	return n
}

func (f *traffic) makeCall(now time.Time, node string) {
	s := f.shares[node]
	toCandidate := s.Candidate() != "" && f.rejectedRollouts[node] != s.Rollout() &&
		f.rand.IntN(share.FullPermille) < s.Permille()
	version := From
	if toCandidate || s.Stable() == To {
		version = To
	}
	c := Call{Route: f.randomRoute(), SinceRequest: now.Sub(f.trial.requestedAt), Permille: s.Permille()}
	if version == To {
		if f.firstNewCall.IsZero() {
			f.firstNewCall = now
		}
		c.SinceFirstCall = now.Sub(f.firstNewCall)
		f.latestNewCall = now
		f.trial.oracle.checkCall(now, node)
	}
	f.finishCall(node, version, c)
}

func (f *traffic) randomRoute() string {
	u := f.rand.Float64() * f.weights[len(f.weights)-1]
	i, _ := slices.BinarySearch(f.weights, u)
	return f.routes[min(i, len(f.routes)-1)]
}

// finishCall draws the outcome of a call. Both versions use the same random numbers, so a call is harmed if it fails or
// is slow only at the new version.
func (f *traffic) finishCall(node, version string, c Call) {
	u, z := f.rand.Float64(), math.Exp(latencySpread*f.rand.NormFloat64())
	old := f.trial.Old
	m := old
	if version == To {
		m = f.trial.New
	}
	failed, took := u < m.FailureProbability(c), m.MedianLatency(c)*z
	if !f.trial.requestedAt.IsZero() && !f.trial.oracle.finished {
		f.calls++
	}
	if version == To {
		f.newTotals.calls++
		if failed {
			f.newTotals.failures++
		}
		limit := p95ToMedian * old.MedianLatency(c)
		bad := failed && u >= old.FailureProbability(c)
		late := took > limit && old.MedianLatency(c)*z <= limit
		if bad || late {
			f.harmed++
		}
	}
	f.record(node, version, c.Route, failed, took)
}

// callCounts holds the counts of calls of one version on one route.
type callCounts struct {
	calls, failures uint64
	latency         [outcome.Buckets]uint64
}

func (s *callCounts) add(failed bool, bucket int) {
	s.calls++
	if failed {
		s.failures++
	}
	s.latency[bucket]++
}

func (s *callCounts) outcome(k outcome.Key) outcome.Outcome {
	return outcome.New(k, s.calls, s.failures, 0, 0, s.latency)
}

// countKey identifies calls that are counted together. The location is a node, or a region for the shadow judge.
type countKey struct{ location, version, route string }

type callCountsByKey map[countKey]*callCounts

func (s callCountsByKey) get(k countKey) *callCounts {
	found := s[k]
	if found == nil {
		found = &callCounts{}
		s[k] = found
	}
	return found
}

func (f *traffic) record(node, version, route string, failed bool, took float64) {
	b := bucket(took)
	f.unreported.get(countKey{node, version, route}).add(failed, b)
	f.shadowSums.get(countKey{f.trial.sim.Config(node).Region, version, route}).add(failed, b)
}

func bucket(ms float64) int {
	for i := range outcome.Buckets - 1 {
		if ms < float64(int(1)<<i) {
			return i
		}
	}
	return outcome.Buckets - 1
}

// reportOutcomes raises the outcomes of a node once a second.
func (f *traffic) reportOutcomes(now time.Time, node string) {
	if f.nextReport[node].IsZero() {
		f.nextReport[node] = now.Add(time.Duration(f.rand.Int64N(int64(reportPeriod))))
	}
	if now.Before(f.nextReport[node]) {
		return
	}
	f.nextReport[node] = now.Add(reportPeriod)
	region := f.trial.sim.Config(node).Region
	var os []outcome.Outcome
	for _, version := range []string{From, To} {
		for _, route := range f.routes {
			k := countKey{node, version, route}
			if s := f.unreported[k]; s != nil {
				os = append(os, s.outcome(outcome.Key{Service: Service, Version: version, Route: route, Region: region}))
				delete(f.unreported, k)
			}
		}
	}
	f.trial.sim.Inject(node, event.NewLocal(event.Outcomes, os))
}

// runShadowJudge passes the calls of all nodes to the shadow judge without delay.
func (f *traffic) runShadowJudge(now time.Time) {
	if s := newVersionPermille(f.trial.oracle.share); s != f.shadowPermille {
		f.shadowPermille = s
		f.shadowJudge.StartStep(s)
	}
	if f.firstNewCall.IsZero() || !f.evidentAt.IsZero() {
		clear(f.shadowSums)
		return
	}
	var strata []judge.StratumOutcomes
	for _, route := range f.routes {
		for _, region := range regions {
			k := outcome.Key{Service: Service, Route: route, Region: region}
			c := judge.StratumOutcomes{Route: route, EndpointRegion: region, CallerRegion: region}
			c.New = f.shadowSums.get(countKey{region, To, route}).outcome(k)
			c.Old = f.shadowSums.get(countKey{region, From, route}).outcome(k)
			strata = append(strata, c)
		}
	}
	clear(f.shadowSums)
	f.shadowJudge.Add(now, strata)
	if f.shadowJudge.Result().Finding() == judge.Bad {
		f.evidentAt = now
	}
}
