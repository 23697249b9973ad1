package canary

import (
	"fmt"
	"math"
	"slices"
	"time"

	"wisteriaspoke.example/mesh/share"
)

// stages are the shares of a move, each with its fraction of the time between the first calls and the deadline. The
// first one limits the number of calls that fail if the version is bad from its start or soon after. During the last
// one the calls at the old endpoints end, as those endpoints are stopped without a drain once the move is done.
var stages = []struct {
	permille     int
	timeFraction float64
}{{60, 0.42}, {250, 0.14}, {500, 0.16}, {share.FullPermille, 0.18}}

const (
	// deadlineMargin is reserved before the deadline for the last write and one retry of it.
	deadlineMargin = time.Second
	// minFullShareTime is the minimum time at the full share, about the longest timeout of a route.
	minFullShareTime = 1300 * time.Millisecond
	// minStageTime is the minimum time at any other share.
	minStageTime = 500 * time.Millisecond
)

// Progress describes how far a move has come.
type Progress struct {
	Period         time.Duration // from the order to the deadline
	StartDelay     time.Duration // from the order until the new version got its first calls
	Permille       int           // present share
	TimeAtShare    time.Duration // time at the present share
	ReadyEndpoints int           // endpoints of the new version
}

// Step is the next step of a move, as decided by Next.
type Step struct {
	permille int
	done     bool
}

// Permille returns the new version's share from now on.
func (s Step) Permille() int { return s.permille }

// Done reports whether the move is complete.
func (s Step) Done() bool { return s.done }

// Next decides the share of a version that has not been found bad.
func Next(p Progress) Step {
	if p.Permille == 0 {
		if p.ReadyEndpoints == 0 {
			return Step{}
		}
		return Step{permille: stages[0].permille}
	}
	available := p.Period - deadlineMargin - p.StartDelay
	for i, s := range stages {
		if p.Permille > s.permille {
			continue
		}
		if p.TimeAtShare < stageDuration(available, i) || p.ReadyEndpoints == 0 {
			return Step{permille: p.Permille}
		}
		if i == len(stages)-1 {
			return Step{permille: p.Permille, done: true}
		}
		return Step{permille: stages[i+1].permille}
	}
	return Step{permille: p.Permille}
}

func stageDuration(available time.Duration, stage int) time.Duration {
	minimum := minStageTime
	if stage == len(stages)-1 {
		minimum = minFullShareTime
	}
	return max(minimum, time.Duration(float64(available)*stages[stage].timeFraction))
}

const (
	// minBadAnswers is the minimum number of bad answers for a version to be bad.
	minBadAnswers = 4
	// maxFailureRatio and maxSlowRatio are the tolerated ratios of bad answers of the new version among the calls that the
	// old version would have answered well. In a good version fewer than one in ten answers are slow.
	maxFailureRatio = 0.12
	maxSlowRatio    = 0.2
	// maxShedRatio is the same for calls that endpoints refuse to run. Overloaded endpoints of either version do so, and
	// during the last stage the old version gets no calls to compare with.
	maxShedRatio = 0.5
	// minDeviations is the number of standard deviations by which the ratios must differ: both versions fail calls while
	// the services that they call do, and few calls then tell little.
	minDeviations = 4
	// conclusiveBadAnswers is the number of bad answers that suffices even if they come from one endpoint, while the
	// others have run fewer than fewCalls.
	conclusiveBadAnswers = 15
	fewCalls             = 8
)

// OutcomeCounts counts the outcomes of calls to one endpoint under one rule since the order.
type OutcomeCounts struct {
	_          struct{} `cbor:",toarray"`
	Rule       string
	Instance   string
	NewVersion bool // the endpoint has the new version
	Calls      uint32
	Failures   uint32
	Slow       uint32 // answers that took a multiple of the rule's service time
	Shed       uint32 // calls that the endpoint refused to run
}

// tally sums the counts of one rule or of all rules.
type tally struct {
	calls, failures, slow, shed [2]float64                // of the old and of the new version
	instances                   map[string]*OutcomeCounts // of the new version
}

func newTally() *tally { return &tally{instances: map[string]*OutcomeCounts{}} }

