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
	// falseBadProbability is the probability that a good version is found bad within horizonWindows, over all tests.
	falseBadProbability = 0.01
	// falseGoodProbability is the probability, at each step, that a bad version is found good.
	falseGoodProbability = 0.01
	// horizonWindows is the number of windows for which falseBadProbability holds: 10 minutes at two windows a second.
	// A CUSUM may start to rise in each window, so the limit grows with the logarithm of their number.
	horizonWindows = 1200

	// toleratedFailureRate is the additional failure rate that is no reason for a rollback: half of the 1% of calls that
	// a rollout may harm. It is also the lower limit of the old rate; without it a single failure beside a version without
	// failures would be infinitely worse.
	toleratedFailureRate = 0.005
	// badFailureRatio is the smallest ratio of failure rates that is bad. With the tolerated rate, a version that fails
	// 1.5% of calls is bad beside one without failures; a lower ratio would need several times as many calls at each step.
	badFailureRatio = 3
	// toleratedSlowShare is the tolerated additional share of calls above the old p95, since latencies differ by some
	// percent between hosts.
	toleratedSlowShare = 0.05
	// badSlowRatio detects a version that is twice as slow, which moves its latencies by one bucket.
	badSlowRatio = 2

	// outageFailureRate is the old version's failure rate above which a window is not counted in favour of the new
	// version, since equal failures during an outage do not show that the new version is good.
	outageFailureRate = 0.05
	// coldStart is how long the calls of a new endpoint are left out of the latency test; failures count at once.
	coldStart = 10 * time.Second
	// minCalls is the minimum number of calls of the new version for the finding Good, in total and on each route.
	minCalls = 30
	// rareRouteShare is the share of calls below which a step does not wait for a route; its tests continue at later
	// shares.
	rareRouteShare = 0.01
)

// Judge accumulates the evidence on one rollout and derives findings from it.
type Judge struct {
	from, to   string
	fullShare  bool // the new version's share is 100%
	allRoutes  routeTests
	routes     map[string]*routeTests
	baselines  map[stratum]*baseline
	firstCalls map[string]time.Time // when the new version had its first calls, by endpoint region
	lastWindow versionCounts        // failure counts of the latest window, for the actual share of calls
	bad        *Result
	probe      *probe
	maxWait    time.Duration
}

// routeTests holds the tests and counts of one route, or of all routes together.
type routeTests struct {
	failures, slow sequentialTest
	total          versionCounts
}

func newRouteTests() routeTests {
	return routeTests{
		failures: sequentialTest{ratio: badFailureRatio, tolerated: toleratedFailureRate},
		slow:     sequentialTest{ratio: badSlowRatio, tolerated: toleratedSlowShare},
	}
}

// New returns a judge without evidence on a rollout from one version to another.
func New(from, to string) *Judge {
	return &Judge{
		from: from, to: to, allRoutes: newRouteTests(), routes: map[string]*routeTests{},
		baselines: map[stratum]*baseline{}, firstCalls: map[string]time.Time{},
	}
}

// StartStep restarts the evidence in favour of the new version for the next share, in thousandths. The evidence against
// it is kept.
func (j *Judge) StartStep(permille int) {
	j.fullShare = permille >= share.FullPermille
	j.allRoutes.failures.startStep()
	j.allRoutes.slow.startStep()
	for _, p := range j.routes {
		p.failures.startStep()
		p.slow.startStep()
	}
}

// Add adds the counts of one window, at most one element for each stratum.
func (j *Judge) Add(at time.Time, strata []StratumOutcomes) {
	if j.bad != nil {
		return
	}
	trusted, newOnly := !oldVersionFailing(strata), j.fullShare && lacksOldCalls(strata)
	sums := map[string]*windowEvidence{}
	all := &windowEvidence{}
	for _, c := range strata {
		s := sums[c.Route]
		if s == nil {
			s = &windowEvidence{}
			sums[c.Route] = s
		}
		j.addStratum(at, c, newOnly, all, s)
	}
	j.allRoutes.add(all, trusted)
	for route, s := range sums {
		p := j.routes[route]
		if p == nil {
			fresh := newRouteTests()
			p = &fresh
			j.routes[route] = p
		}
		p.add(s, trusted)
	}
	j.lastWindow = all.failures
	if j.probe == nil {
		j.checkLimits(at, newOnly)
		return
	}
	if !newOnly {
		j.probe.add(all, sums)
	}
	j.decideProbe(at)
}

