package canary

import (
	"fmt"
	"slices"
	"time"

	"wisteriaspoke.example/mesh/share"
)

// stages are the shares of a move in thousandths, each with its part of the time that is left when the move begins. The
// first one bounds the harm of a version that is bad from its start or soon after; the last one lets the calls at the
// old endpoints end, as those are stopped without a drain once the move is done.
var stages = []struct {
	permille int
	part     float64
}{{60, 0.42}, {250, 0.14}, {500, 0.16}, {share.FullPermille, 0.18}}

const (
	// margin is kept before the deadline for the last write and one repeat of it.
	margin = time.Second
	// leastLast is the shortest time at the whole share, about the longest time-out of a route.
	leastLast = 1300 * time.Millisecond
	// leastStage is the shortest time at any other share.
	leastStage = 500 * time.Millisecond
)

// Progress is what the next step depends on.
type Progress struct {
	Period         time.Duration // from the order to the deadline
	StartDelay     time.Duration // from the order until the first calls were given
	Permille       int           // present share
	TimeAtShare    time.Duration // time at the present share
	ReadyEndpoints int           // endpoints of the new version
}

// Step is the decision for the next moment.
type Step struct {
	permille int
	done     bool
}

// Permille returns the share from now on.
func (s Step) Permille() int { return s.permille }

// Done reports that the move is complete.
func (s Step) Done() bool { return s.done }

// Next decides the share of a version that has not been found bad.
func Next(p Progress) Step {
	if p.Permille == 0 {
		if p.ReadyEndpoints == 0 {
			return Step{}
		}
		return Step{permille: stages[0].permille}
	}
	left := p.Period - margin - p.StartDelay
	for i, s := range stages {
		if p.Permille > s.permille {
			continue
		}
		if p.TimeAtShare < length(left, i) || p.ReadyEndpoints == 0 {
			return Step{permille: p.Permille}
		}
		if i == len(stages)-1 {
			return Step{permille: p.Permille, done: true}
		}
		return Step{permille: stages[i+1].permille}
	}
	return Step{permille: p.Permille}
}

func length(left time.Duration, stage int) time.Duration {
	least := leastStage
	if stage == len(stages)-1 {
		least = leastLast
	}
	return max(least, time.Duration(float64(left)*stages[stage].part))
}

const (
	// leastHits is the fewest bad answers that speak against a version.
	leastHits = 4
	// failureShare and slowShare are the shares of bad answers of the new version that are too many, above a multiple
	// of the old version's share. Slow answers are rarer in a sound version than one in ten.
	failureShare = 0.12
	slowShare    = 0.2
	multiple     = 3
	// certain is the number of bad answers that count even if they come from one endpoint.
	certain = 15
)

// OutcomeCounts is what was seen of one endpoint for one rule since the order.
type OutcomeCounts struct {
	_          struct{} `cbor:",toarray"`
	Rule       string
	Instance   string
	NewVersion bool // the endpoint has the new version
	Calls      uint32
	Failures   uint32
	Slow       uint32 // answers that took a multiple of the rule's usual time
}

// tally sums the cells of one rule, or of all.
type tally struct {
	calls, failures, slow [2]float64 // old, new
	failing, slowing      map[string]bool
	instances             map[string]bool
}

func newTally() *tally {
	return &tally{failing: map[string]bool{}, slowing: map[string]bool{}, instances: map[string]bool{}}
}

func (t *tally) add(c OutcomeCounts) {
	i := 0
	if c.NewVersion {
		i = 1
		t.instances[c.Instance] = true
		if c.Failures > 0 {
			t.failing[c.Instance] = true
		}
		if c.Slow > 0 {
			t.slowing[c.Instance] = true
		}
	}
	t.calls[i] += float64(c.Calls)
	t.failures[i] += float64(c.Failures)
	t.slow[i] += float64(c.Slow)
}

// Evaluate returns why the new version is bad, or the empty string.
//
// One faulty host must not condemn a version, so few bad answers count only if they come from more than one endpoint, or
// if the version has just one.
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
	if why := all.verdict("all rules"); why != "" {
		return why
	}
	names := make([]string, 0, len(rules))
	for n := range rules {
		names = append(names, n)
	}
	slices.Sort(names)
	for _, n := range names {
		if why := rules[n].verdict("rule " + n); why != "" {
			return why
		}
	}
	return ""
}

func (t *tally) verdict(where string) string {
	if tooMany(t.failures, t.calls, failureShare, len(t.failing), len(t.instances)) {
		return t.sentence("fails", t.failures, where)
	}
	if tooMany(t.slow, t.calls, slowShare, len(t.slowing), len(t.instances)) {
		return t.sentence("is slow in", t.slow, where)
	}
	return ""
}

func tooMany(hits, calls [2]float64, share float64, bad, instances int) bool {
	if hits[1] < leastHits || bad < 2 && instances > 1 && hits[1] < certain {
		return false
	}
	old := 0.0
	if calls[0] > 0 {
		old = hits[0] / calls[0]
	}
	return hits[1]/calls[1] > share+multiple*old
}

func (t *tally) sentence(verb string, hits [2]float64, where string) string {
	return fmt.Sprintf("the new version %s %.0f of %.0f calls on %s, the old one %.0f of %.0f", verb, hits[1], t.calls[1], where, hits[0], t.calls[0])
}
