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
	// judgePeriod is how often the evidence is judged; see passOnPeriod.
	judgePeriod = 500 * time.Millisecond
	// wholePeriod replaces both periods at the whole share, where a probe must fit into the same 3 s.
	wholePeriod = 200 * time.Millisecond
	// holderPatience is how long the holder waits for the old version's calls when the new one fails at the whole share:
	// about 0.5 s until a narrower share is in force, and 0.7 s of calls and reports.
	holderPatience = 1200 * time.Millisecond
	// gatewayPatience is how long another gateway leaves that decision to a holder that it hears from.
	gatewayPatience = 2 * time.Second
	// coldStart is how long an endpoint counts as fresh after it joined.
	coldStart = 10 * time.Second
	// rateWeight smooths the rate of calls over about 5 s, so that one late report does not change the plan.
	rateWeight = 0.1
)

// holding is what the assessor needs to know of the holder.
type holding interface {
	// patience returns how long this node waits for a probe of the service.
	patience(now time.Time, service string) time.Duration
}

// assessor judges the evidence of all rollouts under way, at each relay that gets it.
type assessor struct {
	view    *view
	holding holding
	cases   map[string]*assessment // by service
}

type assessment struct {
	service string
	share   share.Share
	judge   *judge.Judge
	senders map[string]*stream
	window  map[cellKey]judge.StratumOutcomes
	opened  time.Time // start of the window
	rate    float64   // calls a second, both versions
}

type cellKey struct{ route, region, caller string }

func newAssessor(v *view, h holding) *assessor {
	return &assessor{view: v, holding: h, cases: map[string]*assessment{}}
}

// step returns the verdicts that the evidence has just led to.
func (a *assessor) step(now time.Time, e event.Event) []verdict.Verdict {
	switch e.Kind() {
	case event.Local:
		a.follow(now)
	case event.Received:
		if m, ok := e.Message().Body().(*counts); ok && m.Relayed {
			a.take(now, e.Peer(), m)
		}
	case event.Tick:
		return a.assess(now)
	}
	return nil
}

// follow drops rollouts that ended and starts a new step when a share changed.
func (a *assessor) follow(now time.Time) {
	for service, c := range a.cases {
		s, ok := a.view.underWay(service)
		switch {
		case !ok || s.Rollout() != c.share.Rollout():
			delete(a.cases, service)
		case s.Permille() != c.share.Permille():
			c.close(now, a.view)
			c.judge.StartStep(s.Permille())
			c.share = s
		default:
			c.share = s
		}
	}
}

func (a *assessor) take(now time.Time, peer string, m *counts) {
	if !a.view.running(m.Service, m.Rollout) {
		return
	}
	c := a.cases[m.Service]
	if c == nil {
		s, _ := a.view.underWay(m.Service)
		c = &assessment{
			service: m.Service, share: s, judge: judge.New(s.Stable(), s.Candidate()), senders: map[string]*stream{},
			window: map[cellKey]judge.StratumOutcomes{}, opened: now,
		}
		c.judge.StartStep(s.Permille())
		a.cases[m.Service] = c
	}
	from := c.senders[peer]
	if from == nil {
		from = &stream{}
		c.senders[peer] = from
	}
	for _, o := range from.take(m) {
		c.add(o, m.Region)
	}
}

func (c *assessment) add(o outcome.Outcome, caller string) {
	k := cellKey{o.Key().Route, o.Key().Region, caller}
	cell := c.window[k]
	cell.Route, cell.EndpointRegion, cell.CallerRegion = k.route, k.region, k.caller
	if o.Key().Version == c.share.Candidate() {
		cell.New = cell.New.Add(o)
	} else {
		cell.Old = cell.Old.Add(o)
	}
	c.window[k] = cell
}

func (a *assessor) assess(now time.Time) []verdict.Verdict {
	var vs []verdict.Verdict
	for _, service := range sortedKeys(a.cases) {
		c := a.cases[service]
		if now.Sub(c.opened) < periodAt(c.share, judgePeriod) {
			continue
		}
		c.judge.SetMaxWait(a.holding.patience(now, service))
		c.close(now, a.view)
		r := c.judge.Result()
		if r.Finding() == judge.Bad {
			vs = append(vs, verdict.New(service, c.share.Candidate(), c.share.Rollout(), r.Message()))
		}
	}
	return vs
}

// periodAt returns the usual period, or the shorter one at the whole share.
func periodAt(s share.Share, usual time.Duration) time.Duration {
	if s.Permille() >= share.FullPermille {
		return wholePeriod
	}
	return usual
}

// close judges the window and opens the next one.
func (c *assessment) close(now time.Time, v *view) {
	cells := make([]judge.StratumOutcomes, 0, len(c.window))
	calls := uint64(0)
	for _, cell := range c.window {
		cell.WarmingUp = v.cold(now, c.service, c.share, cell.EndpointRegion)
		cells = append(cells, cell)
		calls += cell.New.Calls() + cell.Old.Calls()
	}
	if d := now.Sub(c.opened).Seconds(); d > 0 {
		rate := float64(calls) / d
		if c.rate == 0 {
			c.rate = rate
		}
		c.rate += rateWeight * (rate - c.rate)
	}
	c.opened = now
	if len(cells) == 0 {
		return
	}
	slices.SortFunc(cells, func(a, b judge.StratumOutcomes) int {
		return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.EndpointRegion, b.EndpointRegion), cmp.Compare(a.CallerRegion, b.CallerRegion))
	})
	c.judge.Add(now, cells)
	c.window = map[cellKey]judge.StratumOutcomes{}
}

// cold reports whether an endpoint of the candidate joined the region so recently that its calls are slow at first.
func (v *view) cold(now time.Time, service string, s share.Share, region string) bool {
	for _, g := range v.groups[service] {
		for _, e := range g.Endpoints() {
			if e.Version() == s.Candidate() && e.Region() == region && now.Sub(e.Joined()) < coldStart {
				return true
			}
		}
	}
	return false
}

// ready reports whether an endpoint of the version takes calls.
func (v *view) ready(service, version string) bool {
	for _, g := range v.groups[service] {
		for _, e := range g.Endpoints() {
			if e.Version() == version && e.State() == endpoint.Ready {
				return true
			}
		}
	}
	return false
}
