package roller

import (
	"cmp"
	"slices"
	"time"

	"wisteriaspoke.example/mesh/endpoint"
	"wisteriaspoke.example/mesh/event"
	"wisteriaspoke.example/mesh/judge"
	"wisteriaspoke.example/mesh/outcome"
	"wisteriaspoke.example/mesh/share"
	"wisteriaspoke.example/mesh/verdict"
)

const (
	// judgePeriod is the length of a window of evidence; see forwardPeriod.
	judgePeriod = 500 * time.Millisecond
	// fullSharePeriod replaces judgePeriod and forwardPeriod at the full share, where a probe must fit into the same 3 s.
	fullSharePeriod = 200 * time.Millisecond
	// holderMaxWait is how long the holder waits for the old version's calls when the new one fails at the full share:
	// about 0.5 s until a smaller share is in force, and 0.7 s for calls and reports.
	holderMaxWait = 1200 * time.Millisecond
	// gatewayMaxWait is how long another gateway waits for the verdict of a holder whose announcements it receives.
	gatewayMaxWait = 2 * time.Second
	// coldStart is how long an endpoint counts as warming up after it joined.
	coldStart = 10 * time.Second
	// rateSmoothing smooths the rate of calls over about 5 s, so that a single late report does not change the plan.
	rateSmoothing = 0.1
)

// waitLimiter provides the wait limit of probes, which depends on whether this node holds the lease.
type waitLimiter interface {
	// maxWait returns how long this node waits for the result of a probe of the service.
	maxWait(now time.Time, service string) time.Duration
}

// assessor derives verdicts from the evidence on all active rollouts, at each relay that receives it.
type assessor struct {
	view        *view
	waits       waitLimiter
	assessments map[string]*assessment // by service
}

type assessment struct {
	service     string
	share       share.Share
	judge       *judge.Judge
	senders     map[string]*senderState
	window      map[stratumKey]judge.StratumOutcomes
	windowStart time.Time
	callRate    float64 // calls a second, both versions together
}

type stratumKey struct{ route, region, caller string }

func newAssessor(v *view, waits waitLimiter) *assessor {
	return &assessor{view: v, waits: waits, assessments: map[string]*assessment{}}
}

// step handles an event and returns the verdicts that the evidence now supports.
func (a *assessor) step(now time.Time, e event.Event) []verdict.Verdict {
	switch e.Kind() {
	case event.Local:
		a.updateShares(now)
	case event.Received:
		if m, ok := e.Message().Body().(*counts); ok && m.Relayed {
			a.addCounts(now, e.Peer(), m)
		}
	case event.Tick:
		return a.assess(now)
	}
	return nil
}

// updateShares drops rollouts that have ended and starts a new step for each share that has changed.
func (a *assessor) updateShares(now time.Time) {
	for service, c := range a.assessments {
		s, ok := a.view.activeShare(service)
		switch {
		case !ok || s.Rollout() != c.share.Rollout():
			delete(a.assessments, service)
		case s.Permille() != c.share.Permille():
			c.closeWindow(now, a.view)
			c.judge.StartStep(s.Permille())
			c.share = s
		default:
			c.share = s
		}
	}
}

func (a *assessor) addCounts(now time.Time, peer string, m *counts) {
	if !a.view.isActive(m.Service, m.Rollout) {
		return
	}
	c := a.assessments[m.Service]
	if c == nil {
		s, _ := a.view.activeShare(m.Service)
		c = &assessment{
			service: m.Service, share: s, judge: judge.New(s.Stable(), s.Candidate()), senders: map[string]*senderState{},
			window: map[stratumKey]judge.StratumOutcomes{}, windowStart: now,
		}
		c.judge.StartStep(s.Permille())
		a.assessments[m.Service] = c
	}
	from := c.senders[peer]
	if from == nil {
		from = &senderState{}
		c.senders[peer] = from
	}
	for _, o := range from.update(m) {
		c.add(o, m.Region)
	}
}

func (c *assessment) add(o outcome.Outcome, caller string) {
	k := stratumKey{o.Key().Route, o.Key().Region, caller}
	stratum := c.window[k]
	stratum.Route, stratum.EndpointRegion, stratum.CallerRegion = k.route, k.region, k.caller
	if o.Key().Version == c.share.Candidate() {
		stratum.New = stratum.New.Add(o)
	} else {
		stratum.Old = stratum.Old.Add(o)
	}
	c.window[k] = stratum
}

func (a *assessor) assess(now time.Time) []verdict.Verdict {
	var vs []verdict.Verdict
	for _, service := range sortedKeys(a.assessments) {
		c := a.assessments[service]
		if now.Sub(c.windowStart) < periodAt(c.share, judgePeriod) {
			continue
		}
		c.judge.SetMaxWait(a.waits.maxWait(now, service))
		c.closeWindow(now, a.view)
		r := c.judge.Result()
		if r.Finding() == judge.Bad {
			vs = append(vs, verdict.New(service, c.share.Candidate(), c.share.Rollout(), r.Message()))
		}
	}
	return vs
}

// periodAt returns the regular period, or the shorter fullSharePeriod at the full share.
func periodAt(s share.Share, regular time.Duration) time.Duration {
	if s.Permille() >= share.FullPermille {
		return fullSharePeriod
	}
	return regular
}

// closeWindow passes the window to the judge and starts the next one.
func (c *assessment) closeWindow(now time.Time, v *view) {
	strata := make([]judge.StratumOutcomes, 0, len(c.window))
	calls := uint64(0)
	for _, stratum := range c.window {
		stratum.WarmingUp = v.warmingUp(now, c.service, c.share, stratum.EndpointRegion)
		strata = append(strata, stratum)
		calls += stratum.New.Calls() + stratum.Old.Calls()
	}
	if d := now.Sub(c.windowStart).Seconds(); d > 0 {
		rate := float64(calls) / d
		if c.callRate == 0 {
			c.callRate = rate
		}
		c.callRate += rateSmoothing * (rate - c.callRate)
	}
	c.windowStart = now
	if len(strata) == 0 {
		return
	}
	slices.SortFunc(strata, func(a, b judge.StratumOutcomes) int {
		return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.EndpointRegion, b.EndpointRegion),
			cmp.Compare(a.CallerRegion, b.CallerRegion))
	})
	c.judge.Add(now, strata)
	c.window = map[stratumKey]judge.StratumOutcomes{}
}

// warmingUp reports whether an endpoint of the new version joined the region so recently that its calls may be slow.
func (v *view) warmingUp(now time.Time, service string, s share.Share, region string) bool {
	for _, g := range v.groups[service] {
		for _, e := range g.Endpoints() {
			if e.Version() == s.Candidate() && e.Region() == region && now.Sub(e.Joined()) < coldStart {
				return true
			}
		}
	}
	return false
}

// hasReadyEndpoint reports whether an endpoint of the version is ready for calls.
func (v *view) hasReadyEndpoint(service, version string) bool {
	for _, g := range v.groups[service] {
		for _, e := range g.Endpoints() {
			if e.Version() == version && e.State() == endpoint.Ready {
				return true
			}
		}
	}
	return false
}