func (t *tally) add(c OutcomeCounts) {
	i := 0
	if c.NewVersion {
		i = 1
		sum := t.instances[c.Instance]
		if sum == nil {
			sum = &OutcomeCounts{}
			t.instances[c.Instance] = sum
		}
		sum.Calls, sum.Failures = sum.Calls+c.Calls, sum.Failures+c.Failures
		sum.Slow, sum.Shed = sum.Slow+c.Slow, sum.Shed+c.Shed
	}
	t.calls[i] += float64(c.Calls)
	t.failures[i] += float64(c.Failures)
	t.slow[i] += float64(c.Slow)
	t.shed[i] += float64(c.Shed)
}

// Evaluate returns why the new version is bad, or the empty string.
//
// One faulty host must not make a version bad, so it must also be bad without the endpoint that answered worst, unless
// it has just one or the others have hardly run any calls.
func Evaluate(cells []OutcomeCounts) string {
	all := newTally()
	rules := map[string]*tally{}
	for _, c := range cells {
		all.add(c)
		t := rules[c.Rule]
		if t == nil {
			t = newTally()
			rules[c.Rule] = t
		}
		t.add(c)
	}
	if why := all.badReason("all rules"); why != "" {
		return why
	}
	names := make([]string, 0, len(rules))
	for n := range rules {
		names = append(names, n)
	}
	slices.Sort(names)
	for _, n := range names {
		if why := rules[n].badReason("rule " + n); why != "" {
			return why
		}
	}
	return ""
}

func (t *tally) badReason(scope string) string {
	if t.tooMany(t.failures, maxFailureRatio, func(c *OutcomeCounts) uint32 { return c.Failures }) {
		return t.describe("fails", t.failures, scope)
	}
	if t.tooMany(t.slow, maxSlowRatio, func(c *OutcomeCounts) uint32 { return c.Slow }) {
		return t.describe("is slow in", t.slow, scope)
	}
	if t.tooMany(t.shed, maxShedRatio, func(c *OutcomeCounts) uint32 { return c.Shed }) {
		return t.describe("refuses", t.shed, scope)
	}
	return ""
}

// tooMany reports whether the new version has too many bad answers; badOf returns those of one endpoint.
func (t *tally) tooMany(bad [2]float64, maxRatio float64, badOf func(*OutcomeCounts) uint32) bool {
	if bad[1] < minBadAnswers || !exceeds(bad, t.calls, maxRatio) || !significant(bad, t.calls) {
		return false
	}
	var worst *OutcomeCounts
	for _, c := range t.instances {
		if worst == nil || badOf(c) > badOf(worst) {
			worst = c
		}
	}
	restBad := [2]float64{bad[0], bad[1] - float64(badOf(worst))}
	restCalls := [2]float64{t.calls[0], t.calls[1] - float64(worst.Calls)}
	if len(t.instances) == 1 || restCalls[1] < fewCalls && bad[1] >= conclusiveBadAnswers {
		return true
	}
	return exceeds(restBad, restCalls, maxRatio)
}

// exceeds reports whether the new version answers more than maxRatio of those calls badly that the old one answers well.
func exceeds(bad, calls [2]float64, maxRatio float64) bool {
	if calls[1] == 0 {
		return false
	}
	oldRatio := ratio(bad[0], calls[0])
	return bad[1]/calls[1]-oldRatio > maxRatio*(1-oldRatio)
}

// significant reports whether the two versions differ by more than chance explains.
func significant(bad, calls [2]float64) bool {
	if calls[0] == 0 {
		return true
	}
	both := (bad[0] + bad[1]) / (calls[0] + calls[1])
	deviation := math.Sqrt(both * (1 - both) * (1/calls[0] + 1/calls[1]))
	return ratio(bad[1], calls[1])-ratio(bad[0], calls[0]) > minDeviations*deviation
}

func ratio(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}

func (t *tally) describe(verb string, badAnswers [2]float64, scope string) string {
	return fmt.Sprintf("the new version %s %.0f of %.0f calls on %s, the old one %.0f of %.0f",
		verb, badAnswers[1], t.calls[1], scope, badAnswers[0], t.calls[0])
}