// windowEvidence holds the evidence of one window, summed over several strata.
type windowEvidence struct {
	failures, slow      versionCounts
	failureLLR, slowLLR float64
}

func (p *routeTests) add(s *windowEvidence, trusted bool) {
	p.total = p.total.add(s.failures)
	p.failures.add(s.failureLLR, s.failures, trusted)
	p.slow.add(s.slowLLR, s.slow, trusted)
}

func oldVersionFailing(strata []StratumOutcomes) bool {
	var t versionCounts
	for _, c := range strata {
		t = t.add(failures(c))
	}
	return t.oldHits > outageFailureRate*t.oldCalls && t.oldHits > 1
}

func lacksOldCalls(strata []StratumOutcomes) bool {
	for _, c := range strata {
		if c.Old.Calls() > 0 {
			return false
		}
	}
	return true
}

func (j *Judge) addStratum(at time.Time, c StratumOutcomes, newOnly bool, sums ...*windowEvidence) {
	b := j.baselines[c.stratum()]
	if b == nil {
		b = &baseline{}
		j.baselines[c.stratum()] = b
	}
	f := failures(c)
	llr := llrOf(&j.allRoutes.failures, f, newOnly, b.calls, b.failures)
	for _, s := range sums {
		s.failures = s.failures.add(f)
		s.failureLLR += llr
	}
	limit, shareAbove, known := b.limit()
	if known && !j.cold(at, c) {
		w := slow(c, limit)
		llr := llrOf(&j.allRoutes.slow, w, newOnly, b.calls, shareAbove*b.calls)
		for _, s := range sums {
			s.slow = s.slow.add(w)
			s.slowLLR += llr
		}
	}
	b.add(c.Old)
}

// llrOf returns the log-likelihood ratio against the old version's concurrent calls, or against its last known rate
// when only the new version has calls.
func llrOf(t *sequentialTest, c versionCounts, newOnly bool, calls, hits float64) float64 {
	if !newOnly || calls < minBaselineCalls {
		return t.concurrentLLR(c)
	}
	return t.baselineLLR(c, hits/calls)
}

// cold reports whether the new version's calls in the region are within a cold start, which the latency test leaves
// out.
func (j *Judge) cold(at time.Time, c StratumOutcomes) bool {
	if c.New.Calls() == 0 {
		return c.WarmingUp
	}
	first, seen := j.firstCalls[c.EndpointRegion]
	if !seen {
		j.firstCalls[c.EndpointRegion] = at
		return true
	}
	return c.WarmingUp || at.Sub(first) < coldStart
}

// badLimit returns the CUSUM at which a test finds the new version bad. It is corrected for the number of tests: two
// for each route and two for all routes together.
func (j *Judge) badLimit() float64 {
	tests := float64(2 * (len(j.routes) + 1))
	return math.Log(tests * horizonWindows / falseBadProbability)
}

// goodLimit returns the sum in favour of the new version at which a test finds it good.
func goodLimit() float64 { return math.Log(1 / falseGoodProbability) }

// checkLimits sets the finding Bad if a test has reached its limit. If only the old version's past was compared and the
// wait limit allows it, checkLimits starts a probe instead.
func (j *Judge) checkLimits(at time.Time, newOnly bool) {
	p, found := j.findAlarm()
	switch {
	case !found:
	case newOnly && j.maxWait > 0:
		p.since = at
		j.probe = &p
	default:
		j.setBad(p.route, p.message)
	}
}

// findAlarm returns a probe of the worst route whose CUSUM has reached the limit; failures are checked before latency.
func (j *Judge) findAlarm() (probe, bool) {
	limit := j.badLimit()
	if route, p := j.worstRoute(limit, func(p *routeTests) float64 { return p.failures.cusum }); p != nil {
		return probe{route: route, message: j.describe("fails", p.failures.cusumCounts, route)}, true
	}
	if route, p := j.worstRoute(limit, func(p *routeTests) float64 { return p.slow.cusum }); p != nil {
		message := j.describe("is slower than the old version's p95 on", p.slow.cusumCounts, route)
		return probe{route: route, slow: true, message: message}, true
	}
	return probe{}, false
}

