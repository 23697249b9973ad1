package judge

import "time"

const (
	// decisiveOldCalls is the number of calls of the old version after which a probe is decided at once. With fewer, a
	// fault that both versions have in one call of ten would often not be seen on the old version.
	decisiveOldCalls = 40
	// minOldCalls is the minimum number of calls of the old version that can clear the new one after the wait limit.
	minOldCalls = 10
)

// probe examines whether an alarm at the full share, a CUSUM that reached its limit, is the new version's own fault.
// The old version has no calls at that share to compare with, so the share is narrowed and the calls since then are
// compared.
type probe struct {
	since     time.Time
	route     string
	slow      bool
	message   string
	llr       float64       // of the suspected route and test, since the alarm
	oldCounts versionCounts // of the suspected route and test; only the old version's counts are used
}

// SetMaxWait sets how long an alarm at the full share waits for calls of the old version before the finding is Bad.
// Zero, the default, does not wait.
func (j *Judge) SetMaxWait(limit time.Duration) { j.maxWait = limit }

func (p *probe) add(all *windowEvidence, routes map[string]*windowEvidence) {
	s := all
	if p.route != "" {
		s = routes[p.route]
	}
	if s == nil {
		return
	}
	if p.slow {
		p.llr += s.slowLLR
		p.oldCounts = p.oldCounts.add(s.slow)
		return
	}
	p.llr += s.failureLLR
	p.oldCounts = p.oldCounts.add(s.failures)
}

// oldVersionAffected reports whether the old version has the same fault. A new version that only recovered at a lower
// load is not cleared.
func (p *probe) oldVersionAffected() bool {
	highRate := 2 * toleratedFailureRate
	if p.slow {
		highRate = 2 * slowShare
	}
	return p.llr <= 0 && p.oldCounts.oldHits >= 2 && p.oldCounts.oldHits > highRate*p.oldCounts.oldCalls
}

// decideProbe ends the probe with the finding Bad, or clears the new version if the old one has the same fault.
func (j *Judge) decideProbe(at time.Time) {
	p := j.probe
	waitOver := at.Sub(p.since) >= j.maxWait
	switch {
	case !waitOver && p.oldCounts.oldCalls < decisiveOldCalls:
	case p.oldCounts.oldCalls >= minOldCalls && p.oldVersionAffected():
		j.clearAlarms()
	default:
		j.setBad(p.route, p.message)
	}
}

// clearAlarms ends the probe and resets the evidence against the new version.
func (j *Judge) clearAlarms() {
	j.probe = nil
	j.allRoutes.clearAlarms()
	for _, p := range j.routes {
		p.clearAlarms()
	}
}

func (p *routeTests) clearAlarms() {
	p.failures.cusum, p.failures.cusumCounts = 0, versionCounts{}
	p.slow.cusum, p.slow.cusumCounts = 0, versionCounts{}
}
