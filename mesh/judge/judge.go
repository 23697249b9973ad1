package judge

import (
	"fmt"
	"math"
	"slices"
	"time"

	"wisteriaspoke.example/mesh/rollout"
	"wisteriaspoke.example/mesh/share"
)

const (
	// falseBad is the chance that a good version is called bad within the horizon, over all tests together.
	falseBad = 0.01
	// falseGood is the chance, at each step, that a bad version is called good.
	falseGood = 0.01
	// horizon is the number of windows for which falseBad holds: 10 minutes at two windows a second. Each window may
	// start a new alarm, so the limit grows with the logarithm of their number.
	horizon = 1200

	// toleratedFailures is the rate of additional failures that is no reason to take a version back: half of the 1% of
	// calls that a rollout may harm. It is also the floor of the old rate; without it one failure against none would
	// already be infinitely worse.
	toleratedFailures = 0.005
	// failureRatio is the smallest ratio that is called bad. With the tolerated rate, a version that fails 1.5% of calls
	// beside a faultless one is bad; a lower ratio would need several times as many calls at each step.
	failureRatio = 3
	// toleratedSlow is the additional share of calls above the old p95; latency moves by some percent between hosts.
	toleratedSlow = 0.05
	// slowRatio finds a version that is twice as slow, which moves its latencies by one bucket.
	slowRatio = 2

	// troubled is the old version's rate of failures above which a window says nothing in favour of the new version:
	// a version that looks equal during an outage is unproven.
	troubled = 0.05
	// coldStart is how long the calls of a fresh endpoint do not count for slowness; its failures count at once.
	coldStart = 10 * time.Second
	// leastCalls is the fewest calls of the new version for any finding in its favour, in all and on each route.
	leastCalls = 30
	// rareShare is the share of calls below which a route is not waited for; its tests go on at all later shares.
	rareShare = 0.01
)

// Judge accumulates evidence on one rollout.
type Judge struct {
	from, to  string
	whole     bool // the new version has the whole share
	all       pair
	routes    map[string]*pair
	baselines map[stratum]*baseline
	first     map[string]time.Time // first calls of the new version by region
	last      tally                // calls in the latest window, for the share in force
	bad       *Result
	probe     *probe
	patience  time.Duration
}

// pair holds the tests and counts of one route, or of all.
type pair struct {
	failures, slow test
	total          tally
}

func newPair() pair {
	return pair{
		failures: test{ratio: failureRatio, tolerated: toleratedFailures},
		slow:     test{ratio: slowRatio, tolerated: toleratedSlow},
	}
}

// New returns a judge without evidence on the change between two versions.
func New(from, to string) *Judge {
	return &Judge{
		from: from, to: to, all: newPair(), routes: map[string]*pair{},
		baselines: map[stratum]*baseline{}, first: map[string]time.Time{},
	}
}

// StartStep starts the evidence for the next share, in thousandths. Evidence against the new version is kept.
func (j *Judge) StartStep(permille int) {
	j.whole = permille >= share.FullPermille
	j.all.failures.step()
	j.all.slow.step()
	for _, p := range j.routes {
		p.failures.step()
		p.slow.step()
	}
}

// Add takes the counts of one window, at most one cell for each stratum.
func (j *Judge) Add(at time.Time, cells []StratumOutcomes) {
	if j.bad != nil {
		return
	}
	calm, alone := !inTrouble(cells), j.whole && withoutOld(cells)
	sums := map[string]*sum{}
	all := &sum{}
	for _, c := range cells {
		s := sums[c.Route]
		if s == nil {
			s = &sum{}
			sums[c.Route] = s
		}
		j.measure(at, c, alone, all, s)
	}
	j.all.take(all, calm)
	for route, s := range sums {
		p := j.routes[route]
		if p == nil {
			fresh := newPair()
			p = &fresh
			j.routes[route] = p
		}
		p.take(s, calm)
	}
	j.last = all.failures
	if j.probe == nil {
		j.convict(at, alone)
		return
	}
	if !alone {
		j.probe.add(all, sums)
	}
	j.decide(at)
}

