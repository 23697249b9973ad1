package roller

import (
	"strings"
	"time"

	"wisteriaspoke.example/mesh/effect"
	"wisteriaspoke.example/mesh/event"
	"wisteriaspoke.example/mesh/judge"
	"wisteriaspoke.example/mesh/machine"
)

const (
	// priority puts this machine after those that raise rosters and configurations.
	priority = 30
	// announcePeriod is how often a holder tells the relays of itself.
	announcePeriod = time.Second
	// holderLost is the silence after which a gateway looks at the lease: one announcement lost, and some delay.
	holderLost = 1500 * time.Millisecond
	// demandPeriod is the least time between two subscriptions to the same service.
	demandPeriod = 10 * time.Second
)

func init() {
	machine.Register("roller", priority, func(c machine.Config) machine.Machine { return New(c) })
}

// Roller is the machine that drives rollouts.
type Roller struct {
	view      *view
	reporter  *reporter
	collector *collector
	assessor  *assessor
	spreader  *spreader
	watcher   *watcher
	jobs      map[string]*job // by service
	announce  time.Time
	demanded  map[string]time.Time // by service
}

// New returns a Roller that knows nothing yet.
func New(c machine.Config) *Roller {
	v := newView(c)
	r := &Roller{
		view: v, reporter: newReporter(v), collector: newCollector(v), spreader: newSpreader(v), watcher: newWatcher(v),
		jobs: map[string]*job{}, demanded: map[string]time.Time{},
	}
	r.assessor = newAssessor(v, r)
	return r
}

// Step implements machine.Machine.
func (r *Roller) Step(now time.Time, e event.Event) []effect.Effect {
	r.view.learn(e)
	fs := r.reporter.step(now, e)
	fs = append(fs, r.collector.step(now, e)...)
	fs = append(fs, r.spreader.step(now, e)...)
	for _, v := range r.assessor.step(now, e) {
		if r.view.roster.IsGateway() || r.holds(now, v.Service()) {
			fs = append(fs, r.spreader.accept(now, v, "")...)
		}
	}
	fs = append(fs, r.subscribe(now, e)...)
	fs = append(fs, r.watcher.step(now, e, r.watching())...)
	return append(fs, r.drive(now, e)...)
}

// subscribe asks for a service whose share or endpoints this node needs; a relay's own upstream may not depend on it.
func (r *Roller) subscribe(now time.Time, e event.Event) []effect.Effect {
	if m, ok := e.Message().Body().(*counts); ok {
		if _, known := r.view.shares[m.Service]; !known {
			return r.demand(now, m.Service)
		}
	}
	if e.Kind() != event.Tick {
		return nil
	}
	var fs []effect.Effect
	for _, service := range sortedKeys(r.jobs) {
		if len(r.view.groups[service]) == 0 {
			fs = append(fs, r.demand(now, service)...)
		}
	}
	return fs
}

func (r *Roller) demand(now time.Time, service string) []effect.Effect {
	if now.Sub(r.demanded[service]) < demandPeriod {
		return nil
	}
	r.demanded[service] = now
	return []effect.Effect{effect.NewRaise(event.NewLocal(event.SubscriptionNeeded, service))}
}

func (r *Roller) holds(now time.Time, service string) bool {
	j := r.jobs[service]
	return j != nil && j.lease.valid(now)
}

// watching reports whether this node needs the rollouts in the store.
func (r *Roller) watching() bool {
	return r.view.relay() && (r.view.roster.IsGateway() || len(r.jobs) > 0)
}

// drive keeps the jobs in step with the rollouts in the store.
func (r *Roller) drive(now time.Time, e event.Event) []effect.Effect {
	r.refresh(now)
	var fs []effect.Effect
	for _, service := range sortedKeys(r.jobs) {
		j := r.jobs[service]
		switch {
		case e.Kind() == event.Tick:
			fs = append(fs, j.tick(now, r.wanted(now, j))...)
		case e.Kind() == event.StoreReplied && strings.HasPrefix(e.ID(), prefix):
			fs = append(fs, j.answered(now, e, r.wanted(now, j))...)
		}
		idle := !j.lease.valid(now) && j.lease.pending == ""
		if idle && (!j.active() || !r.view.roster.IsGateway()) {
			delete(r.jobs, service)
		}
	}
	if e.Kind() == event.Tick && !now.Before(r.announce) {
		r.announce = now.Add(announcePeriod)
		fs = append(fs, r.tell(now)...)
	}
	return fs
}

func (r *Roller) refresh(now time.Time) {
	for service, s := range r.watcher.rollouts {
		j := r.jobs[service]
		if j == nil && (s.rollout.Finished() || !r.view.roster.IsGateway()) {
			continue
		}
		if j == nil {
			j = newJob(r.view, r, r, service, now)
			r.jobs[service] = j
		}
		j.see(s)
	}
	for service, j := range r.jobs {
		if _, stands := r.watcher.rollouts[service]; r.watcher.synced && !stands {
			j.deleted = true
		}
	}
}

// wanted reports whether this node should hold the lease of the job.
func (r *Roller) wanted(now time.Time, j *job) bool {
	if !r.view.relay() || !j.active() {
		return false
	}
	if j.lease.valid(now) {
		return true
	}
	h := r.collector.holders[j.service]
	return r.view.roster.IsGateway() && now.Sub(h.heard) >= holderLost
}

func (r *Roller) tell(now time.Time) []effect.Effect {
	var fs []effect.Effect
	for _, service := range sortedKeys(r.jobs) {
		j := r.jobs[service]
		if j.active() && j.lease.valid(now) {
			body := &holder{
				Service: service, Address: r.view.node.Node, Epoch: j.lease.epoch(), Gateway: r.view.roster.IsGateway(),
			}
			fs = append(fs, r.view.sendAll(r.view.relays(), holderKind, body)...)
		}
	}
	return fs
}

// patience implements holding.
func (r *Roller) patience(now time.Time, service string) time.Duration {
	switch {
	case r.holds(now, service):
		return holderPatience
	case now.Sub(r.collector.holders[service].heard) < holderLost:
		return gatewayPatience
	}
	return 0
}

// result implements evidence.
func (r *Roller) result(service, rollout string, permille int) (judge.Result, float64) {
	c := r.assessor.cases[service]
	if c == nil || c.share.Rollout() != rollout {
		return judge.New("", "").Result(), 0
	}
	if c.share.Permille() != permille {
		return judge.New("", "").Result(), c.rate
	}
	return c.judge.Result(), c.rate
}

// reason implements rulings.
func (r *Roller) reason(service, rollout string) (string, bool) {
	v, ok := r.spreader.on(service, rollout)
	return v.Reason(), ok
}
