package canary

import (
	"fmt"
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
	// maxFailureRatio and maxSlowRatio are the tolerated ratios of bad answers of the new version, on top of
	// baselineFactor times the old version's ratio. In a good version fewer than one in ten answers are slow.
	maxFailureRatio = 0.12
	maxSlowRatio    = 0.2
	baselineFactor  = 3
	// conclusiveBadAnswers is the number of bad answers that suffices even if they come from one endpoint.
	conclusiveBadAnswers = 15
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
}

// tally sums the counts of one rule or of all rules.
type tally struct {
	calls, failures, slow           [2]float64 // of the old and of the new version
	failingInstances, slowInstances map[string]bool
	instances                       map[string]bool // all endpoints of the new version
}

func newTally() *tally {
	return &tally{failingInstances: map[string]bool{}, slowInstances: map[string]bool{}, instances: map[string]bool{}}
}

func (t *tally) add(c OutcomeCounts) {
	i := 0
	if c.NewVersion {
		i = 1
		t.instances[c.Instance] = true
		if c.Failures > 0 {
			t.failingInstances[c.Instance] = true
		}
		if c.Slow > 0 {
			t.slowInstances[c.Instance] = true
		}
	}
	t.calls[i] += float64(c.Calls)
	t.failures[i] += float64(c.Failures)
	t.slow[i] += float64(c.Slow)
}

// Evaluate returns why the new version is bad, or the empty string.
//
// One faulty host must not make a version bad, so a few bad answers count only if they come from more than one endpoint
// or if the version has just one.
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
	if tooMany(t.failures, t.calls, maxFailureRatio, len(t.failingInstances), len(t.instances)) {
		return t.describe("fails", t.failures, scope)
	}
	if tooMany(t.slow, t.calls, maxSlowRatio, len(t.slowInstances), len(t.instances)) {
		return t.describe("is slow in", t.slow, scope)
	}
	return ""
}

func tooMany(badAnswers, calls [2]float64, maxRatio float64, badInstances, instances int) bool {
	if badAnswers[1] < minBadAnswers || badInstances < 2 && instances > 1 && badAnswers[1] < conclusiveBadAnswers {
		return false
	}
	oldRatio := 0.0
	if calls[0] > 0 {
		oldRatio = badAnswers[0] / calls[0]
	}
	return badAnswers[1]/calls[1] > maxRatio+baselineFactor*oldRatio
}

func (t *tally) describe(verb string, badAnswers [2]float64, scope string) string {
	return fmt.Sprintf("the new version %s %.0f of %.0f calls on %s, the old one %.0f of %.0f",
		verb, badAnswers[1], t.calls[1], scope, badAnswers[0], t.calls[0])
}