// sum is the evidence of one window over several strata.
type sum struct {
	failures, slow       tally
	failureLLR, slowness float64
}

func (p *pair) take(s *sum, calm bool) {
	p.total = p.total.plus(s.failures)
	p.failures.add(s.failureLLR, s.failures, calm)
	p.slow.add(s.slowness, s.slow, calm)
}

func inTrouble(cells []StratumOutcomes) bool {
	var t tally
	for _, c := range cells {
		t = t.plus(failures(c))
	}
	return t.oldHits > troubled*t.oldCalls && t.oldHits > 1
}

func withoutOld(cells []StratumOutcomes) bool {
	for _, c := range cells {
		if c.Old.Calls() > 0 {
			return false
		}
	}
	return true
}

func (j *Judge) measure(at time.Time, c StratumOutcomes, alone bool, sums ...*sum) {
	b := j.baselines[c.stratum()]
	if b == nil {
		b = &baseline{}
		j.baselines[c.stratum()] = b
	}
	f := failures(c)
	llr := ratioOf(&j.all.failures, f, alone, b.calls, b.failures)
	for _, s := range sums {
		s.failures = s.failures.plus(f)
		s.failureLLR += llr
	}
	limit, over, known := b.limit()
	if known && !j.cold(at, c) {
		w := slow(c, limit)
		llr := ratioOf(&j.all.slow, w, alone, b.calls, over*b.calls)
		for _, s := range sums {
			s.slow = s.slow.plus(w)
			s.slowness += llr
		}
	}
	b.add(c.Old)
}

// ratioOf compares with the old version's concurrent calls, or with its last known rate when the new version is alone.
func ratioOf(t *test, c tally, alone bool, calls, hits float64) float64 {
	if !alone || calls < baselineCalls {
		return t.concurrent(c)
	}
	return t.against(c, hits/calls)
}

// cold reports whether the new version's calls in the region are too fresh to be judged for slowness.
func (j *Judge) cold(at time.Time, c StratumOutcomes) bool {
	if c.New.Calls() == 0 {
		return c.WarmingUp
	}
	first, seen := j.first[c.EndpointRegion]
	if !seen {
		j.first[c.EndpointRegion] = at
		return true
	}
	return c.WarmingUp || at.Sub(first) < coldStart
}

// badLimit corrects for the number of tests, two for each route and two in all.
func (j *Judge) badLimit() float64 {
	tests := float64(2 * (len(j.routes) + 1))
	return math.Log(tests * horizon / falseBad)
}

func goodLimit() float64 { return math.Log(1 / falseGood) }

// convict ends the judgement if a test has reached its limit. Against the old version's past alone it only starts a
// probe, when there is time for one.
func (j *Judge) convict(at time.Time, alone bool) {
	p, found := j.accuse()
	switch {
	case !found:
	case alone && j.patience > 0:
		p.since = at
		j.probe = &p
	default:
		j.condemn(p.route, p.sentence)
	}
}

func (j *Judge) accuse() (probe, bool) {
	limit := j.badLimit()
	if route, p := j.worst(limit, func(p *pair) float64 { return p.failures.alarm }); p != nil {
		return probe{route: route, sentence: j.describe("fails", p.failures.since, route)}, true
	}
	if route, p := j.worst(limit, func(p *pair) float64 { return p.slow.alarm }); p != nil {
		sentence := j.describe("is slower than the old version's p95 on", p.slow.since, route)
		return probe{route: route, slow: true, sentence: sentence}, true
	}
	return probe{}, false
}

// worst returns the route with the highest alarm at or above the limit; a single route is preferred to all together
// because it tells the operator where to look.
func (j *Judge) worst(limit float64, alarm func(*pair) float64) (string, *pair) {
	var name string
	var found *pair
	if len(j.routes) > 1 {
		for _, route := range j.names() {
			p := j.routes[route]
			if alarm(p) >= limit && (found == nil || alarm(p) > alarm(found)) {
				name, found = route, p
			}
		}
	}
	if found != nil && alarm(found) >= alarm(&j.all) {
		return name, found
	}
	if alarm(&j.all) >= limit {
		return "", &j.all
	}
	return name, found
}