// worstRoute returns the route with the highest CUSUM at or above the limit, or an empty name for all routes together.
// On a tie a single route is preferred, since it shows operators where the fault is.
func (j *Judge) worstRoute(limit float64, cusum func(*routeTests) float64) (string, *routeTests) {
	var name string
	var found *routeTests
	if len(j.routes) > 1 {
		for _, route := range j.routeNames() {
			p := j.routes[route]
			if cusum(p) >= limit && (found == nil || cusum(p) > cusum(found)) {
				name, found = route, p
			}
		}
	}
	if found != nil && cusum(found) >= cusum(&j.allRoutes) {
		return name, found
	}
	if cusum(&j.allRoutes) >= limit {
		return "", &j.allRoutes
	}
	return name, found
}

func (j *Judge) setBad(route, message string) {
	j.bad = &Result{finding: Bad, route: route, message: message, evidence: j.evidence()}
}

func (j *Judge) describe(verb string, t versionCounts, route string) string {
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

// EstimateCallsNeeded returns how many calls of the new version a step at this share needs if none fails or is slow.
func EstimateCallsNeeded(permille int) uint64 {
	p := newRouteTests()
	newShare := float64(permille) / share.FullPermille
	return max(p.failures.callsNeeded(goodLimit(), newShare), p.slow.callsNeeded(goodLimit(), newShare))
}

// Result returns the finding from the evidence so far; Bad is final.
func (j *Judge) Result() Result {
	if j.bad != nil {
		return *j.bad
	}
	if p := j.probe; p != nil {
		return Result{finding: Suspect, route: p.route, message: p.message, evidence: j.evidence()}
	}
	r := Result{finding: Good, calls: uint64(j.allRoutes.failures.stepCalls), evidence: j.evidence()}
	newShare := 0.0
	if total := j.lastWindow.newCalls + j.lastWindow.oldCalls; total > 0 {
		newShare = j.lastWindow.newCalls / total
	}
	r.callsNeeded = max(missingCalls(j.allRoutes.failures.stepCalls),
		j.allRoutes.failures.callsNeeded(goodLimit(), newShare), j.allRoutes.slow.callsNeeded(goodLimit(), newShare))
	for _, name := range j.routeNames() {
		p := j.routes[name]
		if j.isRare(p) {
			continue
		}
		calls := missingCalls(p.failures.stepCalls)
		// A CUSUM above half of its limit makes the route suspicious, so the step waits for more of its calls.
		if cusum := max(p.failures.cusum, p.slow.cusum); cusum > j.badLimit()/2 {
			calls = max(calls, minCalls)
		}
		// To get these calls of one route, the new version needs the calls of all routes in proportion.
		r.callsNeeded = max(r.callsNeeded, uint64(math.Ceil(float64(calls)/j.callShare(p))))
	}
	if r.callsNeeded > 0 {
		r.finding = Undecided
		r.message = fmt.Sprintf("undecided: about %d more calls of version %s are needed", r.callsNeeded, j.to)
		return r
	}
	r.message = fmt.Sprintf("version %s is as good as %s over %d calls", j.to, j.from, r.calls)
	return r
}

func missingCalls(calls float64) uint64 {
	if calls >= minCalls {
		return 0
	}
	return uint64(math.Ceil(minCalls - calls))
}

// callShare returns the route's share of all calls.
func (j *Judge) callShare(p *routeTests) float64 {
	total := j.allRoutes.total.newCalls + j.allRoutes.total.oldCalls
	if total == 0 {
		return 1
	}
	return max((p.total.newCalls+p.total.oldCalls)/total, 1e-6)
}

func (j *Judge) isRare(p *routeTests) bool { return j.callShare(p) < rareRouteShare }

func (j *Judge) routeNames() []string {
	names := make([]string, 0, len(j.routes))
	for n := range j.routes {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

func (j *Judge) evidence() []rollout.Evidence {
	var es []rollout.Evidence
	for _, name := range j.routeNames() {
		p := j.routes[name]
		finding := Undecided
		switch {
		case max(p.failures.cusum, p.slow.cusum) >= j.badLimit():
			finding = Bad
		case p.failures.stepLLR <= -goodLimit() && p.slow.stepLLR <= -goodLimit():
			finding = Good
		}
		es = append(es, rollout.Evidence{
			Route: name, NewCalls: uint64(p.total.newCalls), NewFailures: uint64(p.total.newHits),
			OldCalls: uint64(p.total.oldCalls), OldFailures: uint64(p.total.oldHits), Verdict: string(finding),
		})
	}
	return es
}
