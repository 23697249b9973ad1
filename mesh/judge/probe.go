package judge

import "time"

const (
	// probeCalls is the number of old calls after which a probe is decided at once: with fewer, a fault that both
	// versions have in one call of ten would often not show on the old side.
	probeCalls = 40
	// probeLeast is the fewest old calls that can clear the new version when the patience is over.
	probeLeast = 10
)

// probe finds out whether an alarm at the whole share is the new version's own fault. There are no old calls at that
// share to show trouble on both sides, so the share is narrowed and the calls since then are compared.
type probe struct {
	since    time.Time
	route    string
	slow     bool
	sentence string
	llr      float64 // of the accused route and test, since the alarm
	old      tally   // old calls and hits of the accused route and test
}

// SetMaxWait sets how long an alarm at the whole share may wait for old calls before it counts as a verdict; zero, the
// default, does not wait.
func (j *Judge) SetMaxWait(patience time.Duration) { j.patience = patience }

func (p *probe) add(all *sum, routes map[string]*sum) {
	s := all
	if p.route != "" {
		s = routes[p.route]
	}
	if s == nil {
		return
	}
	if p.slow {
		p.llr += s.slowness
		p.old = p.old.plus(s.slow)
		return
	}
	p.llr += s.failureLLR
	p.old = p.old.plus(s.failures)
}

// shared reports whether the old version has the trouble too. A new version that merely recovered with less load is not
// cleared.
func (p *probe) shared() bool {
	usual := 2 * toleratedFailures
	if p.slow {
		usual = 2 * slowShare
	}
	return p.llr <= 0 && p.old.oldHits >= 2 && p.old.oldHits > usual*p.old.oldCalls
}

// decide ends the probe with a verdict, or clears the new version if the old one has the same trouble.
func (j *Judge) decide(at time.Time) {
	p := j.probe
	over := at.Sub(p.since) >= j.patience
	switch {
	case !over && p.old.oldCalls < probeCalls:
	case p.old.oldCalls >= probeLeast && p.shared():
		j.clear()
	default:
		j.condemn(p.route, p.sentence)
	}
}

// clear takes all alarms back.
func (j *Judge) clear() {
	j.probe = nil
	j.all.calm()
	for _, p := range j.routes {
		p.calm()
	}
}

func (p *pair) calm() {
	p.failures.alarm, p.failures.since = 0, tally{}
	p.slow.alarm, p.slow.since = 0, tally{}
}