func (j *Judge) condemn(route, sentence string) {
	j.bad = &Result{finding: Bad, route: route, sentence: sentence, evidence: j.evidence()}
}

func (j *Judge) describe(verb string, t tally, route string) string {
	where := "all routes"
	if route != "" {
		where = "route " + route
	}
	old := fmt.Sprintf("version %s at the same time: %s of %.0f", j.from, percent(t.oldHits, t.oldCalls), t.oldCalls)
	if t.oldCalls == 0 {
		old = fmt.Sprintf("version %s had no calls to compare with", j.from)
	}
	return fmt.Sprintf("version %s %s %s of %.0f calls on %s (%s)",
		j.to, verb, percent(t.newHits, t.newCalls), t.newCalls, where, old)
}

func percent(part, whole float64) string {
	if whole == 0 {
		return "0.0%"
	}
	return fmt.Sprintf("%.1f%%", 100*part/whole)
}

// EstimateCallsNeeded returns the calls of the new version that a faultless step needs when it has the permille of all calls.
func EstimateCallsNeeded(permille int) uint64 {
	p := newPair()
	part := float64(permille) / share.FullPermille
	return max(p.failures.needed(goodLimit(), part), p.slow.needed(goodLimit(), part))
}

// Result returns the judgement on the evidence so far; bad is final.
func (j *Judge) Result() Result {
	if j.bad != nil {
		return *j.bad
	}
	if p := j.probe; p != nil {
		return Result{finding: Suspect, route: p.route, sentence: p.sentence, evidence: j.evidence()}
	}
	r := Result{finding: Good, calls: uint64(j.all.failures.calls), evidence: j.evidence()}
	part := 0.0
	if whole := j.last.newCalls + j.last.oldCalls; whole > 0 {
		part = j.last.newCalls / whole
	}
	r.needed = max(missing(j.all.failures.calls), j.all.failures.needed(goodLimit(), part), j.all.slow.needed(goodLimit(), part))
	for _, name := range j.names() {
		p := j.routes[name]
		if j.rare(p) {
			continue
		}
		calls := missing(p.failures.calls)
		// An alarm that has risen half-way is a doubt about the route, which later calls must settle first.
		if doubt := max(p.failures.alarm, p.slow.alarm); doubt > j.badLimit()/2 {
			calls = max(calls, leastCalls)
		}
		// The calls of a route come with those of all others.
		r.needed = max(r.needed, uint64(math.Ceil(float64(calls)/j.portion(p))))
	}
	if r.needed > 0 {
		r.finding = Undecided
		r.sentence = fmt.Sprintf("undecided: about %d more calls of version %s are needed", r.needed, j.to)
		return r
	}
	r.sentence = fmt.Sprintf("version %s is as good as %s over %d calls", j.to, j.from, r.calls)
	return r
}

func missing(calls float64) uint64 {
	if calls >= leastCalls {
		return 0
	}
	return uint64(math.Ceil(leastCalls - calls))
}

// portion returns the route's part of all calls.
func (j *Judge) portion(p *pair) float64 {
	whole := j.all.total.newCalls + j.all.total.oldCalls
	if whole == 0 {
		return 1
	}
	return max((p.total.newCalls+p.total.oldCalls)/whole, 1e-6)
}

func (j *Judge) rare(p *pair) bool { return j.portion(p) < rareShare }

func (j *Judge) names() []string {
	names := make([]string, 0, len(j.routes))
	for n := range j.routes {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

func (j *Judge) evidence() []rollout.Evidence {
	var es []rollout.Evidence
	for _, name := range j.names() {
		p := j.routes[name]
		finding := Undecided
		switch {
		case max(p.failures.alarm, p.slow.alarm) >= j.badLimit():
			finding = Bad
		case p.failures.trust <= -goodLimit() && p.slow.trust <= -goodLimit():
			finding = Good
		}
		es = append(es, rollout.Evidence{
			Route: name, NewCalls: uint64(p.total.newCalls), NewFailures: uint64(p.total.newHits),
			OldCalls: uint64(p.total.oldCalls), OldFailures: uint64(p.total.oldHits), Verdict: string(finding),
		})
	}
	return es
}
